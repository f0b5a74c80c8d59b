package entry

import (
	"net"
	"time"

	"hemlockmast/internal/shared/sockpeek"
)

// callerWatch detects that a caller disconnects while its segment runs. It starts
// to watch after a delay, so that the cost for a short segment is only a timer.
type callerWatch struct {
	conn   net.Conn
	timer  *time.Timer
	done   chan struct{}
	onGone func()
}

// newCallerWatch starts a watch on conn after delay. It calls onGone if the
// caller disconnects.
func newCallerWatch(conn net.Conn, delay time.Duration, onGone func()) *callerWatch {
	w := &callerWatch{conn: conn, done: make(chan struct{}), onGone: onGone}
	w.timer = time.AfterFunc(delay, w.run)
	return w
}

func (w *callerWatch) run() {
	defer close(w.done)
	if err := sockpeek.WaitReadable(w.conn); err != nil {
		return
	}
	if !sockpeek.HasInput(w.conn) {
		w.onGone()
	}
}

// stop ends the watch. It must be called before the next read from the caller.
func (w *callerWatch) stop() {
	if w.timer.Stop() {
		return
	}
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}
