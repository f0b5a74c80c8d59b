package configstate

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hemlockmast/api/configstate"
	"hemlockmast/api/service"
)

// config returns a configuration with one group and one service for each name.
// Different limits give different content under the same names.
func config(limit uint32, names ...string) *service.Configuration {
	cfg := &service.Configuration{}
	for _, name := range names {
		slot := &service.Slot{Name: "s", ConnectionLimit: limit}
		cfg.Groups = append(cfg.Groups, &service.Group{Name: name, Slots: []*service.Slot{slot}})
		cfg.Services = append(cfg.Services, &service.Service{Name: name, Priority: limit})
	}
	return cfg
}

func encode(t testing.TB, id, author string, base uint64, cfg *service.Configuration) []byte {
	cmd, err := EncodePublish(&configstate.Change{Id: id, Author: author}, base, cfg)
	assert.NilError(t, err)
	return cmd
}

// publish applies a change at the next log index.
func publish(t testing.TB, m *Machine, id, author string, base uint64, cfg *service.Configuration) (*configstate.Accepted, error) {
	return DecodeAccepted(m.Apply(m.applied+1, encode(t, id, author, base, cfg)), base)
}

func TestPublishFaults(t *testing.T) {
	a, b := config(1, "g"), config(2, "g")
	conflictWith := func(id, author string, revision uint64) func(error) bool {
		return func(err error) bool {
			var e *ConflictError
			return errors.As(err, &e) && e.Winner.GetId() == id &&
				e.Winner.GetAuthor() == author && e.Winner.GetRevision() == revision
		}
	}
	malformed := func(err error) bool {
		var e *MalformedError
		return errors.As(err, &e)
	}
	reused := func(err error) bool {
		var e *ChangeIDReusedError
		return errors.As(err, &e) && e.First.GetAuthor() == "ann"
	}
	cases := []struct {
		name       string
		id, author string
		base       uint64
		cfg        *service.Configuration
		refused    func(error) bool
		revision   uint64
	}{
		{"resend of the first change", "c1", "ann", 0, a, nil, 1},
		{"resend of a later change", "c2", "bob", 1, b, nil, 2},
		{"same base as the first change", "c9", "eve", 0, b, conflictWith("c1", "ann", 1), 0},
		{"same base as a later change", "c9", "eve", 1, a, conflictWith("c2", "bob", 2), 0},
		{"base revision not published yet", "c9", "eve", 7, b, conflictWith("c3", "cid", 3), 0},
		{"resend of a refused change", "c4", "dan", 1, b, conflictWith("c2", "bob", 2), 0},
		{"id of a refused change with a new base", "c4", "dan", 3, b, func(err error) bool {
			var e *ChangeIDReusedError
			return errors.As(err, &e) && e.First.GetAuthor() == "dan"
		}, 0},
		{"id of another change", "c1", "eve", 3, b, reused, 0},
		{"id of another change, same base", "c1", "eve", 0, b, reused, 0},
		{"no change id", "", "eve", 3, b, malformed, 0},
		{"no author", "c9", "", 3, b, malformed, 0},
		{"long change id", string(make([]byte, 65)), "eve", 3, b, malformed, 0},
		{"group twice", "c9", "eve", 3, config(1, "g", "g"), malformed, 0},
		{"group without name", "c9", "eve", 3, config(1, ""), malformed, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := New()
			_, err := publish(t, m, "c1", "ann", 0, a)
			assert.NilError(t, err)
			_, err = publish(t, m, "c2", "bob", 1, b)
			assert.NilError(t, err)
			_, err = publish(t, m, "c3", "cid", 2, config(3, "g"))
			assert.NilError(t, err)
			_, err = publish(t, m, "c4", "dan", 1, b)
			assert.Assert(t, err != nil)

			got, err := publish(t, m, tc.id, tc.author, tc.base, tc.cfg)
			if tc.refused == nil {
				assert.NilError(t, err)
				assert.Equal(t, got.Revision, tc.revision)
			} else {
				assert.Assert(t, tc.refused(err), "%v", err)
			}
			assert.Equal(t, m.Versions().Revision(), uint64(3))
			assert.Equal(t, m.LastChange().GetId(), "c3")
		})
	}
}

