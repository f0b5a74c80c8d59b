//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hemlockmast/platform/standin"
)

const (
	// promoteTime is the time from a call to the platform until the endpoint leads.
	promoteTime = 600 * time.Millisecond
	// startsAfter is the time from the call until the second new endpoint starts, and deafAfter
	// until the replica that is to be promoted receives nothing.
	startsAfter = 100 * time.Millisecond
	deafAfter   = 110 * time.Millisecond
	// deafFor is how long that replica receives nothing.
	deafFor = 6500 * time.Millisecond
	// writers is the number of clients that write, one commit after the other.
	writers = 12
)

// playNewcomer replaces the endpoints of a service one after the other: the new endpoint for the
// second one starts while the primary, the first one, is being replaced. The endpoint that is
// promoted receives nothing from shortly after the call on.
func playNewcomer(f *fleet, trouble bool) (broken bool, err error) {
	group, err := standin.Start(service, 5)
	if err != nil {
		return false, &impossible{cause: err.Error()}
	}
	defer group.Close()
	nodes := group.Nodes()
	for _, node := range nodes {
		node.Change(func(faults *standin.Faults) { faults.Slow = 5 * time.Millisecond })
	}
	for _, node := range nodes[3:] {
		node.Change(func(faults *standin.Faults) { faults.Down = true })
	}
	called := make(chan string, 8)
	group.OnEvent(func(text string) {
		f.note("stand-ins: %s", text)
		if rest, ok := strings.CutPrefix(text, "promote of "); ok && strings.Contains(rest, "called by") {
			called <- strings.Fields(rest)[0]
		}
	})
	platform := &standin.Platform{Groups: []*standin.Group{group}, Draw: func() standin.CallFault {
		return standin.CallFault{EffectAfter: promoteTime}
	}}
	var stop func()
	if f.promoter, stop, err = serveHTTP(platform); err != nil {
		return false, &impossible{cause: err.Error()}
	}
	defer stop()
	for i := range 3 {
		if err := f.start(f.control(i, true)); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if err := f.start(f.entry(i)); err != nil {
			return false, err
		}
	}
	if !f.publish(standin.Levels(1, 800, 1500, 46, service), time.Now().Add(20*time.Second)) {
		return false, &impossible{cause: "no configuration acknowledged"}
	}
	var announcers []*announcer
	for i, node := range nodes[:3] {
		announcers = append(announcers, f.announce(node, domainOf(i)))
	}
	defer func() {
		for _, a := range announcers {
			close(a.stop)
		}
	}()
	if !standin.WaitFor(10*time.Second, func() bool { return f.isReady(0) && f.isReady(1) && f.isReady(2) }) {
		return false, &impossible{cause: "entries not ready"}
	}
	time.Sleep(contactMs*time.Millisecond + time.Second)
	w := &writing{fleet: f}
	end := make(chan struct{})
	var wait sync.WaitGroup
	for i := range writers {
		wait.Go(func() { w.run(i, end) })
	}
	time.Sleep(time.Second)

	var startedAt time.Duration
	start := func(i int) {
		startedAt = time.Since(f.started)
		nodes[i].Change(func(faults *standin.Faults) { faults.Down = false })
		announcers = append(announcers, f.announce(nodes[i], domainOf(i)))
		f.note("%s has started, at %s", nodes[i].ID, nodes[i].Position())
	}
	start(3)
	time.Sleep(time.Second)
	announcers[0].leaving.Store(true)
	var promoted string
	select {
	case promoted = <-called:
	case <-time.After(10 * time.Second):
		return false, &impossible{cause: "the primary was not replaced"}
	}
	at := time.Now()
	var successor *standin.Node
	for _, node := range nodes {
		if node.ID == promoted {
			successor = node
		}
	}
	time.Sleep(time.Until(at.Add(startsAfter)))
	start(4)
	time.Sleep(time.Until(at.Add(deafAfter)))
	if trouble {
		successor.Change(func(faults *standin.Faults) { faults.Deaf = true })
		f.note("%s receives nothing, at %s", promoted, successor.Position())
	}
	taken := standin.WaitFor(10*time.Second, func() bool { return group.Primary() == successor })
	f.note("%s leads: %t", promoted, taken)
	time.Sleep(time.Until(at.Add(deafAfter + deafFor)))
	successor.Change(func(faults *standin.Faults) { faults.Deaf = false })
	time.Sleep(time.Second)
	close(end)
	wait.Wait()
	if !taken {
		return false, &impossible{cause: "no endpoint took over"}
	}
	return w.check(group, startedAt), nil
}

// writing records what the callers were told.
type writing struct {
	fleet *fleet
	count atomic.Int64
	mu    sync.Mutex
	acked []ackedWrite
	codes map[string]int
}

// ackedWrite is a write whose success a caller was told.
type ackedWrite struct {
	id, item, signature string
	entry               int
	sentAt, ackedAt     time.Duration
}

// run writes through one entry, one commit after the other.
func (w *writing) run(i int, end <-chan struct{}) {
	entry := i % 3
	var c *client
	for {
		select {
		case <-end:
			return
		default:
		}
		var err error
		if c == nil {
			if c, err = connect(w.fleet.callers(entry), standin.Database(service, "current")); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		n := w.count.Add(1)
		id, item := fmt.Sprintf("w%d", n), fmt.Sprintf("item%d", n)
		sentAt := time.Since(w.fleet.started)
		word, rest, _, err := c.query(id, "STORE "+item+" x", 3*time.Second)
		w.mu.Lock()
		if w.codes == nil {
			w.codes = make(map[string]int)
		}
		code, _, _ := strings.Cut(rest, " ")
		switch {
		case err != nil:
			c.conn.Close()
			c = nil
			w.codes["closed"]++
		case word == "COMPLETE":
			w.codes["success"]++
			w.acked = append(w.acked, ackedWrite{id: id, item: item, signature: rest, entry: entry, sentAt: sentAt, ackedAt: time.Since(w.fleet.started)})
		default:
			w.codes[code]++
		}
		w.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// recordedFor is the time after the start of the second new endpoint for which the record has all
// successes.
const recordedFor = 400 * time.Millisecond

// check reports whether a commit whose success was told is not in the log of the primary. The
// second new endpoint started at startedAt.
func (w *writing) check(group *standin.Group, startedAt time.Duration) bool {
	held := make(map[string]bool)
	for _, c := range group.Commits() {
		for item := range c.Data {
			held[item] = true
		}
	}
	lost := 0
	for _, a := range w.acked {
		verdict := "in the log of the primary"
		if !held[a.item] {
			lost++
			verdict = "NOT in the log of the primary: LOST"
		}
		if held[a.item] && (a.ackedAt < startedAt || a.ackedAt > startedAt+recordedFor) {
			continue
		}
		w.fleet.note("%s STORE %s, through edge-%d, sent at %.3f s, ran %d times, success told at %.3f s with %s: %s",
			a.id, a.item, a.entry+1, a.sentAt.Seconds(), group.Ran(a.id), a.ackedAt.Seconds(), a.signature, verdict)
	}
	w.fleet.note("answers to writes: %v; of %d successes, %d are not in the log of the primary", w.codes, len(w.acked), lost)
	return lost > 0
}
