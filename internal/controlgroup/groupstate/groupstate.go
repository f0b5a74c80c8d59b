// Package groupstate is the replicated state machine for the records of database
// groups. A record holds the last term that was allocated to a promoter and the
// incarnations of endpoints that count towards majorities.
//
// The rules are those of quorum.Membership. This package keeps one membership for
// each group and defines the encoding of commands, results and snapshots.
package groupstate

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"hemlockmast/api/control"
	"hemlockmast/internal/controlgroup/quorum"
)

const (
	// maxGroups is the maximum number of records.
	maxGroups = 1 << 16
	// maxSlots is the maximum number of slots of one group.
	maxSlots = 64
)

// Result codes, the first byte of a command's result.
const (
	resultRecord  byte = iota // the encoded record follows
	resultRefused             // the text of RefusedError.Detail follows
)

// RefusedError reports a command that was refused and changed nothing, or a result
// that cannot be decoded.
type RefusedError struct{ Detail string }

func (e *RefusedError) Error() string { return "group record unchanged: " + e.Detail }

// State holds the records of all groups. It is not safe for concurrent use.
type State struct {
	records map[string]*control.GroupRecord
	version uint64
}

// New returns an empty State.
func New() *State { return &State{records: map[string]*control.GroupRecord{}} }

// Apply runs the command of the log entry at index and returns the encoded result
// for DecodeResult.
func (s *State) Apply(index uint64, cmd *control.GroupCommand) []byte {
	record, err := s.apply(index, cmd)
	if err != nil {
		return append([]byte{resultRefused}, err.Detail...)
	}
	out, encodeErr := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if encodeErr != nil {
		return append([]byte{resultRefused}, encodeErr.Error()...)
	}
	return append([]byte{resultRecord}, out...)
}

// DecodeResult decodes a result of Apply. The error is a *RefusedError.
func DecodeResult(result []byte) (*control.GroupRecord, error) {
	if len(result) == 0 {
		return nil, &RefusedError{Detail: "the answer is empty"}
	}
	if result[0] != resultRecord {
		return nil, &RefusedError{Detail: string(result[1:])}
	}
	record := &control.GroupRecord{}
	if err := proto.Unmarshal(result[1:], record); err != nil {
		return nil, &RefusedError{Detail: err.Error()}
	}
	return record, nil
}

func (s *State) apply(index uint64, cmd *control.GroupCommand) (*control.GroupRecord, *RefusedError) {
	if cmd.Group == "" || len(cmd.Seen) > maxSlots {
		return nil, &RefusedError{Detail: "a group and at most 64 slots must be named"}
	}
	if cmd.Allocate {
		return s.allocateTerm(index, cmd)
	}
	return s.createRecord(index, cmd)
}

// createRecord creates the record of a new group with the incarnations that it
// starts with, at the term cmd.AtLeast. If the group has a record already, it
// returns that unchanged.
func (s *State) createRecord(index uint64, cmd *control.GroupCommand) (*control.GroupRecord, *RefusedError) {
	if record := s.records[cmd.Group]; record != nil {
		return record, nil
	}
	if len(s.records) >= maxGroups {
		return nil, &RefusedError{Detail: fmt.Sprintf("there are %d groups already", maxGroups)}
	}
	var slots []string
	for _, seen := range cmd.Seen {
		if seen.Slot == "" || seen.Incarnation == "" || slices.Contains(slots, seen.Slot) {
			return nil, &RefusedError{Detail: "a new group needs the incarnation of each slot once"}
		}
		slots = append(slots, seen.Slot)
	}
	if len(slots) == 0 {
		return nil, &RefusedError{Detail: "a new group needs slots"}
	}
	slices.Sort(slots)
	membership := quorum.Membership{Term: cmd.AtLeast}.SetSlots(slots).RecordInitial(seenSlots(cmd))
	return s.storeRecord(index, cmd.Group, membership), nil
}

// allocateTerm allocates the next term and records new incarnations.
func (s *State) allocateTerm(index uint64, cmd *control.GroupCommand) (*control.GroupRecord, *RefusedError) {
	old := s.records[cmd.Group]
	if old == nil {
		return nil, &RefusedError{Detail: "the group has no record yet"}
	}
	membership := quorum.Membership{Term: old.Term, Members: Members(old)}
	return s.storeRecord(index, cmd.Group, membership.AllocateTerm(cmd.AtLeast, seenSlots(cmd))), nil
}

// seenSlots returns the incarnations that cmd carries.
func seenSlots(cmd *control.GroupCommand) []quorum.Seen {
	seen := make([]quorum.Seen, 0, len(cmd.Seen))
	for _, s := range cmd.Seen {
		seen = append(seen, quorum.Seen{Slot: s.Slot, Incarnation: s.Incarnation})
	}
	return seen
}

// storeRecord replaces the group's record. Its version is index.
func (s *State) storeRecord(index uint64, group string, membership quorum.Membership) *control.GroupRecord {
	record := &control.GroupRecord{Group: group, Term: membership.Term, Version: index}
	for _, m := range membership.Members {
		record.Members = append(record.Members, &control.Member{
			Slot: m.Slot, Incarnation: m.Incarnation, Since: m.Since,
		})
	}
	s.records[group] = record
	s.version = index
	return record
}

// Version returns the log index of the last command that changed a record.
func (s *State) Version() uint64 { return s.version }

// ChangedAfter returns the records that changed after version, sorted by group.
// The caller must not modify them.
func (s *State) ChangedAfter(version uint64) []*control.GroupRecord {
	var list []*control.GroupRecord
	for _, record := range s.records {
		if record.Version > version {
			list = append(list, record)
		}
	}
	slices.SortFunc(list, func(a, b *control.GroupRecord) int { return cmp.Compare(a.Group, b.Group) })
	return list
}

// Restore replaces the state by records.
func (s *State) Restore(records []*control.GroupRecord) {
	clear(s.records)
	s.version = 0
	for _, record := range records {
		s.records[record.Group] = record
		s.version = max(s.version, record.Version)
	}
}

// Members returns the record's members as package quorum counts them.
func Members(record *control.GroupRecord) []quorum.Member {
	members := make([]quorum.Member, 0, len(record.Members))
	for _, m := range record.Members {
		members = append(members, quorum.Member{Slot: m.Slot, Incarnation: m.Incarnation, Since: m.Since})
	}
	return members
}
