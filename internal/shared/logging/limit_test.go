package logging

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
)

// capturedLog collects the lines of a limited logger. now is the logger's clock.
type capturedLog struct {
	lines []string
	now   time.Time
}

func (c *capturedLog) logger() logr.Logger {
	below := funcr.New(func(prefix, args string) { c.lines = append(c.lines, prefix+" "+args) },
		funcr.Options{LogCaller: funcr.All})
	return Limit(below, func() time.Time { return c.now })
}

func TestRepeatedLinesAreLimitedAndCounted(t *testing.T) {
	c := &capturedLog{now: time.Unix(100, 0)}
	logger := c.logger().WithName("holder").WithValues("slot", "a")
	for i := range 1000 {
		logger.Error(errors.New("connection refused"), "dial failed", "try", i)
	}
	logger.Info("dial failed")
	logger.WithName("other").Error(nil, "dial failed")
	assert.Equal(t, len(c.lines), limitLines+2)
	c.now = c.now.Add(limitInterval)
	logger.Error(errors.New("connection refused"), "dial failed")
	last := c.lines[len(c.lines)-1]
	assert.Assert(t, strings.Contains(last, fmt.Sprintf(`"suppressedLines"=%d`, 1000-limitLines)), last)
	assert.Assert(t, strings.Contains(last, `"slot"="a"`), last)
	assert.Assert(t, strings.Contains(last, "limit_test.go"), last)
}

func TestDistinctMessagesAreBounded(t *testing.T) {
	c := &capturedLog{now: time.Unix(100, 0)}
	logger := c.logger()
	for i := range 3 * maxMessages {
		logger.Info(fmt.Sprint("message ", i))
	}
	sink := logger.GetSink().(*limitSink)
	assert.Assert(t, len(sink.counts.byMessage) <= maxMessages+1)
	assert.Equal(t, len(c.lines), maxMessages+limitLines)
	Limit(logr.Discard(), time.Now).Info("nothing to limit")
}
