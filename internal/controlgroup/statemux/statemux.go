// Package statemux lets several replicated state machines share one log. Each
// command starts with the ID of the machine that it is for. A Mux does no I/O,
// reads no clock and starts no goroutine.
package statemux

import (
	"context"
	"encoding/binary"
	"fmt"
)

// snapshotFormat is the version of the snapshot format, the first byte of a
// snapshot. For each machine, its ID, the length of its snapshot as an unsigned
// varint, and its snapshot follow.
const snapshotFormat = 1

// Machine is a replicated state machine. Apply runs the command of the log entry at
// index and returns its result. Restore replaces the state by a result of Snapshot,
// or keeps it on an error.
type Machine interface {
	Apply(index uint64, cmd []byte) []byte
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Agreement is the replicated log that the machines share. Propose returns the
// result of the command; ReadBarrier returns once all commands that were committed
// before the call are applied.
type Agreement interface {
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	ReadBarrier(ctx context.Context) error
}

// Part is a machine and its ID. The ID is stored in the log and in snapshots, so
// it must never change.
type Part struct {
	ID      byte
	Machine Machine
}

// Mux combines its parts into one state machine.
type Mux struct {
	parts []Part
	// initial holds the parts' snapshots before their first command. Restore
	// uses them for parts that a snapshot does not contain.
	initial [][]byte
}

// New returns a Mux of the parts, which must not have applied a command yet. A
// duplicate ID gives a *PartError; any other error is from a part's Snapshot.
func New(parts ...Part) (*Mux, error) {
	m := &Mux{parts: parts}
	for i, part := range parts {
		if m.partIndex(part.ID) != i {
			return nil, &PartError{ID: part.ID, Detail: "duplicate ID"}
		}
	}
	var err error
	m.initial, err = m.snapshots()
	return m, err
}

// PartError reports a part with a duplicate ID or one whose state could not be
// rolled back.
type PartError struct {
	ID     byte
	Detail string
}

func (e *PartError) Error() string { return fmt.Sprintf("state machine %d: %s", e.ID, e.Detail) }

// SnapshotError reports a malformed snapshot. Offset is in bytes.
type SnapshotError struct {
	Offset int
	Detail string
}

func (e *SnapshotError) Error() string {
	return fmt.Sprintf("combined snapshot: offset %d: %s", e.Offset, e.Detail)
}

// partIndex returns the index of the part with the ID, or -1.
func (m *Mux) partIndex(id byte) int {
	for i, part := range m.parts {
		if part.ID == id {
			return i
		}
	}
	return -1
}

// Apply passes the command to its machine and returns the result. An empty
// command, or one for an unknown machine, changes nothing and returns nil.
func (m *Mux) Apply(index uint64, cmd []byte) []byte {
	if len(cmd) == 0 {
		return nil
	}
	i := m.partIndex(cmd[0])
	if i < 0 {
		return nil
	}
	return m.parts[i].Machine.Apply(index, cmd[1:])
}

// snapshots returns the snapshots of the parts, in their order.
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

// Snapshot returns one snapshot of all machines.
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

// Restore replaces the state of all machines. It resets a machine that the
// snapshot does not contain, and refuses a snapshot that contains an unknown
// machine. On an error all machines keep their state, unless rolling one back
// fails too.
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
			return m.rollBack(before[:i], err)
		}
	}
	return nil
}

// rollBack restores the previous state of the machines that were restored before
// one failed, and returns cause. If that fails, it returns a *PartError.
func (m *Mux) rollBack(before [][]byte, cause error) error {
	for i, state := range before {
		if err := m.parts[i].Machine.Restore(state); err != nil {
			return &PartError{ID: m.parts[i].ID, Detail: err.Error()}
		}
	}
	return cause
}

// decode returns the parts' snapshots in data, in the order of the parts.
func (m *Mux) decode(data []byte) ([][]byte, error) {
	if len(data) == 0 || data[0] != snapshotFormat {
		return nil, &SnapshotError{Detail: "unknown format"}
	}
	states := append([][]byte(nil), m.initial...)
	seen := make([]bool, len(m.parts))
	for offset := 1; offset < len(data); {
		i := m.partIndex(data[offset])
		if i < 0 || seen[i] {
			return nil, &SnapshotError{Offset: offset, Detail: fmt.Sprintf("state machine %d is unknown or duplicate", data[offset])}
		}
		seen[i] = true
		size, n := binary.Uvarint(data[offset+1:])
		rest := data[offset+1+max(n, 0):]
		if n <= 0 || size > uint64(len(rest)) {
			return nil, &SnapshotError{Offset: offset, Detail: "truncated"}
		}
		states[i] = rest[:size]
		offset = len(data) - len(rest) + int(size)
	}
	return states, nil
}

// For returns the log of the machine with the ID: it proposes commands for that
// machine.
func For(id byte, log Agreement) Agreement { return &prefixedLog{id: id, Agreement: log} }

// prefixedLog prefixes each command with a machine's ID.
type prefixedLog struct {
	Agreement
	id byte
}

// Propose proposes cmd for the machine.
func (l *prefixedLog) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	return l.Agreement.Propose(ctx, append([]byte{l.id}, cmd...))
}
