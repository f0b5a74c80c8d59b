package agreelog

import (
	"errors"
	"fmt"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
)

var testID = Identity{Group: 9, Self: agree.ID{Name: "a", Incarnation: 4}}

const dir = "/data"

func entries(term, from, to uint64) []*agreepb.Entry {
	var list []*agreepb.Entry
	for i := from; i <= to; i++ {
		list = append(list, &agreepb.Entry{
			Term: term, Index: i, Kind: agreepb.EntryKind_ENTRY_KIND_COMMAND,
			Command: fmt.Appendf(nil, "command %d of term %d", i, term),
		})
	}
	return list
}

// stateString formats a state so that states can be compared as strings.
func stateString(st agree.State) string {
	text := fmt.Sprintf("hs %d/%s snap %d", st.HardState.GetTerm(),
		agree.IDOf(st.HardState.GetVote()), st.Snapshot.GetIndex())
	for _, e := range st.Entries {
		text += fmt.Sprintf(" %d:%d:%s", e.Term, e.Index, e.Command)
	}
	return text
}

// workload formats a folder, then saves, overwrites and rewrites. It calls done
// with the state after each successful step. On the first error it returns the
// state that the failed step intended to write.
func workload(fs FS, done func(agree.State)) (agree.State, error) {
	st := agree.InitialState(testID.Self, "a:1")
	f, err := OpenFolder(fs, dir)
	if err != nil {
		return st, err
	}
	if err := f.Format(testID, st); err != nil {
		return st, err
	}
	done(st)
	l, c, err := f.Load()
	if err != nil {
		return st, err
	}
	for step := uint64(1); step <= 12; step++ {
		hs := &agreepb.HardState{Term: step, Vote: testID.Self.Proto()}
		next := Content{State: agree.State{HardState: hs, Snapshot: st.Snapshot,
			Entries: append([]*agreepb.Entry(nil), st.Entries...)}}
		if step%4 == 0 {
			last := c.LastIndex()
			next.State.Snapshot = &agreepb.Snapshot{Index: last, Term: step, State: []byte("s")}
			next.State.Entries = nil
			err = l.Rewrite(next.State)
		} else {
			last := c.LastIndex()
			if step%3 == 0 && len(st.Entries) > 0 {
				last-- // the save overwrites the last entry
			}
			added := entries(step, last+1, last+3)
			assert.NilError(panicOnFailure{}, next.replaceEntries(added))
			err = l.Save(hs, added)
		}
		if err != nil {
			return next.State, err
		}
		st, c = next.State, next
		done(st)
	}
	return st, nil
}

type panicOnFailure struct{}

func (panicOnFailure) FailNow()       { panic("workload") }
func (panicOnFailure) Fail()          {}
func (panicOnFailure) Log(arg ...any) { fmt.Println(arg...) }

// TestCrashAtEachOperation stops the workload at every write, sync, rename and
// removal, drops unsynced data and opens the folder. The folder must hold the
// acknowledged state, or the state that the interrupted step intended to write.
func TestCrashAtEachOperation(t *testing.T) {
	withoutCrash := newMemFS(0)
	_, err := workload(withoutCrash, func(agree.State) {})
	assert.NilError(t, err)
	for crashAt := 1; crashAt <= withoutCrash.ops; crashAt++ {
		for seed := uint64(1); seed <= 40; seed++ {
			fs := newMemFS(seed)
			fs.crashAt = crashAt
			acknowledged := ""
			intended, err := workload(fs, func(st agree.State) { acknowledged = stateString(st) })
			// A failed removal of a superseded file has no consequence.
			assert.Assert(t, err != nil || acknowledged == stateString(intended))
			checkAfterCrash(t, fs.reboot(), acknowledged, stateString(intended), crashAt, seed)
			fs.crashAt = 0 // only the process died: its writes are in the system's cache
			checkAfterCrash(t, unlocked(fs), acknowledged, stateString(intended), crashAt, seed)
		}
	}
}

func checkAfterCrash(t *testing.T, fs *memFS, acknowledged, intended string, crashAt int, seed uint64) {
	t.Helper()
	f, err := OpenFolder(fs, dir)
	assert.NilError(t, err)
	l, c, err := f.Load()
	where := fmt.Sprintf("crash at operation %d, seed %d", crashAt, seed)
	if acknowledged == "" {
		var none *NotFormattedError
		assert.Assert(t, err == nil || errors.As(err, &none), "%s: %v", where, err)
		return
	}
	assert.NilError(t, err, where)
	got := stateString(c.State)
	assert.Assert(t, got == acknowledged || got == intended, "%s:\ngot  %s\nwant %s\nor   %s", where, got, acknowledged, intended)
	// The loaded state is now acknowledged: it must survive a reboot, and further
	// saves must work.
	afterReboot, err := (&Folder{fs: fs.reboot(), dir: dir}).Read()
	assert.NilError(t, err, where)
	assert.Equal(t, stateString(afterReboot.State), got, where)
	last := c.LastIndex()
	assert.NilError(t, l.Save(nil, entries(99, last+1, last+1)))
	again, err := OpenFolder(unlocked(fs.reboot()), dir)
	assert.NilError(t, err)
	afterSave, err := again.Read()
	assert.NilError(t, err, where)
	assert.Equal(t, stateString(afterSave.State), got+fmt.Sprintf(" 99:%d:command %d of term 99", last+1, last+1))
}

