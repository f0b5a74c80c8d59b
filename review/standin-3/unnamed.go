//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatAt is when the other writer sends its heartbeats, publishAt when the operator sends the first
	// configuration, both after the start of the whole system.
	beatAt    = 1500 * time.Millisecond
	publishAt = 3 * time.Second
	// clientTime is how long the clients send requests.
	clientTime = 20 * time.Second
)

// unnamedService plays another writer, whose heartbeats have all fields and name a service that no
// configuration names, at the addresses of the databases, before the first configuration.
func unnamedService(f *fleet, trouble bool) int {
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
	defer close(stop)
	go f.newBeats(group).run(stop)
	time.Sleep(beatAt)
	for i, n := range group.Nodes() {
		if !trouble {
			break
		}
		body := fmt.Sprintf(`{"Backend":"other","Address":%q,"Zone":%q,"Version":"v1","Slots":3,"State":"ready","ColdRemainingMs":0,"DbRole":"replica","Sequence":1,"born":%d}`,
			n.Address, zones[i], time.Now().UnixMilli())
		status, text := f.call(0, "POST", fmt.Sprintf("/hemlockmast/instances/i-other-%d/heartbeat", i), body)
		f.note("foreign  heartbeat of a service that isn't named: %s: answered %d %s", body, status, text)
	}
	time.Sleep(publishAt - beatAt)
	if f.publish(configuration(7, service), 20*time.Second) != 200 {
		return f.failed("no configuration was acknowledged")
	}
	f.awaitReady(5 * time.Second)
	var served, tried atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(clientTime)
	for i := range 2 * entryCount {
		clients.Go(func() { f.ask(i, until, &tried, &served) })
	}
	clients.Wait()
	f.note("checked  %d requests were sent by %d clients, %d were served", tried.Load(), 2*entryCount, served.Load())
	if !f.isSound(group) {
		return f.failed("a database does not serve")
	}
	if served.Load() == 0 {
		return exitBroken
	}
	return exitHeld
}
