//go:build review

package main

import (
	"fmt"
	"time"

	"hemlockmast/platform/standin"
)

// deafTime is how long a replica receives nothing, as in the site file.
const deafTime = 6500 * time.Millisecond

// foreignBeats plays another writer, whose heartbeats lack the fields Version and ColdRemainingMs.
// It names the address of a replica and later, while the other replica receives nothing, that of the primary.
func foreignBeats(f *fleet, trouble bool) int {
	group, server, err := f.startDatabases()
	if err != nil {
		return f.failed(err.Error())
	}
	defer server.Close()
	defer group.Close()
	if !f.startAll() {
		return f.failed("the system did not start")
	}
	stop := make(chan struct{})
	go f.newBeats(group).run(stop)
	if f.publish(configuration(7, service), 20*time.Second) != 200 || !f.awaitReady(15*time.Second) {
		close(stop)
		return f.failed("no configuration was acknowledged")
	}
	time.Sleep(3 * time.Second)
	w := &writers{fleet: f}
	stopWrites := make(chan struct{})
	for i := range 2 * entryCount {
		go w.run(i%entryCount, 100*time.Millisecond, stopWrites)
	}
	time.Sleep(3 * time.Second)
	primary, replica, other := group.Nodes()[0], group.Nodes()[1], group.Nodes()[2]
	born := time.Now().UnixMilli()
	foreign := func(sequence int, address, zone string) {
		body := fmt.Sprintf(`{"Backend":%q,"Address":%q,"Zone":%q,"Slots":3,"State":"ready","DbRole":"replica","Sequence":%d,"born":%d}`,
			service, address, zone, sequence, born)
		status, text := f.call(0, "POST", "/hemlockmast/instances/i-other/heartbeat", body)
		f.note("foreign  heartbeat without Version and ColdRemainingMs: %s: answered %d %s", body, status, text)
	}
	if trouble {
		foreign(1, replica.Address, zones[1])
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.note("database %s receives nothing for %s", other.ID, deafTime)
		other.Set(standin.Faults{Deaf: true, MaxConnections: maxConns})
		time.AfterFunc(deafTime, func() {
			other.Set(standin.Faults{MaxConnections: maxConns})
			f.note("database %s receives again", other.ID)
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		foreign(2, primary.Address, zones[0])
	}
	time.Sleep(10 * time.Second)
	close(stopWrites)
	time.Sleep(2 * time.Second)
	f.note("clients  outcomes of the writes: %v", w.codes())
	for _, p := range group.Promotions() {
		f.note("promote  %s, token %d, term %d: its log lacks %d commits that a database acknowledged; the first is held by %v",
			p.Endpoint, p.Token, p.Term, len(p.Missing), p.HeldBy)
	}
	lost, ok := f.missing(w)
	close(stop)
	f.note("checked  %d writes that were answered with success are not in the log any more", len(lost))
	switch {
	case len(lost) > 0:
		return exitBroken
	case !ok:
		return f.failed("a read was not answered")
	}
	return exitHeld
}
