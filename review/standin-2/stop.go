//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hemlockmast/platform/standin"
)

const (
	// entriesInZone is the number of entries, all in one zone; stopped of them get SIGTERM at once.
	entriesInZone = 3
	stopped       = 2
	// clients is the number of clients, each with one short session after the other.
	clients = 30
	// workTime is the time of one statement at an endpoint.
	workTime = 40 * time.Millisecond
	// lateAfter is the time from SIGTERM after which a request is not excused because its
	// database was still at work at the end of the grace time.
	lateAfter = 3 * time.Second
)

// rotation is what the platform knows of the entries' readiness.
type rotation struct {
	mu     sync.Mutex
	misses [entriesInZone]int
}

// probe asks each entry for its readiness once per second.
func (r *rotation) probe(f *fleet, end <-chan struct{}) {
	for {
		for i := range entriesInZone {
			go func() {
				ready := f.isReady(i)
				r.mu.Lock()
				defer r.mu.Unlock()
				r.misses[i]++
				if ready {
					r.misses[i] = 0
				}
				if r.misses[i] == 2 {
					f.note("edge-%d is out of rotation", i+1)
				}
			}()
		}
		select {
		case <-end:
			return
		case <-time.After(time.Second):
		}
	}
}

// choose returns the entry for a new connection: one in rotation or, if fewer than half of the
// zone's entries are in rotation, any.
func (r *rotation) choose() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []int
	for i, misses := range r.misses {
		if misses < 2 {
			in = append(in, i)
		}
	}
	if 2*len(in) < entriesInZone {
		return rand.IntN(entriesInZone)
	}
	return in[rand.IntN(len(in))]
}

// stopCase counts the requests that were cut.
type stopCase struct {
	fleet      *fleet
	group      *standin.Group
	rotation   rotation
	termAt     atomic.Pointer[time.Time]
	served     atomic.Int64
	refused    atomic.Int64
	unpassed   atomic.Int64
	excused    atomic.Int64
	lost       atomic.Int64
	nextClient atomic.Int64
}

// playStop stops two of the three entries of a zone while clients go on.
func playStop(f *fleet, trouble bool) (broken bool, err error) {
	group, err := standin.Start(service, 3)
	if err != nil {
		return false, &impossible{cause: err.Error()}
	}
	defer group.Close()
	platform := &standin.Platform{Groups: []*standin.Group{group}}
	var stop func()
	if f.promoter, stop, err = serveHTTP(http.HandlerFunc(platform.ServeHTTP)); err != nil {
		return false, &impossible{cause: err.Error()}
	}
	defer stop()
	for i := range 3 {
		if err := f.start(f.control(i, true)); err != nil {
			return false, err
		}
	}
	var entries []*daemon
	for i := range entriesInZone {
		e := f.entry(i)
		e.settings["failure_domain"] = domainOf(0)
		entries = append(entries, e)
		if err := f.start(e); err != nil {
			return false, err
		}
	}
	if !f.publish(standin.Levels(1, 2000, 1500, 46, service), time.Now().Add(20*time.Second)) {
		return false, &impossible{cause: "no configuration acknowledged"}
	}
	for i, node := range group.Nodes() {
		defer close(f.announce(node, domainOf(i)).stop)
		node.Change(func(faults *standin.Faults) { faults.Slow = workTime })
	}
	allReady := func() bool { return f.isReady(0) && f.isReady(1) && f.isReady(2) }
	if !standin.WaitFor(10*time.Second, allReady) {
		return false, &impossible{cause: "entries not ready"}
	}
	c := &stopCase{fleet: f, group: group}
	end := make(chan struct{})
	go c.rotation.probe(f, end)
	var wait sync.WaitGroup
	for range clients {
		wait.Go(func() { c.run(end) })
	}
	time.Sleep(contactMs*time.Millisecond + 2*time.Second)
	f.note("so far: %d served, %d refused", c.served.Load(), c.refused.Load())
	if trouble {
		now := time.Now()
		c.termAt.Store(&now)
		for _, e := range entries[:stopped] {
			f.signal(e, syscall.SIGTERM)
		}
		for _, e := range entries[:stopped] {
			<-e.exited
			f.note("%s has ended %.3f s after SIGTERM", e.name, time.Since(now).Seconds())
		}
	} else {
		time.Sleep(graceMs * time.Millisecond)
	}
	time.Sleep(time.Second)
	close(end)
	wait.Wait()
	f.note("%d served, %d refused or not connected, %d cut before they were passed on, %d cut and excused, %d cut after they were passed on to a database",
		c.served.Load(), c.refused.Load(), c.unpassed.Load(), c.excused.Load(), c.lost.Load())
	return c.lost.Load() > 0, nil
}

// run opens one session after the other, each for one read or one write.
func (c *stopCase) run(end <-chan struct{}) {
	client := c.nextClient.Add(1)
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		default:
		}
		i := c.rotation.choose()
		database, text := standin.Database(service, "bounded"), "FETCH item"
		if n%2 == 0 {
			database, text = standin.Database(service, "current"), "STORE item data"
		}
		s, err := connect(c.fleet.callers(i), database)
		if err != nil {
			c.refused.Add(1)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("c%dn%d", client, n)
		sentAt := time.Now()
		word, rest, _, err := s.query(id, text, 8*time.Second)
		s.conn.Close()
		switch {
		case err == nil && word == "COMPLETE":
			c.served.Add(1)
			c.noteServed(i, id+" "+text, id, sentAt, rest)
		case err == nil:
			c.refused.Add(1)
			c.fleet.note("edge-%d: %s is answered %s %s", i+1, id, word, rest)
		default:
			c.cut(i, id+" "+text, id, sentAt, err)
		}
	}
}

// noteServed records a request that was answered with success long after the SIGTERM of its entry.
func (c *stopCase) noteServed(i int, what, id string, sentAt time.Time, signature string) {
	termAt := c.termAt.Load()
	if termAt == nil || i >= stopped || sentAt.Sub(*termAt) <= lateAfter {
		return
	}
	c.fleet.note("edge-%d: %s, sent %.3f s after SIGTERM, ran %d times; answered COMPLETE %s after %d ms",
		i+1, what, sentAt.Sub(*termAt).Seconds(), c.group.Ran(id), signature, time.Since(sentAt).Milliseconds())
}

// cut records a request whose connection ended without an answer.
func (c *stopCase) cut(i int, what, id string, sentAt time.Time, cause error) {
	ran := c.group.Ran(id)
	termAt := c.termAt.Load()
	after := time.Duration(0)
	if termAt != nil && i < stopped {
		after = sentAt.Sub(*termAt)
	}
	verdict := ""
	switch {
	case ran == 0:
		c.unpassed.Add(1)
	case after <= lateAfter:
		c.excused.Add(1)
	default:
		c.lost.Add(1)
		verdict = "  LOST"
	}
	c.fleet.note("edge-%d: %s, sent %.3f s after SIGTERM, ran %d times; its connection ended without an answer after %d ms (%s)%s",
		i+1, what, after.Seconds(), ran, time.Since(sentAt).Milliseconds(), cause, verdict)
}
