package statemux

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// journal remembers its commands.
type journal struct{ text string }

func (j *journal) Apply(index uint64, cmd []byte) []byte {
	j.text += fmt.Sprintf("%d%s", index, cmd)
	return []byte(j.text)
}

func (j *journal) Snapshot() ([]byte, error) { return []byte("=" + j.text), nil }

func (j *journal) Restore(state []byte) error {
	text, ok := strings.CutPrefix(string(state), "=")
	if !ok {
		return &PartError{ID: 9, Detail: "bad"}
	}
	j.text = text
	return nil
}

func newMux(t testing.TB, ids ...byte) (*Mux, []*journal) {
	var parts []Part
	var journals []*journal
	for _, id := range ids {
		journals = append(journals, &journal{})
		parts = append(parts, Part{ID: id, Machine: journals[len(journals)-1]})
	}
	m, err := New(parts...)
	assert.NilError(t, err)
	return m, journals
}

// log applies what is proposed.
type log struct{ mux *Mux }

func (l log) Propose(_ context.Context, cmd []byte) ([]byte, error) { return l.mux.Apply(1, cmd), nil }
func (l log) ReadBarrier(context.Context) error                     { return nil }

func TestCommandsReachTheirMachine(t *testing.T) {
	m, journals := newMux(t, 1, 2)
	for _, id := range []byte{1, 2} {
		result, err := For(id, log{m}).Propose(context.Background(), []byte{'a' + id})
		assert.NilError(t, err)
		assert.Equal(t, string(result), fmt.Sprintf("1%c", 'a'+id))
	}
	assert.Assert(t, m.Apply(2, nil) == nil)
	assert.Assert(t, m.Apply(3, []byte{3, 'x'}) == nil)
	assert.Equal(t, journals[0].text+journals[1].text, "1b1c")
}

func TestSnapshotOfAnotherVersion(t *testing.T) {
	old, _ := newMux(t, 1)
	old.Apply(1, []byte("\x01a"))
	state, err := old.Snapshot()
	assert.NilError(t, err)
	current, journals := newMux(t, 2, 1)
	current.Apply(1, []byte("\x02b"))
	assert.NilError(t, current.Restore(state))
	assert.Equal(t, journals[0].text, "")
	assert.Equal(t, journals[1].text, "1a")
	state, err = current.Snapshot()
	assert.NilError(t, err)
	var refused *SnapshotError
	assert.Assert(t, errors.As(old.Restore(state), &refused))
}

// TestBadSnapshotLosesNothing restores what cannot be restored.
func TestBadSnapshotLosesNothing(t *testing.T) {
	for name, bad := range map[string]string{
		"empty":           "",
		"format":          "\x02",
		"cut number":      "\x01\x01",
		"cut length":      "\x01\x01\x80",
		"cut state":       "\x01\x01\x05abcd",
		"twice":           "\x01\x01\x02=a\x01\x02=a",
		"unknown":         "\x01\x03\x00",
		"second part bad": "\x01\x01\x02=z\x02\x03bad",
	} {
		t.Run(name, func(t *testing.T) {
			m, journals := newMux(t, 1, 2)
			m.Apply(1, []byte("\x01a"))
			m.Apply(2, []byte("\x02b"))
			assert.Assert(t, m.Restore([]byte(bad)) != nil)
			assert.Equal(t, journals[0].text+journals[1].text, "1a2b")
		})
	}
	_, err := New(Part{ID: 1, Machine: &journal{}}, Part{ID: 1, Machine: &journal{}})
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
