package state

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/agreelog"
)

// run runs the command and returns its decoded JSON output.
func run(args ...string) (summary, error) {
	var out bytes.Buffer
	root := &cli.Command{
		Name: "hemlockctl", Writer: &out, ErrWriter: io.Discard, Commands: []*cli.Command{Command()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(context.Background(), append([]string{"hemlockctl", "state"}, args...))
	var s summary
	_ = json.Unmarshal(out.Bytes(), &s)
	return s, err
}

// newStoppedMember creates the data folder of a stopped member with a snapshot and
// entries. It returns the folder and its log file.
func newStoppedMember(t *testing.T) (dir, file string) {
	t.Helper()
	dir = filepath.Join(t.TempDir(), "data")
	folder, err := agreelog.OpenFolder(agreelog.OS{}, dir)
	assert.NilError(t, err)
	self := agree.ID{Name: "a", Incarnation: 4}
	st := agree.InitialState(self, "a:1")
	assert.NilError(t, folder.Format(agreelog.Identity{Group: 9, Self: self}, st))
	log, _, err := folder.Load()
	assert.NilError(t, err)
	assert.NilError(t, log.Rewrite(agree.State{
		HardState: st.HardState,
		Snapshot: &agreepb.Snapshot{
			Index: 1, Term: 1, Membership: st.Entries[0].Membership, State: []byte("state"),
		},
	}))
	for i := uint64(2); i < 5; i++ {
		e := &agreepb.Entry{Term: 3, Index: i, Kind: agreepb.EntryKind_ENTRY_KIND_COMMAND, Command: []byte("command")}
		assert.NilError(t, log.Save(&agreepb.HardState{Term: 3, Commit: i - 1}, []*agreepb.Entry{e}))
	}
	assert.NilError(t, log.Close())
	assert.NilError(t, folder.Close())
	return dir, filepath.Join(dir, "agree-0000000000000002.log")
}

// TestBackupAndRestore checks that a restored folder holds all entries in a new
// group under a new incarnation, and that a node started from it becomes leader
// alone.
func TestBackupAndRestore(t *testing.T) {
	dir, _ := newStoppedMember(t)
	backup := filepath.Join(t.TempDir(), "a.backup")
	saved, err := run("backup", "--data", dir, "--to", backup, "--output", "json")
	assert.NilError(t, err)
	assert.Equal(t, saved.LastIndex, uint64(4))
	again, err := run("check", "--file", backup, "--output", "json")
	assert.NilError(t, err)
	assert.DeepEqual(t, again, saved)
	fresh := filepath.Join(t.TempDir(), "fresh")
	got, err := run("restore", "--from", backup, "--data", fresh, "--name", "b", "--address", "b:1", "--output", "json")
	assert.NilError(t, err)
	assert.Equal(t, got.LastIndex, uint64(5))
	assert.Equal(t, got.LastTerm, uint64(4))
	assert.Equal(t, len(got.Members), 1)
	assert.Assert(t, got.Group != saved.Group && got.Incarnation != saved.Incarnation)

	folder, err := agreelog.OpenFolder(agreelog.OS{}, fresh)
	assert.NilError(t, err)
	defer folder.Close()
	content, err := folder.Read()
	assert.NilError(t, err)
	node, err := agree.New(agree.Config{
		Self: content.Identity.Self, Group: content.Identity.Group,
		ElectionTicks: 2, HeartbeatTicks: 1, Rand: func(int) int { return 0 },
	}, content.State)
	assert.NilError(t, err)
	applied := 0
	for range 5 {
		node.Tick()
		for node.HasReady() {
			for _, e := range node.Ready().Committed {
				applied += len(e.Command)
			}
			node.Advance()
		}
	}
	assert.Equal(t, node.Status().Role, agree.Leader)
	assert.Equal(t, applied, 3*len("command"))
}

// TestRefusals checks that commands refuse damaged files, occupied targets,
// unformatted folders, wrong flags and a locked folder.
func TestRefusals(t *testing.T) {
	change := func(at int) func([]byte) []byte {
		return func(data []byte) []byte { data[(at+len(data))%len(data)] ^= 1; return data }
	}
	cut := func(n int) func([]byte) []byte {
		return func(data []byte) []byte { return data[:(n+len(data))%len(data)] }
	}
	var damage *agreelog.DamageError
	for _, row := range []struct {
		name    string
		corrupt func([]byte) []byte
		folder  bool // whether a folder with this damage is refused, as a backup always is
	}{
		{"first byte", change(0), true},
		{"in the snapshot", change(60), true},
		{"in the last save", change(-30), true},
		{"cut in the first record", cut(50), true},
		{"torn last save", cut(-40), false},
		{"empty", func([]byte) []byte { return nil }, true},
	} {
		dir, file := newStoppedMember(t)
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(file, row.corrupt(data), 0o600))
		for _, args := range [][]string{
			{"check", "--data", dir},
			{"backup", "--data", dir, "--to", filepath.Join(t.TempDir(), "b")},
		} {
			_, err = run(args...)
			assert.Equal(t, errors.As(err, &damage), row.folder, "%s: %v", row.name, err)
			assert.Assert(t, !row.folder || damage.File == file)
		}
		for _, args := range [][]string{
			{"check", "--file", file},
			{"restore", "--from", file, "--data", filepath.Join(t.TempDir(), "r"), "--name", "b", "--address", "b:1"},
		} {
			_, err = run(args...)
			assert.Assert(t, errors.As(err, &damage), "%s: %v", row.name, err)
		}
	}

	dir, file := newStoppedMember(t)
	var notEmpty *agreelog.NotEmptyError
	_, err := run("backup", "--data", dir, "--to", file)
	assert.Assert(t, errors.As(err, &notEmpty), "%v", err)
	_, err = run("restore", "--from", file, "--data", dir, "--name", "b", "--address", "b:1")
	assert.Assert(t, errors.As(err, &notEmpty), "%v", err)
	var none *agreelog.NotFormattedError
	wrong := t.TempDir()
	for _, path := range []string{wrong, filepath.Join(wrong, "nowhere")} {
		_, err = run("check", "--data", path)
		assert.Assert(t, errors.As(err, &none), "%v", err)
	}
	left, err := os.ReadDir(wrong)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0)
	var usage cli.ExitCoder
	_, err = run("check", "--data", dir, "--file", file)
	assert.Assert(t, errors.As(err, &usage) && usage.ExitCode() == exitUsage, "%v", err)
	held, err := agreelog.OpenFolder(agreelog.OS{}, dir)
	assert.NilError(t, err)
	defer held.Close()
	var locked *agreelog.LockedError
	_, err = run("check", "--data", dir)
	assert.Assert(t, errors.As(err, &locked), "%v", err)
}
