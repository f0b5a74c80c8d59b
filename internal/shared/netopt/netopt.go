// Package netopt sets socket options that detect a dead or unreachable peer.
package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UnackedTimeout is how long sent data may stay unacknowledged before the connection
	// fails (TCP_USER_TIMEOUT). It allows for a few retransmissions on links with a latency
	// of a few milliseconds.
	UnackedTimeout = 400 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unreachable peer on an
	// idle connection within two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// Dialer returns a dialer whose connections detect a dead peer.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// ListenConfig returns a configuration for listeners whose connections detect a dead peer.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT to UnackedTimeout. It has the signature of
// net.Dialer.Control.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(UnackedTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