func unlocked(fs *memFS) *memFS { fs.locked = false; return fs }

// TestCrashDuringReformat stops Reformat at each operation. The folder must then hold the
// former incarnation with all it had saved, or the new one with nothing.
func TestCrashDuringReformat(t *testing.T) {
	next := Identity{Group: testID.Group, Self: agree.ID{Name: testID.Self.Name, Incarnation: testID.Self.Incarnation + 1}}
	wasNext := 0
	for crashAfter, isDone := 1, false; !isDone; crashAfter++ {
		fs, _, _, _ := folderWithSaves(t)
		f, err := OpenFolder(unlocked(fs), dir)
		assert.NilError(t, err)
		l, before, err := f.Load()
		assert.NilError(t, err)
		fs.crashAt = fs.ops + crashAfter
		isDone = l.Reformat(next) == nil && fs.ops < fs.crashAt
		after, err := (&Folder{fs: fs.reboot(), dir: dir}).Read()
		assert.NilError(t, err)
		if after.Identity == next {
			wasNext++
			assert.Equal(t, stateString(after.State), stateString(agree.State{}))
			continue
		}
		assert.Assert(t, !isDone && after.Identity == testID, "%+v", after.Identity)
		assert.Equal(t, stateString(after.State), stateString(before.State))
	}
	assert.Assert(t, wasNext > 0)
}

// folderWithSaves returns a formatted folder with four saves: the file system,
// the path and bytes of the log file, and the offsets of its records and its end.
func folderWithSaves(t *testing.T) (*memFS, string, []byte, []int64) {
	t.Helper()
	fs := newMemFS(1)
	f, err := OpenFolder(fs, dir)
	assert.NilError(t, err)
	assert.NilError(t, f.Format(testID, agree.InitialState(testID.Self, "a:1")))
	l, _, err := f.Load()
	assert.NilError(t, err)
	starts := []int64{0, l.Size()}
	for i := uint64(2); i < 6; i++ {
		assert.NilError(t, l.Save(&agreepb.HardState{Term: i}, entries(i, i, i)))
		starts = append(starts, l.Size()-headerBytes, l.Size())
	}
	assert.NilError(t, f.Close())
	return fs, l.path, fs.current[l.path].current, starts
}

// TestDamageAtEachByte changes every byte and truncates the file at every length.
// A changed byte must give an error that names the file and the offset, except in
// the last record: it is the seal of the last save and may be dropped silently.
// After truncation the complete records must be read and the rest counted as
// torn; only a truncated first record is an error.
func TestDamageAtEachByte(t *testing.T) {
	_, path, good, starts := folderWithSaves(t)
	records := len(starts) - 1
	recordOf := func(offset int) int {
		k := 0
		for k+1 < records && int64(offset) >= starts[k+1] {
			k++
		}
		return k
	}
	for offset := range good {
		data := append([]byte(nil), good...)
		data[offset] ^= 0x41
		c, err := decodeFile(path, data)
		record := recordOf(offset)
		if record == records-1 {
			assert.NilError(t, err)
			assert.Equal(t, c.Records, uint64(records-1))
			assert.Equal(t, c.LastIndex(), uint64(5))
			continue
		}
		var damage *DamageError
		assert.Assert(t, errors.As(err, &damage), "offset %d: %v", offset, err)
		assert.Equal(t, damage.File, path)
		assert.Equal(t, damage.Offset, starts[record])
	}
	for length := range good {
		c, err := decodeFile(path, good[:length])
		if int64(length) < starts[1] {
			var damage *DamageError
			assert.Assert(t, errors.As(err, &damage), "length %d: %v", length, err)
			continue
		}
		assert.NilError(t, err)
		whole := recordOf(length)
		assert.Equal(t, c.Records, uint64(whole), "length %d", length)
		assert.Equal(t, c.TornBytes, int64(length)-starts[whole])
	}
}

