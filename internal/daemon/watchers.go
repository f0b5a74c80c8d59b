package daemon

import (
	"context"
	"time"

	"hemlockmast/internal/endpoint"
	"hemlockmast/internal/endpoint/pgcontrol"
	"hemlockmast/internal/holder"
	"hemlockmast/internal/watch"
)

// runningWatcher is a watcher that waits to be started or runs.
type runningWatcher struct {
	addr      string
	cancel    context.CancelFunc
	questions chan watch.Question
}

// questionQueue bounds the questions that wait for one watch connection.
const questionQueue = 64

// Active implements holder.Activity.
func (d *Daemon) Active(ctx context.Context, group, slot string, pid uint32) (active, ok bool) {
	d.mu.Lock()
	w := d.watchers[slotKey{group, slot}]
	d.mu.Unlock()
	if w == nil {
		return false, false
	}
	answer := make(chan bool, 1)
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	select {
	case w.questions <- watch.Question{PID: pid, Answer: answer}:
	case <-ctx.Done():
		return false, false
	}
	select {
	case active = <-answer:
		return active, true
	case <-ctx.Done():
		return false, false
	}
}

// questionTimeout bounds the wait for an answer on a watch connection.
const questionTimeout = time.Second

// setWatchers makes the watched slots those of assignments.
func (d *Daemon) setWatchers(assignments []holder.Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[slotKey]holder.Assignment{}
	for _, a := range assignments {
		next[slotKey{a.ID.Group, a.ID.Slot}] = a
	}
	for key, w := range d.watchers {
		if a, ok := next[key]; !ok || a.Addr != w.addr {
			w.cancel()
			delete(d.watchers, key)
			d.hub.Forget(key.group, key.slot)
		}
	}
	for key, a := range next {
		if d.watchers[key] == nil {
			d.startWatcher(key, a.Addr)
		}
	}
}

// startWatcher runs a watcher until it is canceled. The caller holds mu.
func (d *Daemon) startWatcher(key slotKey, addr string) {
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningWatcher{addr: addr, cancel: cancel, questions: make(chan watch.Question, questionQueue)}
	d.watchers[key] = running
	w := &watch.Watcher{
		Group: key.group, Slot: key.slot, Addr: addr,
		Observer: d.settings.Name + "/" + d.incarnation,
		Connect:  d.connect, Publish: d.hub.Publish,
		Questions: running.questions,
		Sequence:  func() uint64 { return d.seq.Add(1) },
	}
	go w.Run(ctx)
}

// manageWatchers stops all watchers when ctx ends.
func (d *Daemon) manageWatchers(ctx context.Context) error {
	<-ctx.Done()
	d.setWatchers(nil)
	return nil
}

// connect opens a contract connection to an endpoint.
func (d *Daemon) connect(ctx context.Context, group, addr string) (endpoint.Controller, error) {
	database := ""
	if g, ok := d.view.Group(group); ok {
		database = g.Databases[0]
	}
	return pgcontrol.Dial(ctx, pgcontrol.Options{
		Addr: addr, Database: database, Holder: d.settings.Name + "/" + d.incarnation,
	})
}
