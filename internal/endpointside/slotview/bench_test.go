package slotview

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/api/link"
	"hemlockmast/api/service"
	"hemlockmast/internal/endpointside/watch"
)

const benchSlots = 3

func benchView(groups int) *View {
	cfg := &service.Configuration{}
	for g := range groups {
		group := &service.Group{Name: fmt.Sprintf("group-%04d", g), Databases: []string{"db"}}
		for s := range benchSlots {
			group.Slots = append(group.Slots, &service.Slot{Name: fmt.Sprint("s", s), ConnectionLimit: 45})
		}
		cfg.Groups = append(cfg.Groups, group)
	}
	v := New()
	v.SetConfiguration(cfg)
	return v
}

func benchObservation(n, groups int) watch.Observation {
	index := uint64(n)
	return watch.Observation{AskedAt: time.Unix(int64(n), 0), Status: &link.SlotStatus{
		Group: fmt.Sprintf("group-%04d", n%groups), Slot: fmt.Sprint("s", n/groups%benchSlots),
		Incarnation: "0123456789abcdef", FencedTerm: 5, SyncedTerm: 5, SyncedIndex: index,
		AppliedTerm: 5, AppliedIndex: index, Reachable: true, Observer: "vm-0001/0123456789abcdef",
		Sequence: index + 1, ConnLimit: 45,
	}}
}

// BenchmarkApply measures the time to apply one status and the memory that the
// view uses per group, for different numbers of groups of three slots.
//
//	go test -run '^$' -bench Apply ./internal/endpointside/slotview
func BenchmarkApply(b *testing.B) {
	for _, groups := range []int{1, 10, 100, 533, 1600} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			v := benchView(groups)
			n := 0
			for ; n < groups*benchSlots; n++ {
				v.Apply(benchObservation(n, groups), time.Unix(int64(n), 0))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for ; b.Loop(); n++ {
				v.Apply(benchObservation(n, groups), time.Unix(int64(n), 0))
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(groups), "B-heap/group")
			g, _ := v.Group("group-0000")
			assert.Assert(b, g.Slots[0].Known && g.Slots[benchSlots-1].Known)
		})
	}
}

// BenchmarkGroups measures the time to list all groups in order, which the
// leader of the control group does 20 times a second.
//
//	go test -run '^$' -bench Groups ./internal/endpointside/slotview
func BenchmarkGroups(b *testing.B) {
	for _, groups := range []int{10, 100, 533, 1600} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			v := benchView(groups)
			for b.Loop() {
				if len(v.Groups()) != groups {
					b.Fatal("groups are missing")
				}
			}
		})
	}
}
