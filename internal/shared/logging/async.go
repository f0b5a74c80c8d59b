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
	// asyncLines is how many lines wait for a reader that stalls; further ones are
	// left out and counted. At some hundred bytes a line they take about 1 MB.
	asyncLines = 4096
	// decisionLines is how many lines of one message a daemon writes in ten
	// seconds: enough to find each refused request of a bad minute, bounded when
	// everything is refused.
	decisionLines = 1000
)

// Async writes lines in the background, so that a reader that stalls costs
// lines and not requests.
type Async struct {
	lines chan []byte
	lost  atomic.Uint64
	done  chan struct{}
}

// NewAsync starts writing to out.
func NewAsync(out io.Writer) *Async {
	a := &Async{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run(out)
	return a
}

func (a *Async) run(out io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		if lost := a.lost.Swap(0); lost > 0 {
			line = append(lostLine(lost), line...)
		}
		if _, err := out.Write(line); err != nil {
			// There is nowhere left to say it but in the next line's count.
			a.lost.Add(1)
		}
	}
}

// lostLine says how many lines were left out.
func lostLine(lost uint64) []byte {
	line, err := json.Marshal(map[string]any{"msg": "log lines left out", "lines": lost})
	if err != nil {
		return nil
	}
	return append(line, '\n')
}

// Write implements io.Writer. It never blocks.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.lost.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, at most until the time is over.
func (a *Async) Close(wait time.Duration) {
	close(a.lines)
	select {
	case <-a.done:
	case <-time.After(wait):
	}
}

// NewDaemon returns a daemon's logger: JSON lines to out, through an Async that
// the caller closes last, with up to decisionLines of each message.
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
	return LimitTo(decisionLines, zapr.NewLogger(zap.New(core)), time.Now)
}
