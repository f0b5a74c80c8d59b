package logging

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// limitInterval is the period over which lines of one message are counted.
	limitInterval = 10 * time.Second
	// limitLines is how many lines of one message are written in a period, unless
	// the program asks for another number.
	limitLines = 10
	// limitMessages bounds the messages that are counted apart; all others share
	// one count.
	limitMessages = 1000
	// suppressedKey names the count of lines that were left out.
	suppressedKey = "suppressedLines"
)

// Limit returns a logger that writes at most ten lines of each message in ten
// seconds, so that a failing endpoint cannot flood the log. The next line that is
// written says how many were left out before it. The message is the constant
// text, without its values; messages of different names and of errors are
// counted apart.
func Limit(logger logr.Logger, now func() time.Time) logr.Logger {
	return LimitTo(limitLines, logger, now)
}

// LimitTo is Limit with another number of lines.
func LimitTo(lines int, logger logr.Logger, now func() time.Time) logr.Logger {
	sink := logger.GetSink()
	if sink == nil {
		return logger
	}
	// One more frame lies between the caller and the sink below.
	if deep, ok := sink.(logr.CallDepthLogSink); ok {
		sink = deep.WithCallDepth(1)
	}
	counts := &lineCounts{now: now, lines: lines, byMessage: make(map[messageKey]*lineCount)}
	return logr.New(&limitSink{sink: sink, counts: counts})
}

// messageKey is what is counted apart.
type messageKey struct {
	name, text string
	failure    bool
}

type lineCount struct {
	since               time.Time
	written, suppressed int
}

// lineCounts is shared by all loggers derived from one. No other lock is taken
// while mu is held.
type lineCounts struct {
	now func() time.Time
	// lines is how many lines of one message are written in a period.
	lines int

	mu        sync.Mutex
	byMessage map[messageKey]*lineCount
}

// admit reports whether a line may be written, and how many were left out
// before it.
func (c *lineCounts) admit(key messageKey) (suppressed int, ok bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.count(key)
	if now.Sub(count.since) >= limitInterval {
		count.since = now
		count.written = 0
	}
	if count.written >= c.lines {
		count.suppressed++
		return 0, false
	}
	count.written++
	suppressed = count.suppressed
	count.suppressed = 0
	return suppressed, true
}

func (c *lineCounts) count(key messageKey) *lineCount {
	count, ok := c.byMessage[key]
	if ok {
		return count
	}
	if len(c.byMessage) >= limitMessages {
		key = messageKey{}
		if count, ok = c.byMessage[key]; ok {
			return count
		}
	}
	count = &lineCount{}
	c.byMessage[key] = count
	return count
}

type limitSink struct {
	sink   logr.LogSink
	counts *lineCounts
	name   string
}

// Init implements logr.LogSink; the sink below is already set up.
func (s *limitSink) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink.
func (s *limitSink) Enabled(level int) bool { return s.sink.Enabled(level) }

// Info implements logr.LogSink.
func (s *limitSink) Info(level int, msg string, values ...any) {
	suppressed, ok := s.counts.admit(messageKey{name: s.name, text: msg})
	if ok {
		s.sink.Info(level, msg, withCount(values, suppressed)...)
	}
}

// Error implements logr.LogSink.
func (s *limitSink) Error(err error, msg string, values ...any) {
	suppressed, ok := s.counts.admit(messageKey{name: s.name, text: msg, failure: true})
	if ok {
		s.sink.Error(err, msg, withCount(values, suppressed)...)
	}
}

func withCount(values []any, suppressed int) []any {
	if suppressed == 0 {
		return values
	}
	return append(append([]any(nil), values...), suppressedKey, suppressed)
}

// WithValues implements logr.LogSink.
func (s *limitSink) WithValues(values ...any) logr.LogSink {
	return &limitSink{sink: s.sink.WithValues(values...), counts: s.counts, name: s.name}
}

// WithName implements logr.LogSink.
func (s *limitSink) WithName(name string) logr.LogSink {
	full := name
	if s.name != "" {
		full = s.name + "." + name
	}
	return &limitSink{sink: s.sink.WithName(name), counts: s.counts, name: full}
}

// WithCallDepth implements logr.CallDepthLogSink.
func (s *limitSink) WithCallDepth(depth int) logr.LogSink {
	below := s.sink
	if deep, ok := below.(logr.CallDepthLogSink); ok {
		below = deep.WithCallDepth(depth)
	}
	return &limitSink{sink: below, counts: s.counts, name: s.name}
}
