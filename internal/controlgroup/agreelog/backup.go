package agreelog

import (
	"path/filepath"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
)

// WriteBackup writes c as a single log file at path, which must not exist yet.
// Errors: *NotEmptyError, *FullError, *IOError, *SizeError.
func WriteBackup(fs FS, path string, c Content) error {
	dir := filepath.Dir(path)
	names, err := fs.List(dir)
	if err != nil {
		return wrapError(OpList, dir, 0, err)
	}
	for _, name := range names {
		if name == filepath.Base(path) {
			return &NotEmptyError{Path: path}
		}
	}
	payload, err := encodeRecord(path, checkpointOf(c.Identity, c.State))
	if err != nil {
		return err
	}
	file, err := writeSynced(fs, path+tempSuffix, appendFrame(nil, 1, payload))
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return wrapError(OpWrite, path, 0, err)
	}
	if err := fs.Rename(path+tempSuffix, path); err != nil {
		return wrapError(OpRename, path, 0, err)
	}
	return wrapError(OpSyncDir, dir, 0, fs.SyncDir(dir))
}

// ReadBackup reads a backup or a single log file. A backup, unlike a folder's log,
// was complete when it was written, so a torn end counts as damage too. Errors:
// *DamageError, *VersionError, *IOError.
func ReadBackup(fs FS, path string) (Content, error) {
	data, err := fs.ReadFile(path)
	if err != nil {
		return Content{}, wrapError(OpRead, path, 0, err)
	}
	c, err := decodeFile(path, data)
	if err != nil {
		return Content{}, err
	}
	if c.TornBytes > 0 {
		offset := int64(len(data)) - c.TornBytes
		return Content{}, &DamageError{File: path, Offset: offset, Reason: DamageTruncated}
	}
	return c, nil
}

// NewGroupFrom returns the state of a new group that continues from c with self as the
// only voter. Every entry in c counts as committed, because c may be the only
// remaining copy of an acknowledged one. The caller must choose a new group
// number and incarnation, so that no member of the former group can take part
// after it has lost votes or entries that it had acknowledged.
func NewGroupFrom(c Content, self agree.ID, address string) agree.State {
	founder := agree.InitialState(self, address).Entries[0].Membership
	start := &agreepb.Entry{
		Term:       max(c.LastTerm(), c.State.HardState.GetTerm()) + 1,
		Index:      c.LastIndex() + 1,
		Kind:       agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP,
		Membership: founder,
	}
	entries := append([]*agreepb.Entry(nil), c.State.Entries...)
	return agree.State{
		HardState: &agreepb.HardState{Term: start.Term, Commit: start.Index},
		Snapshot:  c.State.Snapshot,
		Entries:   append(entries, start),
	}
}
