package entry

import (
	"net"
	"syscall"
	"time"
)

// waitReadable blocks until conn has input, its peer is gone or its read
// deadline passes. It holds no buffer meanwhile.
func waitReadable(conn net.Conn) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		_, ready := peek(fd)
		return ready
	})
}

// hasInput reports whether conn has input right now.
func hasInput(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var input bool
	_ = raw.Control(func(fd uintptr) {
		n, ready := peek(fd)
		input = ready && n > 0
	})
	return input
}

// peek looks at the input of fd without taking it. Ready with n == 0 means
// that the peer is gone.
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

// callerWatch notices that a caller went away while its request runs. It looks
// only after a delay, so that quick requests pay nothing but a timer.
type callerWatch struct {
	conn  net.Conn
	timer *time.Timer
	done  chan struct{}
	gone  func()
}

func newCallerWatch(conn net.Conn, after time.Duration, gone func()) *callerWatch {
	w := &callerWatch{conn: conn, done: make(chan struct{}), gone: gone}
	w.timer = time.AfterFunc(after, w.run)
	return w
}

func (w *callerWatch) run() {
	defer close(w.done)
	if err := waitReadable(w.conn); err != nil {
		return
	}
	if !hasInput(w.conn) {
		w.gone()
	}
}

// stop ends the watch before the next read from the caller.
func (w *callerWatch) stop() {
	if w.timer.Stop() {
		return
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}
