// Package agreelog stores a control group member's persistent state in a data
// folder.
//
// The folder holds one log file, agree-GENERATION.log, and a lock file. The
// first record of a log file is a checkpoint with the whole state at the time
// the file was created; each later record is one save. A compaction writes the
// next generation under a temporary name, syncs it, renames it and syncs the
// folder, then removes the previous generation. Only the file with the highest
// generation is read.
//
// A save returns only after the file is synced. A seal, an empty record after the
// save, then marks it as durable. Opening the folder truncates a torn save at the
// end of the file, which was never acknowledged. Any other damage is an error
// that names the file and the offset.
package agreelog

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
)

const (
	lockFileName = "LOCK"
	filePrefix   = "agree-"
	fileSuffix   = ".log"
	tempSuffix   = ".tmp"
)

// Folder is a locked data folder.
type Folder struct {
	fs   FS
	dir  string
	lock io.Closer
}

// OpenFolder creates dir if it does not exist and locks it. Errors: *LockedError,
// *FullError, *IOError.
func OpenFolder(fs FS, dir string) (*Folder, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, wrapError(OpMkdir, dir, 0, err)
	}
	if err := fs.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, wrapError(OpSyncDir, filepath.Dir(dir), 0, err)
	}
	path := filepath.Join(dir, lockFileName)
	lock, err := fs.Lock(path)
	if err != nil {
		return nil, wrapError(OpLock, path, 0, err)
	}
	return &Folder{fs: fs, dir: dir, lock: lock}, nil
}

// IsFormatted reports whether dir holds a log. It neither locks nor changes dir.
func IsFormatted(fs FS, dir string) bool {
	generation, _, err := (&Folder{fs: fs, dir: dir}).newestGeneration()
	return err == nil && generation > 0
}

// Close releases the lock.
func (f *Folder) Close() error {
	return wrapError(OpLock, filepath.Join(f.dir, lockFileName), 0, f.lock.Close())
}

// newestGeneration returns the highest generation, or 0 if there is none, and the
// sorted names of temporary and superseded files.
func (f *Folder) newestGeneration() (generation uint64, superseded []string, err error) {
	names, err := f.fs.List(f.dir)
	if err != nil {
		return 0, nil, wrapError(OpList, f.dir, 0, err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, filePrefix) && strings.HasSuffix(name, tempSuffix) {
			superseded = append(superseded, name)
		}
		generation = max(generation, generationOf(name))
	}
	for _, name := range names {
		if g := generationOf(name); g > 0 && g < generation {
			superseded = append(superseded, name)
		}
	}
	slices.Sort(superseded)
	return generation, superseded, nil
}

// generationOf returns the generation in a log file's name, or 0 for other names.
func generationOf(name string) uint64 {
	var generation uint64
	if _, err := fmt.Sscanf(name, filePrefix+"%016x"+fileSuffix, &generation); err != nil {
		return 0
	}
	if name != fileName(generation) {
		return 0
	}
	return generation
}

func fileName(generation uint64) string {
	return fmt.Sprintf("%s%016x%s", filePrefix, generation, fileSuffix)
}

// Read returns the content of the newest log file without changing it. Errors:
// *NotFormattedError, *DamageError, *VersionError, *IOError.
func (f *Folder) Read() (Content, error) {
	generation, _, err := f.newestGeneration()
	if err != nil {
		return Content{}, err
	}
	if generation == 0 {
		return Content{}, &NotFormattedError{Dir: f.dir}
	}
	path := filepath.Join(f.dir, fileName(generation))
	data, err := f.fs.ReadFile(path)
	if err != nil {
		return Content{}, wrapError(OpRead, path, 0, err)
	}
	return decodeFile(path, data)
}

// Format writes the first generation with the given state. It returns
// *NotEmptyError if the folder already holds a log. Other errors: *FullError,
// *IOError, *SizeError.
func (f *Folder) Format(id Identity, st agree.State) error {
	generation, _, err := f.newestGeneration()
	if err != nil {
		return err
	}
	if generation > 0 {
		return &NotEmptyError{Path: filepath.Join(f.dir, fileName(generation))}
	}
	file, _, err := f.writeGeneration(1, id, st)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, fileName(1))
	return wrapError(OpOpen, path, 0, file.Close())
}

// Load opens the log for saving. It truncates a torn save, syncs the file and
// removes superseded files. Errors: those of Read, and *FullError.
func (f *Folder) Load() (*Log, Content, error) {
	c, err := f.Read()
	if err != nil {
		return nil, Content{}, err
	}
	generation, superseded, err := f.newestGeneration()
	if err != nil {
		return nil, Content{}, err
	}
	path := filepath.Join(f.dir, fileName(generation))
	data, err := f.fs.ReadFile(path)
	if err != nil {
		return nil, Content{}, wrapError(OpRead, path, 0, err)
	}
	file, err := f.fs.OpenAppend(path)
	if err != nil {
		return nil, Content{}, wrapError(OpOpen, path, 0, err)
	}
	l := &Log{
		folder: f, id: c.Identity, generation: generation, file: file, path: path,
		seq: c.Records, size: int64(len(data)) - c.TornBytes,
	}
	if err := l.syncLoaded(c.TornBytes > 0); err != nil {
		_ = file.Close()
		return nil, Content{}, err
	}
	for _, name := range superseded {
		// The next Load retries a removal that fails.
		_ = f.fs.Remove(filepath.Join(f.dir, name))
	}
	return l, c, nil
}

// Log is the log file open for saving. It is not safe for concurrent use.
type Log struct {
	folder     *Folder
	id         Identity
	generation uint64
	file       File
	path       string
	// seq and size are the number and total bytes of the complete records. All
	// of them are durable, except possibly a seal at the end.
	seq  uint64
	size int64
	// failure is set after an error that left the content of the file unknown.
	failure error
}

