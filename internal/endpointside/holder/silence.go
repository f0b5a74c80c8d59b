package holder

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// silenceAfter is how long a run waits before the endpoint is asked whether
	// it works on it.
	silenceAfter = time.Second
	// silenceRecheck is the time to the second question. An answer on its way
	// arrives meanwhile.
	silenceRecheck = 300 * time.Millisecond
)

// guard finds a connection that went silent in mid-statement: the run waits,
// nothing comes, and the endpoint says twice that it works on nothing for the
// connection. A slow statement is active and left alone.
type guard struct {
	l       *local
	r       *run
	conn    *conn
	timer   *time.Timer
	stopped atomic.Bool
}

// guard starts a silence guard for r; its cost is one timer.
func (l *local) guard(ctx context.Context, r *run) *guard {
	g := &guard{l: l, r: r, conn: l.conn}
	if l.h.active == nil {
		return g
	}
	slot := l.slot
	g.timer = time.AfterFunc(silenceAfter, func() { g.watch(ctx, slot) })
	return g
}

func (g *guard) stop() {
	g.stopped.Store(true)
	if g.timer != nil {
		g.timer.Stop()
	}
}

// watch asks until the run ends or the connection is found silent.
func (g *guard) watch(ctx context.Context, s *slot) {
	idle := 0
	for !g.stopped.Load() && ctx.Err() == nil {
		progress := g.r.progress.Load()
		active, ok := g.l.h.active.Active(ctx, s.id.Group, s.id.Slot, g.conn.pid)
		if ok && !active && g.r.waiting.Load() && progress == g.r.progress.Load() {
			idle++
		} else {
			idle = 0
		}
		if idle > 1 && !g.stopped.Load() {
			g.l.h.log.Info("closed a connection that went silent", "group", s.id.Group, "slot", s.id.Slot)
			_ = g.conn.raw.Close()
			return
		}
		sleep(ctx, silenceRecheck)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
