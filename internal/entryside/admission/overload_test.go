package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The clock of these tests is a number; nothing waits, and each run gives the
// same figures.

// load is one service's callers in a trial.
type load struct {
	service Service
	// rate is arrivals a second; each piece of work takes mean on average.
	rate     float64
	mean     time.Duration
	deadline time.Duration
	// patience is when callers go away; 0 when they stay.
	patience time.Duration
	// openShare is the part of the work that belongs to transactions in progress.
	openShare float64
}

type tally struct{ offered, good, late, refused, openOffered, openGood int }

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
	random  *rand.Rand
	control *Controller
	loads   []load
	tallies []tally
	queue   events
	work    map[WorkID]job
	next    WorkID
}

type job struct {
	Work
	load int
}

const trialTime = 15 * time.Second

var epoch = time.Unix(0, 0)

// run offers the loads for trialTime to trialCapacity places, with arrivals and
// durations drawn from exponential distributions, and returns a tally for each
// load.
func run(seed uint64, loads ...load) []tally {
	var services []Service
	for _, l := range loads {
		services = append(services, l.service)
	}
	tr := &trial{
		random:  rand.New(rand.NewPCG(seed, 1)),
		control: NewController(trialCapacity, services),
		loads:   loads,
		tallies: make([]tally, len(loads)),
		work:    map[WorkID]job{},
	}
	for i := range loads {
		tr.schedule(epoch, i)
	}
	for tr.queue.Len() > 0 {
		tr.step(heap.Pop(&tr.queue).(event))
	}
	return tr.tallies
}

func (tr *trial) exponential(mean float64) time.Duration {
	return time.Duration(-math.Log(1-tr.random.Float64()) * mean)
}

func (tr *trial) schedule(now time.Time, i int) {
	at := now.Add(tr.exponential(float64(time.Second) / tr.loads[i].rate))
	if at.Sub(epoch) < trialTime {
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
			tr.apply(e.at, tr.control.Abandon(e.at, e.id))
		}
	}
}

func (tr *trial) arrive(e event) {
	tr.schedule(e.at, e.load)
	l := tr.loads[e.load]
	tr.next++
	w := Work{ID: tr.next, Service: l.service.Name, Deadline: e.at.Add(l.deadline)}
	w.InTransaction = tr.random.Float64() < l.openShare
	tr.work[w.ID] = job{Work: w, load: e.load}
	tr.tallies[e.load].offered++
	if w.InTransaction {
		tr.tallies[e.load].openOffered++
	}
	if l.patience > 0 {
		heap.Push(&tr.queue, event{at: e.at.Add(l.patience), kind: eventAbandon, id: w.ID})
	}
	tr.apply(e.at, tr.control.Arrive(e.at, w))
}

func (tr *trial) finish(e event, j job) {
	t := &tr.tallies[j.load]
	if e.at.After(j.Deadline) {
		t.late++
	} else {
		t.good++
		if j.InTransaction {
			t.openGood++
		}
	}
	delete(tr.work, e.id)
	tr.apply(e.at, tr.control.Finish(e.at, e.id))
}

func (tr *trial) apply(now time.Time, effects []Effect) {
	for _, effect := range effects {
		j := tr.work[effect.ID]
		if effect.Refused != nil {
			tr.tallies[j.load].refused++
			delete(tr.work, effect.ID)
			continue
		}
		end := now.Add(tr.exponential(float64(tr.loads[j.load].mean)))
		heap.Push(&tr.queue, event{at: end, kind: eventFinish, id: effect.ID})
	}
}

const (
	trialCapacity = 20
	trialMean     = 10 * time.Millisecond
	// trialRate is the work a second that the capacity can do.
	trialRate = trialCapacity / 0.010
)

// steady is a service with a rate in parts of the capacity.
func steady(name string, rate float64) load {
	return load{
		service:  Service{Name: name, Weight: 1, Concurrency: trialCapacity, QueueLength: 200},
		rate:     rate * trialRate,
		mean:     trialMean,
		deadline: 100 * time.Millisecond,
	}
}

// TestGoodputUnderOverload offers twice the capacity.
func TestGoodputUnderOverload(t *testing.T) {
	stay, leave, open := steady("a", 2), steady("a", 2), steady("a", 2)
	leave.patience = 90 * time.Millisecond
	open.openShare = 0.33
	for seed := range uint64(3) {
		for _, tc := range []struct {
			name string
			load load
		}{
			{"callers that stay", stay},
			{"callers that go away after 90 ms", leave},
			{"a third in transactions", open},
		} {
			got := run(seed, tc.load)[0]
			goodput := float64(got.good) / (trialRate * trialTime.Seconds())
			t.Logf("seed %d, %s: goodput %.1f %% of capacity, late %d, refused %d of %d",
				seed, tc.name, 100*goodput, got.late, got.refused, got.offered)
			assert.Assert(t, goodput >= 0.90, tc.name)
			if got.openOffered > 0 {
				open := float64(got.openGood) / float64(got.openOffered)
				t.Logf("transactions in progress: %.2f %% good", 100*open)
				assert.Assert(t, open > 0.97)
			}
		}
	}
}

// TestSurgeStaysWithItsService compares a service's goodput beside a quiet
// neighbour with that beside one that surges.
func TestSurgeStaysWithItsService(t *testing.T) {
	victim, quiet := steady("victim", 0.45), steady("other", 0.4)
	twice, tenfold, higher, longer := steady("other", 2), steady("other", 10), steady("other", 10), steady("other", 2)
	higher.service.Priority = 9
	longer.mean, longer.deadline = 10*trialMean, time.Second
	for seed := range uint64(3) {
		before := run(seed, victim, quiet)[0]
		for _, tc := range []struct {
			name  string
			surge load
		}{
			{"to twice the capacity", twice},
			{"to ten times the capacity", tenfold},
			{"of a higher priority", higher},
			{"of work that takes ten times as long", longer},
		} {
			during := run(seed, victim, tc.surge)[0]
			shareBefore := float64(before.good) / float64(before.offered)
			shareDuring := float64(during.good) / float64(during.offered)
			cost := 1 - shareDuring/shareBefore
			t.Logf("seed %d, surge %s: goodput %.2f %% before, %.2f %% during, cost %.2f %%",
				seed, tc.name, 100*shareBefore, 100*shareDuring, 100*cost)
			assert.Assert(t, cost < 0.10, tc.name)
		}
	}
}
