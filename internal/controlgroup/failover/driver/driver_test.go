package driver

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/suspect"
	"hemlockmast/internal/shared/logpos"
)

// inBubble runs a test on virtual time, with drivers for group g0 that each see
// the endpoints through an observer in each of two failure domains.
func inBubble(t *testing.T, drivers int, test func(t *testing.T, net *fakeNet, terms *fakeTerms, rigs []*rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net, terms := newNet(1), newTerms()
		var rigs []*rig
		var observers sync.WaitGroup
		for i := range drivers {
			r := newRig(t, ctx, net, terms, fmt.Sprintf("p%d", i), 4)
			r.driver.Add("g0", firstPrimary())
			for _, slot := range slots {
				for _, domain := range []string{"d1", "d2"} {
					o := &Observer{
						Name: domain, Domain: domain, Group: "g0", Slot: slot, Connect: net.connect,
						Report: r.driver.Report,
						Status: func(group string, st endpoint.Status, _ time.Time) { r.driver.Observe(group, st) },
					}
					observers.Go(func() { o.Run(ctx) })
				}
			}
			rigs = append(rigs, r)
		}
		time.Sleep(time.Second)
		test(t, net, terms, rigs)
		cancel()
		observers.Wait()
		for _, r := range rigs {
			assert.NilError(t, r.driver.Wait())
		}
	})
}

// inLine checks that slot leads the group alone and the others hold its log.
func inLine(t *testing.T, net *fakeNet, slot string) {
	t.Helper()
	p := net.status("g0", slot)
	assert.Equal(t, p.Role, endpoint.RolePrimary)
	for _, s := range slots {
		st := net.status("g0", s)
		assert.Equal(t, st.FencedTerm, p.FencedTerm, "slot %s", s)
		assert.Equal(t, st.Synced, p.Synced, "slot %s", s)
		assert.Equal(t, st.Role == endpoint.RolePrimary, s == slot, "slot %s", s)
	}
}

