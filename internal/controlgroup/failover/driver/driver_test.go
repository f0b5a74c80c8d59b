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

// runInBubble runs a test in a synctest bubble, with drivers for group g0. Each
// driver has its own observers of every endpoint, in two failure domains.
func runInBubble(t *testing.T, drivers int, test func(t *testing.T, net *fakeNet, terms *fakeTerms, harnesses []*harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net, terms := newFakeNet(1), newFakeTerms()
		var harnesses []*harness
		var observers sync.WaitGroup
		for i := range drivers {
			r := newHarness(t, ctx, net, terms, fmt.Sprintf("p%d", i), 4)
			r.driver.Add("g0", initialPrimary())
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
			harnesses = append(harnesses, r)
		}
		time.Sleep(time.Second)
		test(t, net, terms, harnesses)
		cancel()
		observers.Wait()
		for _, r := range harnesses {
			assert.NilError(t, r.driver.Wait())
		}
	})
}

// assertInLine checks that slot is the group's only primary and that the other
// slots hold its log.
func assertInLine(t *testing.T, net *fakeNet, slot string) {
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
	set := func(net *fakeNet, slot string, do func(e *fakeEndpoint)) { net.update("g0", slot, do) }
	for _, tc := range []struct {
		name    string
		drivers int
		run     func(t *testing.T, net *fakeNet, terms *fakeTerms, harnesses []*harness)
	}{
		{"primary killed, returns with a divergent tail", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, harnesses []*harness) {
			set(net, "a", func(e *fakeEndpoint) { e.down = true; e.st.Synced.Index = 7 })
			harnesses[0].awaitPrimary(t, 150*time.Millisecond)
			assert.Equal(t, harnesses[0].primary().Primary, "b")
			set(net, "a", func(e *fakeEndpoint) { e.down = false })
			time.Sleep(10 * time.Second)
			assertInLine(t, net, "b")
			assert.Equal(t, harnesses[0].count(PromotionBegun), 1)
		}},
		{"primary freezes and resumes", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, harnesses []*harness) {
			set(net, "a", func(e *fakeEndpoint) { e.frozen = true })
			harnesses[0].awaitPrimary(t, time.Second)
			set(net, "a", func(e *fakeEndpoint) { e.frozen = false })
			time.Sleep(10 * time.Second)
			assertInLine(t, net, "b")
		}},
		{"short freeze: no promotion", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, harnesses []*harness) {
			set(net, "a", func(e *fakeEndpoint) { e.frozen = true })
			time.Sleep(150 * time.Millisecond)
			set(net, "a", func(e *fakeEndpoint) { e.frozen = false })
			time.Sleep(10 * time.Second)
			assertInLine(t, net, "a")
			assert.Equal(t, harnesses[0].count(PromotionBegun), 0)
		}},
		{"two concurrent promoters converge", 2, func(t *testing.T, net *fakeNet, _ *fakeTerms, harnesses []*harness) {
			set(net, "a", func(e *fakeEndpoint) { e.down = true })
			time.Sleep(10 * time.Second)
			set(net, "a", func(e *fakeEndpoint) { e.down = false })
			time.Sleep(10 * time.Second)
			assert.Equal(t, harnesses[0].primary().Term, harnesses[1].primary().Term)
			assertInLine(t, net, harnesses[0].primary().Primary)
		}},
		{"no majority: nothing is promoted until a slot is back", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, harnesses []*harness) {
			set(net, "a", func(e *fakeEndpoint) { e.down = true })
			set(net, "b", func(e *fakeEndpoint) { e.down = true })
			time.Sleep(20 * time.Second)
			assert.Equal(t, harnesses[0].primary().Term, uint64(0))
			assert.Equal(t, harnesses[0].count(Reported), 4, "changes only")
			assert.Assert(t, harnesses[0].count(Unanswered) <= 2*harnesses[0].count(PromotionBegun), "once an attempt and slot")
			set(net, "b", func(e *fakeEndpoint) { e.down = false })
			harnesses[0].awaitPrimary(t, 3*time.Second)
		}},
		{"second loss during the promotion", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, harnesses []*harness) {
			set(net, "a", func(e *fakeEndpoint) { e.down = true })
			for harnesses[0].count(Chosen) == 0 {
				time.Sleep(time.Millisecond)
			}
			set(net, "b", func(e *fakeEndpoint) { e.frozen = true })
			set(net, "a", func(e *fakeEndpoint) { e.down = false })
			harnesses[0].awaitPrimary(t, 10*time.Second)
			set(net, "b", func(e *fakeEndpoint) { e.frozen = false })
			time.Sleep(20 * time.Second)
			assertInLine(t, net, harnesses[0].primary().Primary)
		}},
		{"the first term allocations fail", 1, func(t *testing.T, net *fakeNet, terms *fakeTerms, harnesses []*harness) {
			terms.mu.Lock()
			terms.failuresLeft = 2
			terms.mu.Unlock()
			set(net, "a", func(e *fakeEndpoint) { e.down = true })
			harnesses[0].awaitPrimary(t, 10*time.Second)
			assert.Equal(t, harnesses[0].count(NoTerm), 2)
		}},
		{"partitioned from control and the primary, then healed: no promotion", 1, func(t *testing.T, net *fakeNet, terms *fakeTerms, harnesses []*harness) {
			fail := func(n int) { terms.mu.Lock(); terms.failuresLeft = n; terms.mu.Unlock() }
			fail(1000)
			set(net, "a", func(e *fakeEndpoint) { e.down = true })
			time.Sleep(5 * time.Second)
			assert.Assert(t, harnesses[0].count(NoTerm) > 1)
			set(net, "a", func(e *fakeEndpoint) { e.down = false })
			time.Sleep(700 * time.Millisecond)
			fail(0)
			time.Sleep(20 * time.Second)
			assert.Equal(t, harnesses[0].count(PromotionBegun), 0)
			assertInLine(t, net, "a")
		}},
		{"replica with an empty disk counts from a new term on, the primary stays", 1, func(t *testing.T, net *fakeNet, terms *fakeTerms, harnesses []*harness) {
			set(net, "c", func(e *fakeEndpoint) {
				e.st = endpoint.Status{Group: "g0", Slot: "c", Incarnation: "c2"}
			})
			harnesses[0].awaitPrimary(t, 10*time.Second)
			time.Sleep(5 * time.Second)
			assertInLine(t, net, "a")
			p := harnesses[0].primary()
			assert.Equal(t, p.Members[2].Incarnation, "c2")
			assert.Equal(t, p.Members[2].Since, p.Term)
		}},
		{"replica fenced by a promoter that died gets a new term", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, harnesses []*harness) {
			set(net, "b", func(e *fakeEndpoint) { e.st.FencedTerm, e.st.FencedBy = 6, "dead" })
			harnesses[0].awaitPrimary(t, 10*time.Second)
			time.Sleep(5 * time.Second)
			assertInLine(t, net, "a")
			assert.Equal(t, harnesses[0].primary().Term, uint64(7))
		}},
		{"primary that its promoter never announced is adopted", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, harnesses []*harness) {
			for _, s := range slots {
				set(net, s, func(e *fakeEndpoint) { e.st.FencedTerm, e.st.FencedBy = 5, "dead" })
			}
			set(net, "b", func(e *fakeEndpoint) { e.st.Role, e.st.Synced = endpoint.RolePrimary, logpos.Pos{Term: 5, Index: 2} })
			harnesses[0].awaitPrimary(t, 10*time.Second)
			assert.Equal(t, harnesses[0].primary().Term, uint64(5))
			time.Sleep(5 * time.Second)
			assertInLine(t, net, "b")
		}},
		{"only one observer cannot reach the primary: no promotion", 1, func(t *testing.T, net *fakeNet, _ *fakeTerms, harnesses []*harness) {
			for range 20 {
				harnesses[0].driver.Report("g0", suspect.Report{Observer: "x", Domain: "d3", Slot: "a", Level: suspect.Undialable})
				time.Sleep(200 * time.Millisecond)
			}
			assert.Equal(t, harnesses[0].count(PromotionBegun), 0)
			assert.Assert(t, harnesses[0].count(ConfirmationGiven) > 1)
			assert.Assert(t, harnesses[0].count(ConfirmationAsked) < 10, "a denial must delay the next request for confirmation")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) { runInBubble(t, tc.drivers, tc.run) })
	}
}