// TestRefused checks the errors for content that is not a valid log.
func TestRefused(t *testing.T) {
	_, path, good, starts := folderWithSaves(t)
	futurePayload, err := encodeRecord(path, &agreepb.Checkpoint{Version: 2})
	assert.NilError(t, err)
	gapPayload, err := encodeRecord(path, &agreepb.Batch{Entries: entries(9, 9, 9)})
	assert.NilError(t, err)
	recordMissing := append(append([]byte(nil), good[:starts[3]]...), good[starts[4]:]...)
	for _, row := range []struct {
		name string
		data []byte
		want string
	}{
		{"empty file", nil, path + ": damaged at offset 0: the record ends too early"},
		{"another file", []byte("something else, long enough to be one"), path + ": damaged at offset 0: this is not the start of a record"},
		{"record missing", recordMissing, fmt.Sprintf("%s: damaged at offset %d: a record is missing", path, starts[3])},
		{"later version", appendFrame(nil, 1, futurePayload), path + ": format version 2; this program reads version 1"},
		{"gap in entries", appendFrame(append([]byte(nil), good[:starts[1]]...), 2, gapPayload),
			fmt.Sprintf("%s: damaged at offset %d: the record matches its checksum and cannot be decoded", path, starts[1])},
	} {
		_, err := decodeFile(path, row.data)
		assert.Error(t, err, row.want, row.name)
	}
}

// TestFullDisk checks that saves on a full disk fail without losing earlier ones,
// and succeed once there is room again.
func TestFullDisk(t *testing.T) {
	fs, _, _, _ := folderWithSaves(t)
	f, err := OpenFolder(fs, dir)
	assert.NilError(t, err)
	l, c, err := f.Load()
	assert.NilError(t, err)
	before := stateString(c.State)
	var full *FullError
	for _, freeBytes := range []int{0, 1, 23, 24, 40} {
		fs.freeBytes = freeBytes
		assert.Assert(t, errors.As(l.Save(nil, entries(7, 6, 6)), &full))
		assert.Assert(t, errors.As(l.Rewrite(agree.State{Entries: entries(7, 1, 9)}), &full))
		found, err := (&Folder{fs: fs.reboot(), dir: dir}).Read()
		assert.NilError(t, err)
		assert.Equal(t, stateString(found.State), before)
	}
	fs.freeBytes = -1
	assert.NilError(t, l.Save(nil, entries(7, 6, 6)))
	c, err = f.Read()
	assert.NilError(t, err)
	assert.Equal(t, c.LastIndex(), uint64(6))
	assert.NilError(t, l.Rewrite(agree.State{Entries: entries(7, 1, 9)}))
	c, err = f.Read()
	assert.NilError(t, err)
	assert.Equal(t, c.LastIndex(), uint64(9))
}

// TestFailedSync checks that after a failed sync every further save is refused.
func TestFailedSync(t *testing.T) {
	fs, _, _, _ := folderWithSaves(t)
	f, err := OpenFolder(fs, dir)
	assert.NilError(t, err)
	l, _, err := f.Load()
	assert.NilError(t, err)
	fs.failSync = true
	var failed *FailedError
	assert.Assert(t, errors.As(l.Save(nil, entries(7, 6, 6)), &failed))
	fs.failSync = false
	assert.Assert(t, errors.As(l.Save(nil, entries(7, 6, 6)), &failed))
	assert.Assert(t, errors.As(l.Rewrite(agree.State{}), &failed))
}

// TestRealFolder uses the operating system's files. It checks that a locked folder
// cannot be opened a second time, that a formatted folder cannot be formatted
// again, and that saves are read back.
func TestRealFolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "above", "data")
	f, err := OpenFolder(OS{}, path)
	assert.NilError(t, err)
	var locked *LockedError
	_, err = OpenFolder(OS{}, path)
	assert.Assert(t, errors.As(err, &locked), "%v", err)
	assert.NilError(t, f.Format(testID, agree.InitialState(testID.Self, "a:1")))
	var notEmpty *NotEmptyError
	assert.Assert(t, errors.As(f.Format(testID, agree.State{}), &notEmpty))
	l, _, err := f.Load()
	assert.NilError(t, err)
	assert.NilError(t, l.Save(nil, entries(2, 2, 4)))
	assert.NilError(t, l.Rewrite(agree.State{Entries: entries(2, 1, 4)}))
	assert.NilError(t, l.Save(nil, entries(3, 4, 5)))
	assert.NilError(t, l.Close())
	assert.NilError(t, f.Close())
	f, err = OpenFolder(OS{}, path)
	assert.NilError(t, err)
	defer f.Close()
	_, c, err := f.Load()
	assert.NilError(t, err)
	assert.Equal(t, c.LastIndex(), uint64(5))
	var io *IOError
	_, err = OpenFolder(OS{}, filepath.Join(path, lockFileName)) // a file is in the way
	assert.Assert(t, errors.As(err, &io), "%v", err)
	assert.Equal(t, c.Identity, testID)
}
