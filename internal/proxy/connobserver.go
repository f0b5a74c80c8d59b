package proxy

import (
	"sync"
	"time"

	"hemlockmast/internal/shared/metrics"
)

// connLogInterval is the minimum time between two log lines about the connections to one
// endpoint.
const connLogInterval = 5 * time.Second

// connObserver counts and logs what happens to this daemon's connections to one endpoint. It
// implements pool.Observer.
type connObserver struct {
	server   *Server
	endpoint string

	// mu guards the fields below; no other lock is taken while it is held.
	mu       sync.Mutex
	loggedAt time.Time
	// evicted and bounded count the events since the last log line.
	evicted, bounded int
}

// ConnOpened implements pool.Observer.
func (o *connObserver) ConnOpened() { o.server.cfg.Metrics.ConnEvent(metrics.ConnOpened) }

// ConnHeld implements pool.Observer.
func (o *connObserver) ConnHeld(hasWorkspace bool, change int) {
	o.server.cfg.Metrics.ConnsHeld(hasWorkspace, change)
}

// ConnEvicted implements pool.Observer.
func (o *connObserver) ConnEvicted(workspace string) {
	o.server.cfg.Metrics.ConnEvent(metrics.ConnEvicted)
	o.note(1, 0, "connection evicted for another workspace", workspace)
}

// ConnBounded implements pool.Observer.
func (o *connObserver) ConnBounded(workspace string) {
	o.server.cfg.Metrics.ConnEvent(metrics.ConnBounded)
	o.note(0, 1, "workspace uses as many connections as it may", workspace)
}

// note counts an event and logs it with the counts, at most once in connLogInterval. The pool
// is locked meanwhile, so that the line is written in the background.
func (o *connObserver) note(evicted, bounded int, message, workspace string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evicted += evicted
	o.bounded += bounded
	now := time.Now()
	if now.Sub(o.loggedAt) < connLogInterval {
		return
	}
	fields := []any{"endpoint", o.endpoint, "workspace", workspace, "evicted", o.evicted, "bounded", o.bounded}
	o.loggedAt, o.evicted, o.bounded = now, 0, 0
	go o.server.log.Info(message, fields...)
}
