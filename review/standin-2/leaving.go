//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"hemlockmast/platform/standin"
)

const (
	// joinAfter is the time from the acknowledgement that the primary is draining until a machine
	// is added.
	joinAfter = 3 * time.Second
	// serveFor is how long the primary serves after that acknowledgement: DrainMs and a little
	// longer.
	serveFor = 8500 * time.Millisecond
	// watchFor is the length of the observation. All clients send until then.
	watchFor = 10 * time.Second
	// storeTime is the time of a statement at an endpoint.
	storeTime = 40 * time.Millisecond
)

// playLeaving lets a primary leave while the platform is down, so that it is not replaced, and
// adds an entry meanwhile.
func playLeaving(f *fleet, trouble bool) (broken bool, err error) {
	group, err := standin.Start(service, 3)
	if err != nil {
		return false, &impossible{cause: err.Error()}
	}
	defer group.Close()
	var isDown atomic.Bool
	platform := &standin.Platform{Groups: []*standin.Group{group}, Draw: func() standin.CallFault {
		return standin.CallFault{EffectAfter: 300 * time.Millisecond}
	}}
	var stop func()
	f.promoter, stop, err = serveHTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isDown.Load() {
			panic(http.ErrAbortHandler)
		}
		platform.ServeHTTP(w, r)
	}))
	if err != nil {
		return false, &impossible{cause: err.Error()}
	}
	defer stop()
	group.OnEvent(func(text string) { f.note("stand-ins: %s", text) })
	for i := range 3 {
		if err := f.start(f.control(i, true)); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if err := f.start(f.entry(i)); err != nil {
			return false, err
		}
	}
	configuration := standin.Levels(1, 800, 1500, 40, service)
	if !f.publish(configuration, time.Now().Add(20*time.Second)) {
		return false, &impossible{cause: "no configuration acknowledged"}
	}
	var announcers []*announcer
	for i, node := range group.Nodes() {
		node.Change(func(faults *standin.Faults) { faults.Slow = storeTime })
		announcers = append(announcers, f.announce(node, domainOf(i)))
	}
	defer func() {
		for _, a := range announcers {
			close(a.stop)
		}
	}()
	if !standin.WaitFor(10*time.Second, func() bool { return f.isReady(0) && f.isReady(1) }) {
		return false, &impossible{cause: "entries not ready"}
	}
	// Each machine is in touch ContactMs after its start.
	time.Sleep(contactMs*time.Millisecond + time.Second)
	isDown.Store(trouble)
	if trouble {
		f.note("the platform is down")
	}
	leaver := group.Nodes()[0]
	announcers[0].leaving.Store(true)
	if !standin.WaitFor(5*time.Second, func() bool { return announcers[0].leftAt.Load() != nil }) {
		return false, &impossible{cause: "the drain was not acknowledged"}
	}
	leftAt := *announcers[0].leftAt.Load()
	w := &watch{fleet: f, leaver: leaver.ID, leftAt: leftAt}
	go w.run(0, time.Now().Add(-contactMs*time.Millisecond), "FETCH item")
	time.Sleep(time.Until(leftAt.Add(joinAfter)))
	joined := time.Now()
	if err := f.start(f.entry(2)); err != nil {
		return false, err
	}
	if !standin.WaitFor(5*time.Second, func() bool { return f.isReady(2) }) {
		return false, &impossible{cause: "the added entry is not ready"}
	}
	f.note("edge-3 is ready")
	go w.run(2, joined, "FETCH item")
	go w.run(2, joined, "STORE item data")
	time.Sleep(time.Until(leftAt.Add(serveFor)))
	f.note("%s ends", leaver.ID)
	leaver.Change(func(faults *standin.Faults) { faults.Down = true })
	close(announcers[0].stop)
	announcers = announcers[1:]
	f.call(http.MethodPost, 0, standin.LeavePath(leaver.ID), "")
	time.Sleep(time.Until(leftAt.Add(watchFor)))
	f.note("statements at %s sent by machines in touch later than %d ms after it was acknowledged that it drains: %d", leaver.ID, drainMs, w.late.Load())
	return w.late.Load() > 0, nil
}

// watch counts the statements that run too late at an endpoint that leaves.
type watch struct {
	fleet  *fleet
	leaver string
	leftAt time.Time
	late   atomic.Int64
}

// run sends one statement after the other, on a primary route, to entry i, which started at started.
func (w *watch) run(i int, started time.Time, text string) {
	var c *client
	for n := 0; time.Since(w.leftAt) < watchFor; n++ {
		time.Sleep(60 * time.Millisecond)
		var err error
		if c == nil {
			if c, err = connect(w.fleet.callers(i), standin.Database(service, "current")); err != nil {
				continue
			}
		}
		sentAt := time.Now()
		id := fmt.Sprintf("%s%dn%d", text[:1], i+1, n)
		word, rest, _, err := c.query(id, text, 2*time.Second)
		after := sentAt.Sub(w.leftAt)
		if err != nil {
			c = nil
			word = err.Error()
		}
		isAtLeaver := word == "COMPLETE" && rest == w.leaver+"."+id
		isInTouch := sentAt.Sub(started) > contactMs*time.Millisecond
		isLate := isAtLeaver && isInTouch && after > drainMs*time.Millisecond
		if isLate {
			w.late.Add(1)
		}
		w.fleet.note("edge-%d: statement %s sent %.3f s after the acknowledgement: %s %s%s", i+1, id, after.Seconds(), word, rest, map[bool]string{true: "  TOO LATE"}[isLate])
	}
}
