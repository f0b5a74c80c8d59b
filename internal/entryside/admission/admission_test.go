package admission

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The seed is fixed so that each run gives the same verdict; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// script calls a controller step by step and logs its decisions. Times are in
// milliseconds.
type script struct {
	t          testing.TB
	controller *Controller
	log        []string
}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func (s *script) record(decisions []Decision) {
	for _, d := range decisions {
		if d.Refused != nil {
			s.log = append(s.log, fmt.Sprintf("%d:%d", d.ID, d.Refused.Reason))
			continue
		}
		s.log = append(s.log, fmt.Sprintf("%d:run", d.ID))
	}
}

func (s *script) arrive(ms int, id WorkID, service string, deadline int, inTx bool) {
	s.record(s.controller.Arrive(at(ms), Work{ID: id, Service: service, Deadline: at(deadline), InTransaction: inTx}))
}

func (s *script) finish(ms int, id WorkID)  { s.record(s.controller.Finish(at(ms), id)) }
func (s *script) abandon(ms int, id WorkID) { s.record(s.controller.Abandon(at(ms), id)) }

// Each case lists events and the decisions that they must lead to, in order:
// "id:run", or "id:" and the number of the reason for a refusal. The controller
// has a capacity of two. Services a and b have queues of two.
func TestFaults(t *testing.T) {
	services := []Service{
		{Name: "a", Weight: 1, Concurrency: 2, QueueLength: 2},
		{Name: "b", Weight: 1, Concurrency: 2, QueueLength: 2},
		{Name: "narrow", Weight: 0, Concurrency: 1, QueueLength: 5},
		{Name: "urgent", Weight: 0, Concurrency: 2, QueueLength: 5, Priority: 5},
	}
	for _, tc := range []struct {
		name string
		run  func(s *script)
		want []string
	}{
		{"unknown service", func(s *script) { s.arrive(0, 1, "nobody", 9, false) }, []string{"1:1"}},
		{"deadline already passed", func(s *script) { s.arrive(5, 1, "a", 4, false) }, []string{"1:3"}},
		{"queue full of work that can meet its deadline", func(s *script) {
			for id := range WorkID(5) {
				s.arrive(0, id+1, "a", 100, false)
			}
		}, []string{"1:run", "2:run", "5:2"}},
		{"queue full, some of it too late: refuse the late work", func(s *script) {
			s.arrive(0, 1, "a", 500, false)
			s.arrive(0, 2, "a", 500, false)
			s.arrive(0, 3, "a", 20, false)
			s.arrive(0, 4, "a", 20, false)
			s.arrive(30, 5, "a", 500, false)
		}, []string{"1:run", "2:run", "3:3", "4:3"}},
		{"queue full, work of a transaction in progress arrives", func(s *script) {
			for id := range WorkID(4) {
				s.arrive(0, id+1, "a", 100+int(id), false)
			}
			s.arrive(1, 5, "a", 100, true)
			s.finish(2, 1)
		}, []string{"1:run", "2:run", "4:4", "5:run"}},
		{"less time left than the service's work takes", func(s *script) {
			s.arrive(0, 1, "a", 900, false)
			s.finish(100, 1)
			s.arrive(100, 2, "a", 900, false)
			s.arrive(100, 3, "a", 199, false)
		}, []string{"1:run", "2:run", "3:3"}},
		{"estimate from a slow period does not refuse work forever", func(s *script) {
			s.arrive(0, 1, "a", 900, false)
			s.finish(800, 1)
			s.arrive(801, 2, "a", 901, false)
		}, []string{"1:run", "2:run"}},
		{"surge of a: later work of b is admitted first", func(s *script) {
			for id := range WorkID(4) {
				s.arrive(0, id+1, "a", 100, false)
			}
			s.arrive(1, 9, "b", 100, false)
			s.finish(2, 1)
			s.finish(3, 2)
		}, []string{"1:run", "2:run", "9:run", "3:run"}},
		{"both below their shares: the higher priority first", func(s *script) {
			s.arrive(0, 1, "a", 100, false)
			s.arrive(0, 2, "a", 100, false)
			s.arrive(1, 3, "b", 100, false)
			s.arrive(1, 4, "urgent", 100, false)
			s.finish(2, 1)
		}, []string{"1:run", "2:run", "4:run"}},
		{"too little time left behind the work ahead", func(s *script) {
			s.arrive(0, 1, "narrow", 900, false)
			s.finish(100, 1)
			s.arrive(100, 2, "narrow", 900, false)
			s.arrive(100, 3, "narrow", 400, false)
			s.arrive(100, 4, "narrow", 450, false)
		}, []string{"1:run", "2:run", "4:3"}},
		{"concurrency of one", func(s *script) {
			s.arrive(0, 1, "narrow", 100, false)
			s.arrive(0, 2, "narrow", 100, false)
			s.finish(1, 1)
		}, []string{"1:run", "2:run"}},
		{"caller of waiting work goes away", func(s *script) {
			s.arrive(0, 1, "narrow", 100, false)
			s.arrive(0, 2, "narrow", 100, false)
			s.arrive(0, 3, "narrow", 100, false)
			s.abandon(1, 2)
			s.finish(2, 1)
		}, []string{"1:run", "3:run"}},
		{"caller of running work goes away", func(s *script) {
			s.arrive(0, 1, "narrow", 100, false)
			s.arrive(0, 2, "narrow", 100, false)
			s.abandon(1, 1)
			s.finish(2, 1)
		}, []string{"1:run", "2:run"}},
		{"finished twice", func(s *script) {
			s.arrive(0, 1, "narrow", 100, false)
			s.arrive(0, 2, "narrow", 100, false)
			s.arrive(0, 3, "narrow", 100, false)
			s.finish(1, 1)
			s.finish(1, 1)
		}, []string{"1:run", "2:run"}},
		{"stopping: new work is refused, transactions continue", func(s *script) {
			s.controller.Stop()
			s.arrive(0, 1, "a", 100, false)
			s.arrive(0, 2, "a", 100, true)
		}, []string{"1:5", "2:run"}},
		{"service removed while its work waits", func(s *script) {
			s.arrive(0, 1, "narrow", 100, false)
			s.arrive(0, 2, "narrow", 100, false)
			s.record(s.controller.Configure(at(1), 2, services[:2]))
			s.finish(2, 1)
			s.arrive(3, 3, "narrow", 100, false)
		}, []string{"1:run", "2:1", "3:1"}},
		{"capacity lowered below the running work", func(s *script) {
			s.arrive(0, 1, "a", 100, false)
			s.arrive(0, 2, "a", 100, false)
			s.arrive(0, 3, "a", 100, false)
			s.record(s.controller.Configure(at(1), 1, services))
			s.finish(2, 1)
			s.finish(3, 2)
		}, []string{"1:run", "2:run", "3:run"}},
		{"deadline of waiting work passes without another event", func(s *script) {
			s.arrive(0, 1, "narrow", 100, false)
			s.arrive(0, 2, "narrow", 50, false)
			s.record(s.controller.Tick(at(51)))
		}, []string{"1:run", "2:3"}},
	} {
		s := &script{t: t, controller: NewController(2, services)}
		tc.run(s)
		assert.DeepEqual(t, s.log, tc.want)
	}
}