func TestBadCommands(t *testing.T) {
	for name, cmd := range map[string][]byte{
		"empty":     nil,
		"garbage":   []byte("\xff\xff\xff"),
		"too large": make([]byte, maxCommandBytes+1),
		"content": marshal(&configstate.Command{Kind: &configstate.Command_Publish{
			Publish: &configstate.Publish{ChangeId: "c", Author: "a", Configuration: []byte("\xff")}}}),
	} {
		m := New()
		_, err := DecodeAccepted(m.Apply(1, cmd), 0)
		var malformed *MalformedError
		assert.Assert(t, errors.As(err, &malformed), name)
		assert.Equal(t, m.Versions().Revision(), uint64(0))
	}
	_, err := EncodePublish(&configstate.Change{Id: "\xff"}, 0, config(1, "g"))
	var malformed *MalformedError
	assert.Assert(t, errors.As(err, &malformed))
}

func TestAppliedIndexIsNotAppliedAgain(t *testing.T) {
	m := New()
	m.Apply(5, encode(t, "c1", "ann", 0, config(1, "g")))
	_, err := DecodeAccepted(m.Apply(5, encode(t, "c2", "ann", 1, config(2, "g"))), 1)
	var malformed *MalformedError
	assert.Assert(t, errors.As(err, &malformed))
	assert.Equal(t, m.Versions().Revision(), uint64(1))
}

func TestEqualContentMakesNoRevision(t *testing.T) {
	m := New()
	_, err := publish(t, m, "c1", "ann", 0, config(1, "g"))
	assert.NilError(t, err)
	got, err := publish(t, m, "c2", "bob", 1, config(1, "g"))
	assert.NilError(t, err)
	assert.Assert(t, got.Unchanged)
	assert.Equal(t, got.Revision, uint64(1))
}

// TestForgottenChangeIsNotRunTwice resends an accepted change after its result
// was dropped from the log. The resend must be a conflict, not a new revision.
func TestForgottenChangeIsNotRunTwice(t *testing.T) {
	m := New()
	for i := uint64(0); i < MaxRememberedChanges+500; i++ {
		_, err := publish(t, m, fmt.Sprint("c", i), "ann", i, config(uint32(i+1), "g"))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(m.changes.order), MaxRememberedChanges)
	assert.Equal(t, len(m.changes.byID), MaxRememberedChanges)
	_, err := publish(t, m, "c3", "ann", 3, config(4, "g"))
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, m.Versions().Revision(), uint64(MaxRememberedChanges+500))
}

func TestDamagedSnapshotLosesNothing(t *testing.T) {
	m := New()
	_, err := publish(t, m, "c1", "ann", 0, config(1, "g"))
	assert.NilError(t, err)
	good, err := m.Snapshot()
	assert.NilError(t, err)
	for _, bad := range [][]byte{
		nil, good[:len(good)-1], []byte("\xff"),
		marshal(&configstate.State{Format: snapshotFormat + 1}),
		marshal(&configstate.State{Format: snapshotFormat, Versions: &configstate.Versions{
			Groups: []*configstate.GroupVersion{{Revision: 1}}}}),
	} {
		var damaged *SnapshotError
		assert.Assert(t, errors.As(m.Restore(bad), &damaged))
		now, err := m.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(now, good))
	}
}

func TestUnusableUpdates(t *testing.T) {
	delta := func(from, to uint64, names ...string) *configstate.Update {
		return &configstate.Update{Kind: &configstate.Update_Delta{Delta: &configstate.Delta{
			FromRevision: from, ToRevision: to, Groups: config(9, names...).Groups}}}
	}
	snapshot := func(revision uint64, names ...string) *configstate.Update {
		cfg := config(9, names...)
		cfg.Revision = revision
		return &configstate.Update{Kind: &configstate.Update_Snapshot{Snapshot: cfg}}
	}
	cases := []struct {
		name   string
		update *configstate.Update
		err    error
	}{
		{"older delta", delta(1, 2, "h"), nil},
		{"same delta again", delta(4, 5, "h"), nil},
		{"older snapshot", snapshot(4, "h"), nil},
		{"same snapshot again", snapshot(5, "h"), nil},
		{"gap", delta(6, 7, "h"), &GapError{}},
		{"empty", &configstate.Update{}, &UpdateError{}},
		{"nothing", nil, &UpdateError{}},
		{"delta with a name twice", delta(5, 6, "h", "h"), &UpdateError{}},
		{"snapshot without a name", snapshot(6, ""), &UpdateError{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			v := NewVersions()
			_, err := v.Apply(snapshot(5, "g"))
			assert.NilError(t, err)
			before := v.Configuration()
			changed, err := v.Apply(tc.update)
			assert.Assert(t, !changed)
			assert.Equal(t, fmt.Sprintf("%T", err), fmt.Sprintf("%T", tc.err))
			assert.Assert(t, v.Configuration() == before)
		})
	}
}

