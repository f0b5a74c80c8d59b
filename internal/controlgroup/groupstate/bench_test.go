package groupstate

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/api/control"
)

// BenchmarkRecords measures the time to allocate a term, the memory of all records
// and the size of their snapshot, which a starting daemon receives too.
//
//	go test -run '^$' -bench Records ./internal/controlgroup/groupstate
func BenchmarkRecords(b *testing.B) {
	for _, groups := range []int{10, 100, 533, 1600} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			machine := NewMachine()
			index := uint64(0)
			for ; index < uint64(groups); index++ {
				allocate(b, machine, index, groups)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			snapshot, err := machine.Snapshot()
			assert.NilError(b, err)
			for ; b.Loop(); index++ {
				allocate(b, machine, index, groups)
			}
			b.ReportMetric(float64(len(snapshot))/float64(groups), "B/group")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(groups), "B-heap/group")
			assert.Equal(b, len(machine.state.records), groups)
		})
	}
}

// allocate creates the record of the group at index or allocates its next term.
func allocate(b *testing.B, machine *Machine, index uint64, groups int) {
	cmd := &control.GroupCommand{Group: fmt.Sprintf("group-%04d", int(index)%groups), AtLeast: index}
	// The first command of a group creates its record.
	cmd.Allocate = index >= uint64(groups)
	for s := range 3 {
		cmd.Seen = append(cmd.Seen, &control.SeenSlot{Slot: fmt.Sprint("s", s), Incarnation: "0123456789abcdef"})
	}
	data, err := Encode(cmd)
	assert.NilError(b, err)
	record, err := DecodeResult(machine.Apply(index+1, data))
	assert.NilError(b, err)
	assert.Equal(b, len(record.Members), 3)
}
