package groupstate

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hemlockmast/api/control"
)

// seenList builds a list from alternating slots and incarnations.
func seenList(pairs ...string) (list []*control.SeenSlot) {
	for i := 0; i < len(pairs); i += 2 {
		list = append(list, &control.SeenSlot{Slot: pairs[i], Incarnation: pairs[i+1]})
	}
	return list
}

func memberOf(record *control.GroupRecord, slot string) *control.Member {
	for _, m := range record.Members {
		if m.Slot == slot {
			return m
		}
	}
	return nil
}

func createTestGroup(s *State) {
	s.Apply(1, &control.GroupCommand{Group: "g", Seen: seenList("s1", "a", "s2", "b", "s3", "c")})
}

func TestCommands(t *testing.T) {
	for _, tc := range []struct {
		name    string
		cmd     *control.GroupCommand
		refused string
		term    uint64
		member  *control.Member
	}{
		{"creating a group again keeps its record", &control.GroupCommand{Group: "g", Seen: seenList("s1", "z")}, "", 0, &control.Member{Slot: "s1", Incarnation: "a"}},
		{"next term", &control.GroupCommand{Group: "g", Allocate: true}, "", 2, &control.Member{Slot: "s1", Incarnation: "a"}},
		{"the term is at least the requested one", &control.GroupCommand{Group: "g", Allocate: true, AtLeast: 9}, "", 9, nil},
		{"a lost disk: the new incarnation counts from the new term", &control.GroupCommand{Group: "g", Allocate: true, AtLeast: 4, Seen: seenList("s1", "new")}, "", 4, &control.Member{Slot: "s1", Incarnation: "new", Since: 4}},
		{"unconfigured slot is ignored", &control.GroupCommand{Group: "g", Allocate: true, Seen: seenList("s9", "x")}, "", 2, &control.Member{Slot: "s1", Incarnation: "a"}},
		{"no group", &control.GroupCommand{Allocate: true}, "must be named", 0, nil},
		{"unknown group", &control.GroupCommand{Group: "h", Allocate: true}, "no record yet", 0, nil},
		{"new group without slots", &control.GroupCommand{Group: "h"}, "needs slots", 0, nil},
		{"new group with a slot twice", &control.GroupCommand{Group: "h", Seen: seenList("s", "a", "s", "b")}, "once", 0, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New()
			createTestGroup(s)
			record, err := DecodeResult(s.Apply(2, tc.cmd))
			if tc.refused != "" {
				assert.ErrorContains(t, err, tc.refused)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, record.Term, tc.term)
			if tc.member != nil {
				got := memberOf(record, tc.member.Slot)
				assert.Equal(t, got.Incarnation, tc.member.Incarnation)
				assert.Equal(t, got.Since, tc.member.Since)
			}
		})
	}
}

func TestDecodeResultRefusesDamage(t *testing.T) {
	for _, bad := range [][]byte{nil, {resultRefused, 'x'}, {resultRecord, 0xff}} {
		_, err := DecodeResult(bad)
		assert.ErrorContains(t, err, "group record unchanged")
	}
}

// TestTermsAreAllocatedOnce checks over random commands and restores that terms
// increase and that a new incarnation counts from the term of its recording.
func TestTermsAreAllocatedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		createTestGroup(s)
		last := uint64(0)
		for index := uint64(2); index < 30; index++ {
			if rapid.Bool().Draw(t, "restore") {
				records := s.ChangedAfter(0)
				s = New()
				s.Restore(records)
			}
			slot := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "slot")
			incarnation := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "incarnation")
			before := memberOf(s.records["g"], slot)
			record, err := DecodeResult(s.Apply(index, &control.GroupCommand{
				Group: "g", Allocate: true, Seen: seenList(slot, incarnation),
				AtLeast: rapid.Uint64Range(0, 20).Draw(t, "at least"),
			}))
			if err != nil || record.Term <= last {
				t.Fatalf("term %d after %d: %v", record.GetTerm(), last, err)
			}
			last = record.Term
			after := memberOf(record, slot)
			if after.Incarnation != before.Incarnation && after.Since != record.Term {
				t.Fatalf("incarnation recorded since %d in term %d", after.Since, record.Term)
			}
		}
	})
}
