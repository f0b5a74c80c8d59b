package agreelog

import (
	"google.golang.org/protobuf/proto"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
)

// FormatVersion is the version of the log file format.
const FormatVersion = 1

// Identity identifies the group and the member that a log belongs to.
type Identity struct {
	Group uint64
	Self  agree.ID
}

// Content is the decoded content of a log file.
type Content struct {
	Identity Identity
	State    agree.State
	// Records is the number of complete records.
	Records uint64
	// TornBytes is the length in bytes of an incomplete save at the end.
	TornBytes int64
}

// LastIndex returns the index of the last entry, or of the snapshot if there are
// no entries.
func (c Content) LastIndex() uint64 {
	return c.State.Snapshot.GetIndex() + uint64(len(c.State.Entries))
}

// LastTerm returns the term of the last entry, or of the snapshot if there are no
// entries.
func (c Content) LastTerm() uint64 {
	if k := len(c.State.Entries); k > 0 {
		return c.State.Entries[k-1].Term
	}
	return c.State.Snapshot.GetTerm()
}

// Membership returns the newest membership in the log, committed or not.
func (c Content) Membership() *agreepb.Membership {
	m := c.State.Snapshot.GetMembership()
	for _, e := range c.State.Entries {
		if e.Kind == agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			m = e.Membership
		}
	}
	return m
}

func checkpointOf(id Identity, st agree.State) *agreepb.Checkpoint {
	return &agreepb.Checkpoint{
		Version: FormatVersion, Group: id.Group, Self: id.Self.Proto(),
		HardState: st.HardState, Snapshot: st.Snapshot, Entries: st.Entries,
	}
}

// decodeFile decodes the content of a log file. Errors: *DamageError,
// *VersionError.
func decodeFile(file string, data []byte) (Content, error) {
	var c Content
	wholeBytes, err := scanFrames(file, data, func(seq uint64, payload []byte) error {
		c.Records = seq
		if seq == 1 {
			return c.applyCheckpoint(file, payload)
		}
		return c.applyBatch(payload)
	})
	if err != nil {
		return Content{}, err
	}
	c.TornBytes = int64(len(data)) - wholeBytes
	return c, nil
}

func (c *Content) applyCheckpoint(file string, payload []byte) error {
	cp := &agreepb.Checkpoint{}
	if err := proto.Unmarshal(payload, cp); err != nil {
		return err
	}
	if cp.Version != FormatVersion {
		return &VersionError{File: file, Found: cp.Version, Supported: FormatVersion}
	}
	c.Identity = Identity{Group: cp.Group, Self: agree.IDOf(cp.Self)}
	c.State = agree.State{HardState: cp.HardState, Snapshot: cp.Snapshot}
	return c.replaceEntries(cp.Entries)
}

func (c *Content) applyBatch(payload []byte) error {
	batch := &agreepb.Batch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return err
	}
	if batch.HardState != nil {
		c.State.HardState = batch.HardState
	}
	return c.replaceEntries(batch.Entries)
}

// replaceEntries replaces the entries from the first one's index on. It returns
// *agree.StateError if the indexes are not contiguous or leave a gap.
func (c *Content) replaceEntries(entries []*agreepb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	base := c.State.Snapshot.GetIndex()
	for i, e := range entries {
		if want := entries[0].Index + uint64(i); e.Index != want {
			return &agree.StateError{Index: e.Index, Expected: want}
		}
	}
	if first := entries[0].Index; first <= base || first > c.LastIndex()+1 {
		return &agree.StateError{Index: first, Expected: c.LastIndex() + 1}
	}
	keep := entries[0].Index - base - 1
	c.State.Entries = append(c.State.Entries[:keep:keep], entries...)
	return nil
}
