package entry

import (
	"net"
	"time"

	"hemlockmast/internal/shared/sockpeek"
)

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
	if err := sockpeek.WaitReadable(w.conn); err != nil {
		return
	}
	if !sockpeek.HasInput(w.conn) {
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
