// Package netopt sets the socket options with which a dead or cut-off peer is
// noticed.
package netopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UnackedTimeout is how long sent bytes may stay unacknowledged. It is a few
	// retransmissions on links of a few milliseconds.
	UnackedTimeout = 400 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a peer that went
	// silent while nothing was sent, within two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// Dialer returns a dialer whose connections notice a dead peer.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive(), Control: control}
}

// ListenConfig returns a configuration whose connections notice a dead peer.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}
}

func control(_, _ string, raw syscall.RawConn) error {
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
