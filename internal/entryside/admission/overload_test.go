package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// These tests simulate the clock. They do not wait, and each run gives the same
// figures.

// load describes the callers of one service in a trial.
type load struct {
	service Service
	// rate is the number of arrivals per second. Each work item runs for
	// meanRunTime on average.
	rate        float64
	meanRunTime time.Duration
	deadline    time.Duration
	// abandonAfter is the time after which callers go away; 0 if they stay.
	abandonAfter time.Duration
	// txShare is the share of the work that belongs to transactions in
	// progress.
	txShare float64
}

// tally counts the work items of one load. onTime work finished before its
// deadline, late work after it. The tx fields count work of transactions only.
type tally struct{ offered, onTime, late, refused, txOffered, txOnTime int }

type event struct {
	at   time.Time
	kind int
	id   WorkID
	load int
}

const (
	eventArrive = iota
	eventFinish
	eventAbandon
)

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type trial struct {
	random     *rand.Rand
	controller *Controller
	loads      []load
	tallies    []tally
	queue      events
	work       map[WorkID]job
	next       WorkID
}

type job struct {
	Work
	load int
}

const trialDuration = 15 * time.Second

var epoch = time.Unix(0, 0)

// simulate offers the loads for trialDuration to a controller with
// trialCapacity. Arrivals and run times are drawn from exponential
// distributions. It returns one tally for each load.
func simulate(seed uint64, loads ...load) []tally {
	var services []Service
	for _, l := range loads {
		services = append(services, l.service)
	}
	tr := &trial{
		random:     rand.New(rand.NewPCG(seed, 1)),
		controller: NewController(trialCapacity, services),
		loads:      loads,
		tallies:    make([]tally, len(loads)),
		work:       map[WorkID]job{},
	}
	for i := range loads {
		tr.scheduleArrival(epoch, i)
	}
	for tr.queue.Len() > 0 {
		tr.step(heap.Pop(&tr.queue).(event))
	}
	return tr.tallies
}

func (tr *trial) exponential(mean float64) time.Duration {
	return time.Duration(-math.Log(1-tr.random.Float64()) * mean)
}

func (tr *trial) scheduleArrival(now time.Time, i int) {
	at := now.Add(tr.exponential(float64(time.Second) / tr.loads[i].rate))
	if at.Sub(epoch) < trialDuration {
		heap.Push(&tr.queue, event{at: at, kind: eventArrive, load: i})
	}
}

func (tr *trial) step(e event) {
	switch e.kind {
	case eventArrive:
		tr.arrive(e)
	case eventFinish:
		if j, ok := tr.work[e.id]; ok {
			tr.finish(e, j)
		}
	case eventAbandon:
		if _, ok := tr.work[e.id]; ok {
			delete(tr.work, e.id)
			tr.apply(e.at, tr.controller.Abandon(e.at, e.id))
		}
	}
}

func (tr *trial) arrive(e event) {
	tr.scheduleArrival(e.at, e.load)
	l := tr.loads[e.load]
	tr.next++
	w := Work{ID: tr.next, Service: l.service.Name, Deadline: e.at.Add(l.deadline)}
	w.InTransaction = tr.random.Float64() < l.txShare
	tr.work[w.ID] = job{Work: w, load: e.load}
	tr.tallies[e.load].offered++
	if w.InTransaction {
		tr.tallies[e.load].txOffered++
	}
	if l.abandonAfter > 0 {
		heap.Push(&tr.queue, event{at: e.at.Add(l.abandonAfter), kind: eventAbandon, id: w.ID})
	}
	tr.apply(e.at, tr.controller.Arrive(e.at, w))
}

func (tr *trial) finish(e event, j job) {
	t := &tr.tallies[j.load]
	if e.at.After(j.Deadline) {
		t.late++
	} else {
		t.onTime++
		if j.InTransaction {
			t.txOnTime++
		}
	}
	delete(tr.work, e.id)
	tr.apply(e.at, tr.controller.Finish(e.at, e.id))
}

func (tr *trial) apply(now time.Time, decisions []Decision) {
	for _, decision := range decisions {
		j := tr.work[decision.ID]
		if decision.Refused != nil {
			tr.tallies[j.load].refused++
			delete(tr.work, decision.ID)
			continue
		}
		end := now.Add(tr.exponential(float64(tr.loads[j.load].meanRunTime)))
		heap.Push(&tr.queue, event{at: end, kind: eventFinish, id: decision.ID})
	}
}

const (
	trialCapacity    = 20
	trialMeanRunTime = 10 * time.Millisecond
	// trialRate is the number of work items per second that the capacity can
	// run.
	trialRate = trialCapacity / 0.010
)

// steadyLoad returns a load whose rate is given as a fraction of the capacity.
func steadyLoad(name string, rate float64) load {
	return load{
		service:     Service{Name: name, Weight: 1, Concurrency: trialCapacity, QueueLength: 200},
		rate:        rate * trialRate,
		meanRunTime: trialMeanRunTime,
		deadline:    100 * time.Millisecond,
	}
}

// TestGoodputUnderOverload offers twice the capacity and checks that most of
// the capacity still runs work that meets its deadline.
func TestGoodputUnderOverload(t *testing.T) {
	stay, leave, open := steadyLoad("a", 2), steadyLoad("a", 2), steadyLoad("a", 2)
	leave.abandonAfter = 90 * time.Millisecond
	open.txShare = 0.33
	for seed := range uint64(3) {
		for _, tc := range []struct {
			name string
			load load
		}{
			{"callers that stay", stay},
			{"callers that go away after 90 ms", leave},
			{"a third in transactions", open},
		} {
			got := simulate(seed, tc.load)[0]
			goodput := float64(got.onTime) / (trialRate * trialDuration.Seconds())
			t.Logf("seed %d, %s: goodput %.1f %% of capacity, late %d, refused %d of %d",
				seed, tc.name, 100*goodput, got.late, got.refused, got.offered)
			assert.Assert(t, goodput >= 0.90, tc.name)
			if got.txOffered > 0 {
				open := float64(got.txOnTime) / float64(got.txOffered)
				t.Logf("transactions in progress: %.2f %% good", 100*open)
				assert.Assert(t, open > 0.97)
			}
		}
	}
}

// TestSurgeStaysWithItsService checks that a surge of one service lowers the share
// of another service's work that meets its deadline by less than a tenth, compared
// with a steady load of the first service.
func TestSurgeStaysWithItsService(t *testing.T) {
	victim, quiet := steadyLoad("victim", 0.45), steadyLoad("other", 0.4)
	twice, tenfold, higher, longer := steadyLoad("other", 2), steadyLoad("other", 10), steadyLoad("other", 10), steadyLoad("other", 2)
	higher.service.Priority = 9
	longer.meanRunTime, longer.deadline = 10*trialMeanRunTime, time.Second
	for seed := range uint64(3) {
		before := simulate(seed, victim, quiet)[0]
		for _, tc := range []struct {
			name  string
			surge load
		}{
			{"to twice the capacity", twice},
			{"to ten times the capacity", tenfold},
			{"of a higher priority", higher},
			{"of work that takes ten times as long", longer},
		} {
			during := simulate(seed, victim, tc.surge)[0]
			shareBefore := float64(before.onTime) / float64(before.offered)
			shareDuring := float64(during.onTime) / float64(during.offered)
			cost := 1 - shareDuring/shareBefore
			t.Logf("seed %d, surge %s: goodput %.2f %% before, %.2f %% during, cost %.2f %%",
				seed, tc.name, 100*shareBefore, 100*shareDuring, 100*cost)
			assert.Assert(t, cost < 0.10, tc.name)
		}
	}
}
