package assign

import (
	"fmt"
	"testing"
)

// BenchmarkHolders measures choosing two holders of one slot, by number of
// candidates.
//
//	go test -run '^$' -bench Holders ./internal/membership/assign
func BenchmarkHolders(b *testing.B) {
	for _, count := range []int{9, 36, 120, 400, 1200} {
		b.Run(fmt.Sprintf("candidates=%d", count), func(b *testing.B) {
			var all []Candidate
			for i := range count {
				all = append(all, Candidate{Name: fmt.Sprintf("vm%04d", i), FailureDomain: fmt.Sprint("fd", i%12)})
			}
			slot := Slot{Group: "group-0001", Name: "s1", FailureDomain: "fd3"}
			for b.Loop() {
				if names := Holders(slot, all, 2); len(names) != 2 {
					b.Fatal(names)
				}
			}
		})
	}
}