func TestDriver(t *testing.T) {
	set := func(net *fakeNet, slot string, do func(e *fakeEndpoint)) { net.with("g0", slot, do) }
	for _, tc := range []struct {
		name    string
		drivers int
		run     func(t *testing.T, net *fakeNet, terms *fakeTerms, rigs []*rig)
	}{
		{"primary killed, back with a tail", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, rigs []*rig) {
			set(net, "a", func(e *fakeEndpoint) { e.down = true; e.st.Synced.Index = 7 })
			rigs[0].awaitPrimary(t, 150*time.Millisecond)
			assert.Equal(t, rigs[0].primary().Primary, "b")
			set(net, "a", func(e *fakeEndpoint) { e.down = false })
			time.Sleep(10 * time.Second)
			inLine(t, net, "b")
			assert.Equal(t, rigs[0].count(PromotionBegun), 1)
		}},
		{"primary freezes and wakes", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, rigs []*rig) {
			set(net, "a", func(e *fakeEndpoint) { e.frozen = true })
			rigs[0].awaitPrimary(t, time.Second)
			set(net, "a", func(e *fakeEndpoint) { e.frozen = false })
			time.Sleep(10 * time.Second)
			inLine(t, net, "b")
		}},
		{"short freeze: no promotion", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, rigs []*rig) {
			set(net, "a", func(e *fakeEndpoint) { e.frozen = true })
			time.Sleep(150 * time.Millisecond)
			set(net, "a", func(e *fakeEndpoint) { e.frozen = false })
			time.Sleep(10 * time.Second)
			inLine(t, net, "a")
			assert.Equal(t, rigs[0].count(PromotionBegun), 0)
		}},
		{"two promoters at once agree in the end", 2, func(t *testing.T, net *fakeNet, _ *fakeTerms, rigs []*rig) {
			set(net, "a", func(e *fakeEndpoint) { e.down = true })
			time.Sleep(10 * time.Second)
			set(net, "a", func(e *fakeEndpoint) { e.down = false })
			time.Sleep(10 * time.Second)
			assert.Equal(t, rigs[0].primary().Term, rigs[1].primary().Term)
			inLine(t, net, rigs[0].primary().Primary)
		}},
		{"no majority: nothing is promoted until a slot is back", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, rigs []*rig) {
			set(net, "a", func(e *fakeEndpoint) { e.down = true })
			set(net, "b", func(e *fakeEndpoint) { e.down = true })
			time.Sleep(20 * time.Second)
			assert.Equal(t, rigs[0].primary().Term, uint64(0))
			assert.Equal(t, rigs[0].count(Reported), 4, "changes only")
			assert.Assert(t, rigs[0].count(Unanswered) <= 2*rigs[0].count(PromotionBegun), "once an attempt and slot")
			set(net, "b", func(e *fakeEndpoint) { e.down = false })
			rigs[0].awaitPrimary(t, 3*time.Second)
		}},
		{"second loss during the promotion", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, rigs []*rig) {
			set(net, "a", func(e *fakeEndpoint) { e.down = true })
			for rigs[0].count(Chosen) == 0 {
				time.Sleep(time.Millisecond)
			}
			set(net, "b", func(e *fakeEndpoint) { e.frozen = true })
			set(net, "a", func(e *fakeEndpoint) { e.down = false })
			rigs[0].awaitPrimary(t, 10*time.Second)
			set(net, "b", func(e *fakeEndpoint) { e.frozen = false })
			time.Sleep(20 * time.Second)
			inLine(t, net, rigs[0].primary().Primary)
		}},
		{"terms cannot be allocated at first", 1, func(t *testing.T, net *fakeNet, terms *fakeTerms, rigs []*rig) {
			terms.mu.Lock()
			terms.failing = 2
			terms.mu.Unlock()
			set(net, "a", func(e *fakeEndpoint) { e.down = true })
			rigs[0].awaitPrimary(t, 10*time.Second)
			assert.Equal(t, rigs[0].count(NoTerm), 2)
		}},
		{"cut off from control and the primary, then healed: no promotion", 1, func(t *testing.T, net *fakeNet, terms *fakeTerms, rigs []*rig) {
			fail := func(n int) { terms.mu.Lock(); terms.failing = n; terms.mu.Unlock() }
			fail(1000)
			set(net, "a", func(e *fakeEndpoint) { e.down = true })
			time.Sleep(5 * time.Second)
			assert.Assert(t, rigs[0].count(NoTerm) > 1)
			set(net, "a", func(e *fakeEndpoint) { e.down = false })
			time.Sleep(700 * time.Millisecond)
			fail(0)
			time.Sleep(20 * time.Second)
			assert.Equal(t, rigs[0].count(PromotionBegun), 0)
			inLine(t, net, "a")
		}},
		{"replica with an empty disk counts after a new term, the primary stays", 1, func(t *testing.T, net *fakeNet, terms *fakeTerms, rigs []*rig) {
			set(net, "c", func(e *fakeEndpoint) {
				e.st = endpoint.Status{Group: "g0", Slot: "c", Incarnation: "c2"}
			})
			rigs[0].awaitPrimary(t, 10*time.Second)
			time.Sleep(5 * time.Second)
			inLine(t, net, "a")
			p := rigs[0].primary()
			assert.Equal(t, p.Members[2].Incarnation, "c2")
			assert.Equal(t, p.Members[2].Since, p.Term)
		}},
		{"replica fenced by a promoter that died gets a new term", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, rigs []*rig) {
			set(net, "b", func(e *fakeEndpoint) { e.st.FencedTerm, e.st.FencedBy = 6, "dead" })
			rigs[0].awaitPrimary(t, 10*time.Second)
			time.Sleep(5 * time.Second)
			inLine(t, net, "a")
			assert.Equal(t, rigs[0].primary().Term, uint64(7))
		}},
		{"primary of a promoter that told nobody is noticed", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, rigs []*rig) {
			for _, s := range slots {
				set(net, s, func(e *fakeEndpoint) { e.st.FencedTerm, e.st.FencedBy = 5, "dead" })
			}
			set(net, "b", func(e *fakeEndpoint) { e.st.Role, e.st.Synced = endpoint.RolePrimary, logpos.Pos{Term: 5, Index: 2} })
			rigs[0].awaitPrimary(t, 10*time.Second)
			assert.Equal(t, rigs[0].primary().Term, uint64(5))
			time.Sleep(5 * time.Second)
			inLine(t, net, "b")
		}},
		{"one observer in one direction: no promotion", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, rigs []*rig) {
			for range 20 {
				rigs[0].driver.Report("g0", suspect.Report{Observer: "x", Domain: "d3", Slot: "a", Level: suspect.Undialable})
				time.Sleep(200 * time.Millisecond)
			}
			assert.Equal(t, rigs[0].count(PromotionBegun), 0)
			assert.Assert(t, rigs[0].count(ConfirmationGiven) > 1)
			assert.Assert(t, rigs[0].count(ConfirmationAsked) < 10, "a denial must pause the questions")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) { inBubble(t, tc.drivers, tc.run) })
	}
}

