//go:build unix

// Package sockpeek checks a socket for input without consuming it.
package sockpeek

import (
	"net"
	"syscall"
)

// WaitReadable blocks until conn has input, its peer has closed it, it has failed, or its
// read deadline passes. It needs no read buffer while it waits. For a connection that is
// not a socket it returns at once. Errors: those of the connection, such as a passed
// deadline.
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

// HasInput reports whether conn currently has input. It is false for a connection that is
// not a socket.
func HasInput(conn net.Conn) bool {
	n, ready := peekConn(conn)
	return ready && n > 0
}

// HasInputOrEnd reports whether conn currently has input, was closed by its peer or has
// failed. It is false for a connection that is not a socket.
func HasInputOrEnd(conn net.Conn) bool {
	_, ready := peekConn(conn)
	return ready
}

// peekConn is peek for a connection. It returns 0, false if conn is not a socket.
func peekConn(conn net.Conn) (n int, ready bool) {
	raw, err := rawConn(conn)
	if raw == nil || err != nil {
		return 0, false
	}
	_ = raw.Control(func(fd uintptr) { n, ready = peek(fd) })
	return n, ready
}

// rawConn returns the raw connection of conn, or nil if conn is not a socket.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	return sc.SyscallConn()
}

// peek peeks at the input of fd without blocking. If ready is true and n is 0, the peer has
// closed the connection or it has failed.
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
