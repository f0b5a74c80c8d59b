package logging

import (
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// asyncQueueLines is the number of lines that are queued while the log's reader is
	// stalled. Further lines are dropped and counted. At a few hundred bytes a line, a
	// full queue takes about 1 MB.
	asyncQueueLines = 4096
	// daemonLimitLines is how many lines of one message a daemon writes in each
	// limitInterval (ten seconds). This is enough to log each refused request during an
	// incident, but bounds the log when every request is refused.
	daemonLimitLines = 1000
)

// Async is an io.Writer that writes lines in the background. If the reader of the log
// stalls, lines are dropped rather than requests delayed.
type Async struct {
	// lines is never closed, because sessions may still log when the daemon ends.
	lines chan []byte
	lost  atomic.Uint64
	// closing is closed by Close, done once the queued lines are written after that.
	closing, done chan struct{}
}

// NewAsync returns an Async that writes to out. It must be closed with Close.
func NewAsync(out io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run(out)
	return a
}

func (a *Async) run(out io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.write(out, line)
		case <-a.closing:
			a.writeQueued(out)
			return
		}
	}
}

// writeQueued writes the lines that are queued now.
func (a *Async) writeQueued(out io.Writer) {
	for range len(a.lines) {
		a.write(out, <-a.lines)
	}
}

func (a *Async) write(out io.Writer, line []byte) {
	if lost := a.lost.Swap(0); lost > 0 {
		line = append(lostLine(lost), line...)
	}
	if _, err := out.Write(line); err != nil {
		// The failure can only be reported in the count of the next line.
		a.lost.Add(1)
	}
}

// lostLine returns a log line that reports the number of dropped lines.
func lostLine(lost uint64) []byte {
	line, err := json.Marshal(map[string]any{"msg": "log lines left out", "lines": lost})
	if err != nil {
		return nil
	}
	return append(line, '\n')
}

// Write implements io.Writer. It never blocks and never fails. Lines written after Close may be
// dropped.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.lost.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines. It returns when they are written or wait has passed. It must be
// called once.
func (a *Async) Close(wait time.Duration) {
	close(a.closing)
	select {
	case <-a.done:
	case <-time.After(wait):
	}
}

// NewDaemon returns a daemon's logger, which writes JSON lines to out, at most
// daemonLimitLines of each message in each limitInterval. level is "error", "info" (the
// default) or "debug". out must be closed last, after everything that logs has stopped.
func NewDaemon(level string, out *Async) logr.Logger {
	at := zapcore.InfoLevel
	switch level {
	case "error":
		at = zapcore.ErrorLevel
	case "debug":
		at = zapcore.DebugLevel
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	core := zapcore.NewCore(encoder, zapcore.AddSync(out), at)
	return LimitTo(daemonLimitLines, zapr.NewLogger(zap.New(core)), time.Now)
}