// promoteAll loses the primaries of all groups at once, and returns when each
// group has told of a new one.
func promoteAll(t testing.TB, groups, maxPromotions int) (*rig, time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	net := newNet(groups)
	r := newRig(t, ctx, net, newTerms(), "p", maxPromotions)
	for g := range groups {
		r.driver.Add(groupName(g), firstPrimary())
		net.with(groupName(g), "a", func(e *fakeEndpoint) { e.down = true })
	}
	began := time.Now()
	for g := range groups {
		for _, domain := range []string{"d1", "d2"} {
			r.driver.Report(groupName(g), suspect.Report{Observer: domain, Domain: domain, Slot: "a", Level: suspect.Undialable})
		}
	}
	for range groups {
		<-r.told
	}
	took := time.Since(began)
	cancel()
	assert.NilError(t, r.driver.Wait())
	return r, took
}

func TestManyGroupsWithBoundedConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const groups, limit = 100, 8
		r, _ := promoteAll(t, groups, limit)
		assert.Equal(t, r.count(Promoted), groups)
		running, peak := 0, 0
		for _, e := range r.events {
			switch e.Kind {
			case PromotionBegun:
				running++
			case Promoted:
				running--
			}
			peak = max(peak, running)
		}
		assert.Equal(t, peak, limit)
	})
}

func TestRemovedGroupsGiveTheirTurnsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const groups, limit = 50, 4
		ctx, cancel := context.WithCancel(t.Context())
		net := newNet(groups)
		r := newRig(t, ctx, net, newTerms(), "p", limit)
		for g := range groups {
			r.driver.Add(groupName(g), firstPrimary())
			net.with(groupName(g), "a", func(e *fakeEndpoint) { e.down = true })
			for _, d := range []string{"d1", "d2"} {
				r.driver.Report(groupName(g), suspect.Report{Observer: d, Domain: d, Slot: "a", Level: suspect.Undialable})
			}
		}
		for g := range groups - 1 {
			time.Sleep(time.Duration(g%5) * time.Millisecond)
			r.driver.Remove(groupName(g))
		}
		synctest.Wait()
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(r.driver.turns), 0)
		assert.Equal(t, r.primary().Term, uint64(2), "the group that stayed")
		cancel()
		assert.NilError(t, r.driver.Wait())
	})
}

func TestConfigError(t *testing.T) {
	_, err := New(t.Context(), Config{Promoter: "p"})
	e, ok := err.(*ConfigError)
	assert.Assert(t, ok && e.Field == "Connect", "%v", err)
}

// BenchmarkPromotions measures the time from the loss of the primaries of some
// groups until all have a new one, over fakes that take 10 ms to connect and
// 1 ms for a command.
func BenchmarkPromotions(b *testing.B) {
	for _, groups := range []int{1, 10, 100, 300, 1000} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			var total time.Duration
			for b.Loop() {
				_, took := promoteAll(b, groups, 64)
				total += took
			}
			b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "ms/all")
			b.ReportMetric(float64(total.Microseconds())/float64(b.N)/float64(groups), "us/group")
		})
	}
}
