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

// stalled blocks its writers until it is released.
type stalled struct {
	release chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// TestStalledReaderCostsLines writes more than fits while nobody reads.
func TestStalledReaderCostsLines(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	a := NewAsync(out)
	log := NewDaemon("info", a)
	start := time.Now()
	for i := range asyncLines * 2 {
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

func TestDaemonLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	log := NewDaemon("info", a)
	for range 3 * decisionLines {
		log.Info("statement failed")
		time.Sleep(time.Microsecond)
	}
	a.Close(time.Second)
	assert.Equal(t, strings.Count(out.String(), "statement failed"), decisionLines)
}
