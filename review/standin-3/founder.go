//go:build review

package main

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// killAt is when the control daemon is killed after the start of the system, downTime how long it
	// takes until it is started again.
	killAt   = 300 * time.Millisecond
	downTime = time.Second
	// publishPatience bounds the operator's first call, which it repeats.
	publishPatience = 40 * time.Second
)

// killedFounder plays the first start of the whole system, in which one control daemon is killed and
// started again a second later, with the settings of that moment: the system does not start for the
// first time then.
func killedFounder(f *fleet, trouble bool) int {
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
	if trouble {
		time.Sleep(killAt)
		f.kill(controlName(0))
		time.Sleep(downTime)
		if err := f.startDaemon(f.controlSettings(0, false)); err != nil {
			return f.failed(err.Error())
		}
	}
	f.publish(configuration(7, service), publishPatience)
	f.awaitReady(5 * time.Second)
	var served, tried atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(10 * time.Second)
	for i := range 2 * entryCount {
		clients.Go(func() { f.ask(i, until, &tried, &served) })
	}
	clients.Wait()
	for name, d := range f.daemons {
		select {
		case <-d.exited:
			return f.failed(name + " does not run")
		default:
		}
	}
	f.note("checked  all daemons run; %d requests were sent by %d clients, %d were served", tried.Load(), 2*entryCount, served.Load())
	if served.Load() == 0 {
		return exitBroken
	}
	return exitHeld
}