func TestAbandonmentIsCounted(t *testing.T) {
	s := &script{t: t, controller: NewController(1, []Service{{Name: "a", Weight: 1, Concurrency: 1, QueueLength: 2}})}
	s.arrive(0, 1, "a", 100, false)
	s.arrive(0, 2, "a", 100, false)
	s.abandon(1, 2)
	s.abandon(1, 1)
	got, _ := s.controller.Stats("a")
	assert.Equal(t, got, Stats{Admitted: 1, AbandonedWaiting: 1, AbandonedRunning: 1})
}

// Checks for random sequences of events that the limits hold, that each work
// item gets at most one decision, and that no work waits while there is free
// capacity for it.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var services []Service
		for _, name := range []string{"a", "b", "c"} {
			services = append(services, Service{
				Name: name, Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
				Concurrency: rapid.IntRange(1, 4).Draw(t, "concurrency"),
				QueueLength: rapid.IntRange(0, 4).Draw(t, "queue"),
			})
		}
		const capacity = 5
		c := NewController(capacity, services)
		running, seen := map[WorkID]bool{}, map[WorkID]bool{}
		now := 0
		for id := range WorkID(rapid.IntRange(1, 60).Draw(t, "events")) {
			now += rapid.IntRange(0, 5).Draw(t, "pause")
			other := WorkID(rapid.IntRange(0, int(id)).Draw(t, "other"))
			var decisions []Decision
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				s := rapid.SampledFrom(services).Draw(t, "service")
				decisions = c.Arrive(at(now), Work{
					ID: id, Service: s.Name, InTransaction: rapid.Bool().Draw(t, "open"),
					Deadline: at(now + rapid.IntRange(0, 40).Draw(t, "deadline")),
				})
			case 2:
				decisions = c.Finish(at(now), other)
				delete(running, other)
			case 3:
				decisions = c.Abandon(at(now), other)
				delete(running, other)
			case 4:
				decisions = c.Tick(at(now))
			}
			for _, d := range decisions {
				if seen[d.ID] {
					t.Fatalf("work %d has two decisions", d.ID)
				}
				seen[d.ID] = true
				if d.Refused == nil {
					running[d.ID] = true
				}
			}
			total := 0
			for _, s := range services {
				stats, _ := c.Stats(s.Name)
				total += stats.Running
				if stats.Running > s.Concurrency || stats.Waiting > max(1, s.QueueLength) {
					t.Fatalf("limits of %+v exceeded: %+v", s, stats)
				}
				if stats.Waiting > 0 && stats.Running < s.Concurrency && c.running < capacity {
					t.Fatalf("%s waits while there is free capacity", s.Name)
				}
			}
			if total != len(running) || total > capacity {
				t.Fatalf("%d work items run, Stats counts %d", len(running), total)
			}
		}
	})
}

