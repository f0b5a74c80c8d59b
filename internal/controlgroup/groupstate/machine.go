package groupstate

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"hemlockmast/api/control"
)

// Machine makes a State a machine of the control group's log. It is safe for
// concurrent use: the runner applies commands, listeners read.
type Machine struct {
	// mu guards the fields below.
	mu      sync.Mutex
	state   *State
	changed chan struct{}
}

// NewMachine returns the machine before the first command.
func NewMachine() *Machine { return &Machine{state: New(), changed: make(chan struct{})} }

// Encode returns the log entry for a command.
func Encode(cmd *control.GroupCommand) ([]byte, error) { return proto.Marshal(cmd) }

// Apply runs the command at index and returns the answer for DecodeResult.
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
		m.wake()
	}
	return result
}

// wake ends the waits for a change. The caller holds mu.
func (m *Machine) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return proto.MarshalOptions{Deterministic: true}.Marshal(&control.Snapshot{Groups: m.state.After(0)})
}

// Restore replaces the whole state; nil is the state before the first command.
func (m *Machine) Restore(data []byte) error {
	snapshot := &control.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Restore(snapshot.Groups)
	m.wake()
	return nil
}

// Await returns the records that changed after version, once there are some or
// ctx ends, and the version to ask after next.
func (m *Machine) Await(ctx context.Context, version uint64) ([]*control.GroupRecord, uint64) {
	for {
		m.mu.Lock()
		records, next, changed := m.state.After(version), m.state.Version(), m.changed
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

// Record returns the record of a group.
func (m *Machine) Record(group string) (*control.GroupRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, ok := m.state.records[group]
	return record, ok
}
