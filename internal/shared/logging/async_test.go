package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stalledWriter is a writer whose calls of Write block until release is closed.
type stalledWriter struct {
	release chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// TestStalledReaderDropsLines logs more lines than fit into the queue while the reader
// is stalled. Logging must not block, and the dropped lines must be reported.
func TestStalledReaderDropsLines(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	a := NewAsync(out)
	log := NewDaemon("info", a)
	start := time.Now()
	for i := range asyncQueueLines * 2 {
		log.Info(fmt.Sprint("message ", i%8))
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
	close(out.release)
	time.Sleep(50 * time.Millisecond)
	log.Info("one more")
	a.Close(time.Second)
	text := out.buf.String()
	assert.Assert(t, strings.Contains(text, `"msg":"log lines left out"`))
	assert.Assert(t, strings.Contains(text, "one more"))
}

// A session that logged while its daemon ended panicked, as the queue had been closed.
func TestLineAfterCloseDoesNotPanic(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	log := NewDaemon("info", a)
	log.Info("before")
	var sessions sync.WaitGroup
	for range 8 {
		sessions.Go(func() {
			for range 1000 {
				log.Info("meanwhile")
			}
		})
	}
	a.Close(time.Second)
	log.Info("after")
	sessions.Wait()
	assert.Assert(t, strings.Contains(out.String(), "before"))
}

func TestDaemonLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	log := NewDaemon("info", a)
	for range 3 * daemonLimitLines {
		log.Info("statement failed")
		time.Sleep(time.Microsecond)
	}
	a.Close(time.Second)
	assert.Equal(t, strings.Count(out.String(), "statement failed"), daemonLimitLines)
}