// measurePromotions takes down the primaries of all groups at once and returns the
// time until each group has announced a new one.
func measurePromotions(t testing.TB, groups, maxPromotions int) (*harness, time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	net := newFakeNet(groups)
	r := newHarness(t, ctx, net, newFakeTerms(), "p", maxPromotions)
	for g := range groups {
		r.driver.Add(groupName(g), initialPrimary())
		net.update(groupName(g), "a", func(e *fakeEndpoint) { e.down = true })
	}
	began := time.Now()
	for g := range groups {
		for _, domain := range []string{"d1", "d2"} {
			r.driver.Report(groupName(g), suspect.Report{Observer: domain, Domain: domain, Slot: "a", Level: suspect.Undialable})
		}
	}
	for range groups {
		<-r.announcements
	}
	took := time.Since(began)
	cancel()
	assert.NilError(t, r.driver.Wait())
	return r, took
}

func TestManyGroupsWithBoundedConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const groups, limit = 100, 8
		r, _ := measurePromotions(t, groups, limit)
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

func TestRemovedGroupsReleaseTheirPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const groups, limit = 50, 4
		ctx, cancel := context.WithCancel(t.Context())
		net := newFakeNet(groups)
		r := newHarness(t, ctx, net, newFakeTerms(), "p", limit)
		for g := range groups {
			r.driver.Add(groupName(g), initialPrimary())
			net.update(groupName(g), "a", func(e *fakeEndpoint) { e.down = true })
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
		assert.Equal(t, len(r.driver.permits), 0)
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

// BenchmarkPromotions measures the time from the loss of the primaries of all
// groups until each group has a new one. The fake endpoints take 10 ms to connect
// and 1 ms for a command.
func BenchmarkPromotions(b *testing.B) {
	for _, groups := range []int{1, 10, 100, 300, 1000} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			var total time.Duration
			for b.Loop() {
				_, took := measurePromotions(b, groups, 64)
				total += took
			}
			b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "ms/all")
			b.ReportMetric(float64(total.Microseconds())/float64(b.N)/float64(groups), "us/group")
		})
	}
}
