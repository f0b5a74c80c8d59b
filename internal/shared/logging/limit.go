package logging

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// limitInterval is the interval over which the lines of one message are counted.
	limitInterval = 10 * time.Second
	// limitLines is how many lines of one message are written in each limitInterval by
	// default.
	limitLines = 10
	// maxMessages bounds the messages with a count of their own. All others share one
	// count.
	maxMessages = 1000
	// suppressedKey is the key of the number of suppressed lines in a log line.
	suppressedKey = "suppressedLines"
)

// Limit returns a logger that writes at most limitLines (ten) lines of each message in
// each limitInterval (ten seconds), so that a failing endpoint cannot flood the log. The
// next line of the message that is written reports how many were suppressed before it.
// The message is the constant text without its values. Lines of loggers with different
// names are counted separately, as are errors and other lines.
func Limit(logger logr.Logger, now func() time.Time) logr.Logger {
	return LimitTo(limitLines, logger, now)
}

// LimitTo is like Limit with the given number of lines.
func LimitTo(lines int, logger logr.Logger, now func() time.Time) logr.Logger {
	sink := logger.GetSink()
	if sink == nil {
		return logger
	}
	// limitSink adds one stack frame between the code that logs and the wrapped sink.
	if depthSink, ok := sink.(logr.CallDepthLogSink); ok {
		sink = depthSink.WithCallDepth(1)
	}
	counts := &lineCounts{now: now, lines: lines, byMessage: make(map[messageKey]*lineCount)}
	return logr.New(&limitSink{sink: sink, counts: counts})
}

// messageKey identifies the lines that share one count.
type messageKey struct {
	name, text string
	isError    bool
}

// lineCount counts the lines of one message.
type lineCount struct {
	// since is the start of the current interval.
	since time.Time
	// written counts the lines written in the current interval, suppressed those
	// suppressed since the last written line.
	written, suppressed int
}

// lineCounts holds the counts of all messages. All loggers that are derived from one
// logger share it. No other lock is taken while mu is held.
type lineCounts struct {
	now func() time.Time
	// lines is how many lines of one message are written in each limitInterval.
	lines int

	mu        sync.Mutex
	byMessage map[messageKey]*lineCount
}

// admit reports whether a line may be written, and how many lines of its message were
// suppressed before it.
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

// count returns the count for key, which is the shared one if maxMessages is reached.
// The caller holds mu.
func (c *lineCounts) count(key messageKey) *lineCount {
	count, ok := c.byMessage[key]
	if ok {
		return count
	}
	if len(c.byMessage) >= maxMessages {
		key = messageKey{}
		if count, ok = c.byMessage[key]; ok {
			return count
		}
	}
	count = &lineCount{}
	c.byMessage[key] = count
	return count
}

// limitSink is a logr.LogSink that passes admitted lines to sink.
type limitSink struct {
	sink   logr.LogSink
	counts *lineCounts
	// name is the logger's name.
	name string
}

// Init implements logr.LogSink. The wrapped sink is already initialized.
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
	suppressed, ok := s.counts.admit(messageKey{name: s.name, text: msg, isError: true})
	if ok {
		s.sink.Error(err, msg, withCount(values, suppressed)...)
	}
}

// withCount adds the number of suppressed lines, if any, to values.
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
	if depthSink, ok := below.(logr.CallDepthLogSink); ok {
		below = depthSink.WithCallDepth(depth)
	}
	return &limitSink{sink: below, counts: s.counts, name: s.name}
}