// syncLoaded makes the loaded records durable, because they may only be in the
// operating system's cache. It truncates a torn end first.
func (l *Log) syncLoaded(hasTornEnd bool) error {
	if hasTornEnd {
		if err := l.file.Truncate(l.size); err != nil {
			return wrapError(OpTruncate, l.path, 0, err)
		}
	}
	if err := l.file.Sync(); err != nil {
		return wrapError(OpSync, l.path, 0, err)
	}
	return wrapError(OpSyncDir, l.folder.dir, 0, l.folder.fs.SyncDir(l.folder.dir))
}

// Size returns the size of the log file in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the file; the folder stays locked.
func (l *Log) Close() error { return wrapError(OpOpen, l.path, 0, l.file.Close()) }

// Save makes a hard state and entries durable; either may be empty. If it returns
// *FullError or *SizeError, nothing is saved and later calls may succeed. After
// any other error it is unknown what is saved, and every later call returns
// *FailedError.
func (l *Log) Save(hs *agreepb.HardState, entries []*agreepb.Entry) error {
	if l.failure != nil {
		return &FailedError{File: l.path, Cause: l.failure}
	}
	if hs == nil && len(entries) == 0 {
		return nil // an empty record is a seal
	}
	payload, err := encodeRecord(l.path, &agreepb.Batch{HardState: hs, Entries: entries})
	if err != nil {
		return err
	}
	frame := appendFrame(nil, l.seq+1, payload)
	if _, err := l.file.Write(frame); err != nil {
		return l.undoPartialWrite(wrapError(OpWrite, l.path, len(frame), err))
	}
	if err := l.file.Sync(); err != nil {
		l.failure = wrapError(OpSync, l.path, len(frame), err)
		return &FailedError{File: l.path, Cause: l.failure}
	}
	l.seq++
	l.size += int64(len(frame))
	l.writeSeal()
	return nil
}

// writeSeal writes an empty record after a synced save. The seal itself is not
// synced. If it is present, it proves that the save was durable, so that damage
// to the save is not mistaken for a torn end.
func (l *Log) writeSeal() {
	frame := appendFrame(nil, l.seq+1, nil)
	if _, err := l.file.Write(frame); err != nil {
		_ = l.undoPartialWrite(wrapError(OpWrite, l.path, len(frame), err))
		return
	}
	l.seq++
	l.size += int64(len(frame))
}

// undoPartialWrite truncates the file after a write that failed because the disk
// is full. Any other cause, or a failed truncation, makes the log unusable.
func (l *Log) undoPartialWrite(cause error) error {
	if _, full := cause.(*FullError); !full {
		l.failure = cause
		return cause
	}
	if err := l.file.Truncate(l.size); err != nil {
		l.failure = wrapError(OpTruncate, l.path, 0, err)
		return &FailedError{File: l.path, Cause: l.failure}
	}
	return cause
}

// Rewrite durably replaces everything saved before by st. If it returns
// *FullError, the previous content is intact and the call can be retried. After
// any other error every later call returns *FailedError.
func (l *Log) Rewrite(st agree.State) error {
	if l.failure != nil {
		return &FailedError{File: l.path, Cause: l.failure}
	}
	file, size, err := l.folder.writeGeneration(l.generation+1, l.id, st)
	if err != nil {
		if _, full := err.(*FullError); !full {
			l.failure = err
		}
		return err
	}
	formerPath, formerFile := l.path, l.file
	l.generation++
	l.path = filepath.Join(l.folder.dir, fileName(l.generation))
	l.file, l.seq, l.size = file, 1, size
	// If the removal fails, the next Load removes the file.
	_ = formerFile.Close()
	_ = l.folder.fs.Remove(formerPath)
	return nil
}

// Reformat durably replaces everything saved before by an empty log of a new incarnation.
// Errors: as for Rewrite.
func (l *Log) Reformat(id Identity) error {
	former := l.id
	l.id = id
	err := l.Rewrite(agree.State{})
	if err != nil {
		l.id = former
	}
	return err
}

// writeGeneration writes a log file that holds a checkpoint. After *FullError the
// file does not exist under its final name.
func (f *Folder) writeGeneration(generation uint64, id Identity, st agree.State) (File, int64, error) {
	path := filepath.Join(f.dir, fileName(generation))
	payload, err := encodeRecord(path, checkpointOf(id, st))
	if err != nil {
		return nil, 0, err
	}
	frame := appendFrame(nil, 1, payload)
	file, err := writeSynced(f.fs, path+tempSuffix, frame)
	if err != nil {
		return nil, 0, err
	}
	if err := f.fs.Rename(path+tempSuffix, path); err != nil {
		_ = file.Close()
		return nil, 0, wrapError(OpRename, path, 0, err)
	}
	if err := f.fs.SyncDir(f.dir); err != nil {
		_ = file.Close()
		return nil, 0, &IOError{Op: OpSyncDir, Path: f.dir, Err: err}
	}
	return file, int64(len(frame)), nil
}

// writeSynced creates a file with the given content and syncs it. After an error
// it tries to remove the file.
func writeSynced(fs FS, path string, content []byte) (File, error) {
	file, err := fs.Create(path)
	if err != nil {
		return nil, wrapError(OpCreate, path, len(content), err)
	}
	op := OpWrite
	_, err = file.Write(content)
	if err == nil {
		op = OpSync
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close()
		_ = fs.Remove(path)
		return nil, wrapError(op, path, len(content), err)
	}
	return file, nil
}