func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget()
	granted := 0
	const tries = 1000
	for range tries {
		b.FirstTry()
		for range 3 {
			if b.Retry() {
				granted++
			}
		}
	}
	assert.Assert(t, granted <= tries/10+burstRetries, granted)
	assert.Assert(t, granted >= tries/10, granted)
	g := NewGate(time.Now, 1, nil)
	for i := range 1000 {
		g.FirstTry(fmt.Sprint("invented", i))
	}
	assert.Equal(t, len(g.budgets), 1)
}

func TestGateUnderConcurrency(t *testing.T) {
	const capacity = 4
	g := NewGate(time.Now, capacity, []Service{{Name: "a", Weight: 1, Concurrency: capacity, QueueLength: 1000}})
	var running, maxRunning, done atomic.Int64
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			for n := range 50 {
				ctx, cancel := context.WithCancel(context.Background())
				if (i+n)%7 == 0 {
					cancel()
				}
				permit, err := g.Acquire(ctx, Work{Service: "a", Deadline: time.Now().Add(time.Hour)})
				cancel()
				if err != nil {
					assert.Check(t, errors.Is(err, context.Canceled), err)
					continue
				}
				now := running.Add(1)
				for old := maxRunning.Load(); now > old && !maxRunning.CompareAndSwap(old, now); old = maxRunning.Load() {
				}
				running.Add(-1)
				done.Add(1)
				permit.Finish()
			}
		})
	}
	wg.Wait()
	stats, _ := g.Stats("a")
	assert.Assert(t, maxRunning.Load() <= capacity)
	assert.Equal(t, stats.Running+stats.Waiting, 0)
	assert.Equal(t, stats.Finished, uint64(done.Load()))
	assert.Equal(t, len(g.waiters), 0)
}

func TestGateRefusesWaitingWorkAtItsDeadline(t *testing.T) {
	g := NewGate(time.Now, 1, []Service{{Name: "a", Weight: 1, Concurrency: 1, QueueLength: 5}})
	ctx := context.Background()
	permit, err := g.Acquire(ctx, Work{Service: "a", Deadline: time.Now().Add(time.Hour)})
	assert.NilError(t, err)
	_, err = g.Acquire(ctx, Work{Service: "a", Deadline: time.Now().Add(20 * time.Millisecond)})
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Reason, ReasonNoTime)
	permit.Abandon()
	permit.Finish()
	stats, _ := g.Stats("a")
	assert.Equal(t, stats.AbandonedRunning, uint64(1))
	assert.Equal(t, stats.Finished, uint64(0))
}

func BenchmarkGate(b *testing.B) {
	g := NewGate(time.Now, 1<<20, []Service{{Name: "a", Weight: 1, Concurrency: 1 << 20, QueueLength: 5}})
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			permit, err := g.Acquire(context.Background(), Work{Service: "a", Deadline: deadline})
			if err != nil {
				b.Error(err)
				return
			}
			permit.Finish()
		}
	})
}
