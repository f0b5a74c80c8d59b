// Package statemux lets several replicated state machines share one log. Each
// command carries the number of the machine that it is for. It is pure.
package statemux

import (
	"context"
	"encoding/binary"
	"fmt"
)

// snapshotFormat is the first byte of a snapshot: the version of its layout.
// After it comes, for each machine, its number, the length of its snapshot as
// an unsigned varint, and the snapshot.
const snapshotFormat = 1

// Machine is one replicated state machine.
type Machine interface {
	Apply(index uint64, cmd []byte) []byte
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Agreement is the replicated log that the machines share.
type Agreement interface {
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	ReadBarrier(ctx context.Context) error
}

// Part is a machine and its number, which must never change.
type Part struct {
	ID      byte
	Machine Machine
}

// Mux is the machine that consists of the parts.
type Mux struct {
	parts []Part
	// initial holds the parts' snapshots before the first command, for those
	// that a restored snapshot does not know.
	initial [][]byte
}

// New returns the machine of the parts, which must be before their first
// command. A number used twice gives *PartError.
func New(parts ...Part) (*Mux, error) {
	m := &Mux{parts: parts}
	for i, part := range parts {
		if m.find(part.ID) != i {
			return nil, &PartError{ID: part.ID, Detail: "number is used twice"}
		}
	}
	var err error
	m.initial, err = m.snapshots()
	return m, err
}

// PartError reports a machine that cannot take part.
type PartError struct {
	ID     byte
	Detail string
}

func (e *PartError) Error() string { return fmt.Sprintf("state machine %d: %s", e.ID, e.Detail) }

// SnapshotError reports a snapshot that cannot be restored.
type SnapshotError struct {
	Offset int
	Detail string
}

func (e *SnapshotError) Error() string {
	return fmt.Sprintf("snapshot of several state machines: at offset %d: %s", e.Offset, e.Detail)
}

// find returns the index of the part, or -1.
func (m *Mux) find(id byte) int {
	for i, part := range m.parts {
		if part.ID == id {
			return i
		}
	}
	return -1
}

// Apply hands the command to its machine. An empty command, or one for an
// unknown machine, changes nothing and returns nil.
func (m *Mux) Apply(index uint64, cmd []byte) []byte {
	if len(cmd) == 0 {
		return nil
	}
	i := m.find(cmd[0])
	if i < 0 {
		return nil
	}
	return m.parts[i].Machine.Apply(index, cmd[1:])
}

func (m *Mux) snapshots() ([][]byte, error) {
	out := make([][]byte, len(m.parts))
	for i, part := range m.parts {
		var err error
		if out[i], err = part.Machine.Snapshot(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Snapshot returns the state of all machines.
func (m *Mux) Snapshot() ([]byte, error) {
	states, err := m.snapshots()
	if err != nil {
		return nil, err
	}
	out := []byte{snapshotFormat}
	for i, part := range m.parts {
		out = append(out, part.ID)
		out = binary.AppendUvarint(out, uint64(len(states[i])))
		out = append(out, states[i]...)
	}
	return out, nil
}

// Restore replaces the state of all machines. A machine that the snapshot does
// not know is set back to its beginning; a snapshot of an unknown machine is
// refused. On an error all machines are as before.
func (m *Mux) Restore(data []byte) error {
	states, err := m.decode(data)
	if err != nil {
		return err
	}
	before, err := m.snapshots()
	if err != nil {
		return err
	}
	for i, part := range m.parts {
		if err := part.Machine.Restore(states[i]); err != nil {
			return m.undo(before[:i], err)
		}
	}
	return nil
}

// undo puts back the machines that were restored before one failed.
func (m *Mux) undo(before [][]byte, cause error) error {
	for i, state := range before {
		if err := m.parts[i].Machine.Restore(state); err != nil {
			return &PartError{ID: m.parts[i].ID, Detail: err.Error()}
		}
	}
	return cause
}

// decode returns the snapshots of the parts, in their order.
func (m *Mux) decode(data []byte) ([][]byte, error) {
	if len(data) == 0 || data[0] != snapshotFormat {
		return nil, &SnapshotError{Detail: "unknown format"}
	}
	states := append([][]byte(nil), m.initial...)
	seen := make([]bool, len(m.parts))
	for at := 1; at < len(data); {
		i := m.find(data[at])
		if i < 0 || seen[i] {
			return nil, &SnapshotError{Offset: at, Detail: fmt.Sprintf("state machine %d is unknown or there twice", data[at])}
		}
		seen[i] = true
		size, n := binary.Uvarint(data[at+1:])
		rest := data[at+1+max(n, 0):]
		if n <= 0 || size > uint64(len(rest)) {
			return nil, &SnapshotError{Offset: at, Detail: "cut"}
		}
		states[i] = rest[:size]
		at = len(data) - len(rest) + int(size)
	}
	return states, nil
}

// For returns the log as the machine with number id sees it.
func For(id byte, log Agreement) Agreement { return &tagged{id: id, Agreement: log} }

// tagged puts a machine's number before its commands.
type tagged struct {
	Agreement
	id byte
}

// Propose proposes cmd for the machine.
func (t *tagged) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	return t.Agreement.Propose(ctx, append([]byte{t.id}, cmd...))
}
