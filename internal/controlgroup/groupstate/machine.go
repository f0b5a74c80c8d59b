package groupstate

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"hemlockmast/api/control"
)

// Machine runs a State as a state machine of the control group's log. It is safe
// for concurrent use: the log's runner applies commands while others read.
type Machine struct {
	// mu guards the fields below.
	mu      sync.Mutex
	state   *State
	changed chan struct{}
}

// NewMachine returns a Machine without records.
func NewMachine() *Machine { return &Machine{state: New(), changed: make(chan struct{})} }

// Encode returns the encoding of a command for the log.
func Encode(cmd *control.GroupCommand) ([]byte, error) { return proto.Marshal(cmd) }

// Apply runs the encoded command of the log entry at index and returns the result
// for DecodeResult.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	cmd := &control.GroupCommand{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return append([]byte{resultRefused}, err.Error()...)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.Version()
	result := m.state.Apply(index, cmd)
	if m.state.Version() != before {
		m.notifyChange()
	}
	return result
}

// notifyChange wakes all calls of Await. The caller holds mu.
func (m *Machine) notifyChange() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return proto.MarshalOptions{Deterministic: true}.Marshal(&control.Snapshot{Groups: m.state.ChangedAfter(0)})
}

// Restore replaces the state by a snapshot. A nil snapshot is the state without
// records. If the snapshot cannot be decoded, the state is kept.
func (m *Machine) Restore(data []byte) error {
	snapshot := &control.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Restore(snapshot.Groups)
	m.notifyChange()
	return nil
}

// Await waits until records have changed after version or ctx ends. It returns
// those records, which the caller must not modify, and the version for the next
// call.
func (m *Machine) Await(ctx context.Context, version uint64) ([]*control.GroupRecord, uint64) {
	for {
		m.mu.Lock()
		records, next, changed := m.state.ChangedAfter(version), m.state.Version(), m.changed
		m.mu.Unlock()
		if len(records) > 0 {
			return records, next
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, max(version, next)
		}
	}
}

// Record returns the record of a group, or false if there is none. The caller must
// not modify it.
func (m *Machine) Record(group string) (*control.GroupRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, ok := m.state.records[group]
	return record, ok
}