// TestRemovalsAreBounded drops old tombstones. A follower at an older revision
// must get a snapshot: a delta without these tombstones would leave the removed
// entries in its configuration.
func TestRemovalsAreBounded(t *testing.T) {
	v := NewVersions()
	for i := 0; i < maxTombstones+10; i++ {
		v.Replace(config(1, fmt.Sprint("g", i)))
	}
	assert.Equal(t, len(v.groups.tombstones), maxTombstones)
	assert.Assert(t, v.UpdateSince(5).GetSnapshot() != nil)
	assert.Assert(t, v.UpdateSince(20).GetDelta() != nil)
}

// TestReplicasAgree applies random changes to two replicas, of which one is
// restored from snapshots at random steps. Their results and snapshots must be
// equal. Followers miss revisions, get updates twice and get them from each
// other, and must still reach the configuration of their source.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, restored := New(), New()
		followers := []*Versions{NewVersions(), NewVersions(), NewVersions()}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID).Draw(t, "names")
			cfg := config(rapid.Uint32Range(1, 3).Draw(t, "limit"), names...)
			base := m.versions.revision - min(m.versions.revision, rapid.Uint64Range(0, 1).Draw(t, "behind"))
			id := fmt.Sprint("c", rapid.IntRange(0, 2*step).Draw(t, "id"))
			cmd, err := EncodePublish(&configstate.Change{Id: id, Author: "a"}, base, cfg)
			assert.NilError(t, err)
			index := uint64(step + 1)
			before := m.versions.revision
			assert.Assert(t, bytes.Equal(m.Apply(index, cmd), restored.Apply(index, cmd)))
			assert.Assert(t, m.versions.revision == before || m.versions.revision == before+1)
			state, err := m.Snapshot()
			assert.NilError(t, err)
			if rapid.Bool().Draw(t, "restore") {
				restored = New()
				assert.NilError(t, restored.Restore(state))
			}
			other, err := restored.Snapshot()
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(state, other))
			follow(t, m.versions, followers)
		}
	})
}

// follow updates one follower from the replica's configuration or from another
// follower.
func follow(t *rapid.T, from *Versions, followers []*Versions) {
	sources := append([]*Versions{from}, followers...)
	source := sources[rapid.IntRange(0, len(followers)).Draw(t, "source")]
	follower := followers[rapid.IntRange(0, len(followers)-1).Draw(t, "follower")]
	before := follower.revision
	update := source.UpdateSince(follower.revision)
	if update == nil {
		assert.Assert(t, source.revision <= before)
		return
	}
	_, err := follower.Apply(update)
	assert.NilError(t, err)
	assert.Equal(t, follower.revision, source.revision)
	assert.Assert(t, proto.Equal(follower.current, source.current))
}

// FuzzApply applies arbitrary bytes. They must not cause a panic, a command that
// is accepted must make exactly the revision it names, and the state must still
// survive a snapshot and restore.
func FuzzApply(f *testing.F) {
	f.Add(encode(f, "c1", "ann", 0, config(1, "g")))
	f.Add([]byte("\x0a\x03\x0a\x01c"))
	f.Fuzz(func(t *testing.T, cmd []byte) {
		m := New()
		got, err := DecodeAccepted(m.Apply(1, cmd), 0)
		assert.Equal(t, err == nil, got != nil)
		assert.Equal(t, m.Versions().Revision(), got.GetRevision())
		state, err := m.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, New().Restore(state))
	})
}
