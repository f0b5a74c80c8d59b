//go:build unix

// Package sockpeek looks at a socket's input without taking it.
package sockpeek

import (
	"net"
	"syscall"
)

// WaitReadable blocks until conn has input, its peer is gone or its read
// deadline passes. It holds no buffer meanwhile. A connection that is no socket
// is readable at once.
func WaitReadable(conn net.Conn) error {
	raw, err := rawConn(conn)
	if raw == nil || err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, ready := peek(fd)
		return ready
	})
}

// HasInput reports whether conn has input right now.
func HasInput(conn net.Conn) bool {
	n, ready := look(conn)
	return ready && n > 0
}

// HasInputOrEnd reports whether conn has input or was closed by its peer.
func HasInputOrEnd(conn net.Conn) bool {
	_, ready := look(conn)
	return ready
}

func look(conn net.Conn) (n int, ready bool) {
	raw, err := rawConn(conn)
	if raw == nil || err != nil {
		return 0, false
	}
	_ = raw.Control(func(fd uintptr) { n, ready = peek(fd) })
	return n, ready
}

func rawConn(conn net.Conn) (syscall.RawConn, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return sc.SyscallConn()
}

// peek looks at the input of fd. Ready with n == 0 means that the peer is gone.
func peek(fd uintptr) (n int, ready bool) {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			return n, true
		case syscall.EINTR:
			continue
		case syscall.EAGAIN:
			return 0, false
		default:
			return 0, true
		}
	}
}
