package holder

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// silenceCheckDelay is the time from the start of a segment to the first
	// question whether the endpoint still works on it.
	silenceCheckDelay = time.Second
	// silenceCheckInterval is the time between two questions. A reply that was in
	// transit at the first question arrives before the second.
	silenceCheckInterval = 300 * time.Millisecond
)

// silenceMonitor closes a connection that went silent in the middle of a
// statement: the segment waits, no message arrives, and the endpoint reports
// twice in a row that it runs no statement for the connection. A slow statement
// is reported as active and is not interrupted.
type silenceMonitor struct {
	l       *localExchange
	segment *segmentRun
	conn    *conn
	timer   *time.Timer
	stopped atomic.Bool
}

// silenceMonitor starts a monitor for segment. It costs one timer until
// silenceCheckDelay has passed.
func (l *localExchange) silenceMonitor(ctx context.Context, segment *segmentRun) *silenceMonitor {
	m := &silenceMonitor{l: l, segment: segment, conn: l.conn}
	if l.h.active == nil {
		return m
	}
	slot := l.slot
	m.timer = time.AfterFunc(silenceCheckDelay, func() { m.run(ctx, slot) })
	return m
}

func (m *silenceMonitor) stop() {
	m.stopped.Store(true)
	if m.timer != nil {
		m.timer.Stop()
	}
}

// run asks the endpoint repeatedly until the segment ends or the connection
// turns out to be silent.
func (m *silenceMonitor) run(ctx context.Context, s *slot) {
	idleAnswers := 0
	for !m.stopped.Load() && ctx.Err() == nil {
		progress := m.segment.progress.Load()
		active, ok := m.l.h.active.Active(ctx, s.id.Group, s.id.Slot, m.conn.pid)
		if ok && !active && m.segment.waiting.Load() && progress == m.segment.progress.Load() {
			idleAnswers++
		} else {
			idleAnswers = 0
		}
		if idleAnswers > 1 && !m.stopped.Load() {
			m.l.h.log.Info("closed an unresponsive connection during a statement", "group", s.id.Group, "slot", s.id.Slot)
			_ = m.conn.raw.Close()
			return
		}
		sleep(ctx, silenceCheckInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
