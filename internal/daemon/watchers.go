package daemon

import (
	"context"
	"time"

	"hemlockmast/internal/controlgroup/failover/driver"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/endpoint/pgcontrol"
	"hemlockmast/internal/endpointside/holder"
	"hemlockmast/internal/endpointside/suspect"
	"hemlockmast/internal/endpointside/watch"
)

// runningWatcher observes the endpoint of one slot.
type runningWatcher struct {
	addr      string
	cancel    context.CancelFunc
	questions chan watch.Question
}

// maxQueuedQuestions is the number of activity questions that may wait for one
// watch connection.
const maxQueuedQuestions = 64

// Active implements holder.Activity. It asks the endpoint over the slot's watch
// connection.
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

// questionTimeout bounds the time to queue an activity question and get its
// answer.
const questionTimeout = time.Second

// setWatchers starts and stops watchers so that exactly the slots of assignments
// are watched at their addresses.
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

// startWatcher starts to observe an endpoint until the watcher is canceled. The
// caller must hold d.mu.
func (d *Daemon) startWatcher(key slotKey, addr string) {
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningWatcher{addr: addr, cancel: cancel, questions: make(chan watch.Question, maxQueuedQuestions)}
	d.watchers[key] = running
	observer := &driver.Observer{
		Name: d.settings.Name, Domain: d.settings.FailureDomain,
		Group: key.group, Slot: key.slot,
		Connect: func(ctx context.Context, group, _ string) (endpoint.Controller, error) {
			return d.connectEndpoint(ctx, group, addr)
		},
		Report: d.reportLevel,
		Status: func(_ string, st endpoint.Status, asked time.Time) {
			if st.Group == key.group && st.Slot == key.slot {
				d.publish(st, asked, true)
			}
		},
		Between: func(ctx context.Context, ctl endpoint.Controller) error {
			return watch.Answer(ctx, ctl, running.questions)
		},
	}
	go observer.Run(ctx)
}

// publish sends an observation to the subscribers of the hub.
func (d *Daemon) publish(st endpoint.Status, asked time.Time, reachable bool) {
	wire := watch.StatusToWire(st)
	wire.Observer = d.settings.Name + "/" + d.incarnation
	wire.Reachable = reachable
	wire.Sequence = d.seq.Add(1)
	d.hub.Publish(watch.Observation{Status: wire, AskedAt: asked})
}

// reportLevel handles a report of one of this daemon's observers. It sends the
// report to control and publishes an unreachable endpoint.
func (d *Daemon) reportLevel(group string, r suspect.Report) {
	d.sendReport(group, r)
	if r.Level >= suspect.Unreachable {
		d.publish(endpoint.Status{Group: group, Slot: r.Slot}, time.Now(), false)
	}
}

// stopWatchersOnDone waits until ctx ends and then stops all watchers.
func (d *Daemon) stopWatchersOnDone(ctx context.Context) error {
	<-ctx.Done()
	d.setWatchers(nil)
	return nil
}

// connectEndpoint opens a contract connection to an endpoint.
func (d *Daemon) connectEndpoint(ctx context.Context, group, addr string) (endpoint.Controller, error) {
	database := ""
	if g, ok := d.view.Group(group); ok {
		database = g.Databases[0]
	}
	return pgcontrol.Dial(ctx, pgcontrol.Options{
		Addr: addr, Database: database, Holder: d.settings.Name + "/" + d.incarnation,
	})
}
