package statemux

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fakeMachine records its commands.
type fakeMachine struct{ commands string }

func (m *fakeMachine) Apply(index uint64, cmd []byte) []byte {
	m.commands += fmt.Sprintf("%d%s", index, cmd)
	return []byte(m.commands)
}

func (m *fakeMachine) Snapshot() ([]byte, error) { return []byte("=" + m.commands), nil }

func (m *fakeMachine) Restore(state []byte) error {
	commands, ok := strings.CutPrefix(string(state), "=")
	if !ok {
		return &PartError{ID: 9, Detail: "bad"}
	}
	m.commands = commands
	return nil
}

func newMux(t testing.TB, ids ...byte) (*Mux, []*fakeMachine) {
	var parts []Part
	var machines []*fakeMachine
	for _, id := range ids {
		machines = append(machines, &fakeMachine{})
		parts = append(parts, Part{ID: id, Machine: machines[len(machines)-1]})
	}
	m, err := New(parts...)
	assert.NilError(t, err)
	return m, machines
}

// fakeLog applies proposed commands immediately.
type fakeLog struct{ mux *Mux }

func (l fakeLog) Propose(_ context.Context, cmd []byte) ([]byte, error) {
	return l.mux.Apply(1, cmd), nil
}
func (l fakeLog) ReadBarrier(context.Context) error { return nil }

func TestCommandsReachTheirMachine(t *testing.T) {
	m, machines := newMux(t, 1, 2)
	for _, id := range []byte{1, 2} {
		result, err := For(id, fakeLog{m}).Propose(context.Background(), []byte{'a' + id})
		assert.NilError(t, err)
		assert.Equal(t, string(result), fmt.Sprintf("1%c", 'a'+id))
	}
	assert.Assert(t, m.Apply(2, nil) == nil)
	assert.Assert(t, m.Apply(3, []byte{3, 'x'}) == nil)
	assert.Equal(t, machines[0].commands+machines[1].commands, "1b1c")
}

func TestSnapshotOfAnotherVersion(t *testing.T) {
	old, _ := newMux(t, 1)
	old.Apply(1, []byte("\x01a"))
	state, err := old.Snapshot()
	assert.NilError(t, err)
	current, machines := newMux(t, 2, 1)
	current.Apply(1, []byte("\x02b"))
	assert.NilError(t, current.Restore(state))
	assert.Equal(t, machines[0].commands, "")
	assert.Equal(t, machines[1].commands, "1a")
	state, err = current.Snapshot()
	assert.NilError(t, err)
	var refused *SnapshotError
	assert.Assert(t, errors.As(old.Restore(state), &refused))
}

// TestBadSnapshotLosesNothing checks that no machine loses its state when Restore
// fails on a malformed snapshot.
func TestBadSnapshotLosesNothing(t *testing.T) {
	for name, bad := range map[string]string{
		"empty":             "",
		"format":            "\x02",
		"truncated ID":      "\x01\x01",
		"truncated length":  "\x01\x01\x80",
		"truncated state":   "\x01\x01\x05abcd",
		"duplicate machine": "\x01\x01\x02=a\x01\x02=a",
		"unknown machine":   "\x01\x03\x00",
		"second part bad":   "\x01\x01\x02=z\x02\x03bad",
	} {
		t.Run(name, func(t *testing.T) {
			m, machines := newMux(t, 1, 2)
			m.Apply(1, []byte("\x01a"))
			m.Apply(2, []byte("\x02b"))
			assert.Assert(t, m.Restore([]byte(bad)) != nil)
			assert.Equal(t, machines[0].commands+machines[1].commands, "1a2b")
		})
	}
	_, err := New(Part{ID: 1, Machine: &fakeMachine{}}, Part{ID: 1, Machine: &fakeMachine{}})
	assert.Assert(t, err != nil)
}

func FuzzRestore(f *testing.F) {
	f.Add([]byte("\x01\x01\x02=a\x02\x03=bc"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, _ := newMux(t, 1, 2)
		if m.Restore(data) != nil {
			return
		}
		state, err := m.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, m.Restore(state))
	})
}
