// Package agreelog keeps a member's durable state in one data folder.
//
// The folder holds one log file, agree-GENERATION.log, and a lock file. The
// first record of a log file is a checkpoint with everything known when the
// file was created; each later record is one save. A compaction writes the
// next generation under a temporary name, syncs it, renames it and syncs the
// folder, then removes the former generation. The file with the highest
// generation counts.
//
// A save returns only after the file is synced; an empty record behind it then
// marks it as durable. A torn save at the end of the file, which was never
// promised, is cut when the folder is opened; any other damage is an error that
// names file and offset.
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
	lockName   = "LOCK"
	filePrefix = "agree-"
	fileSuffix = ".log"
	tempSuffix = ".tmp"
)

// Folder is a locked data folder.
type Folder struct {
	fs   FS
	dir  string
	lock io.Closer
}

// OpenFolder creates dir when it is not there and locks it. Errors:
// *LockedError, *FullError, *IOError.
func OpenFolder(fs FS, dir string) (*Folder, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, wrap(OpMkdir, dir, 0, err)
	}
	if err := fs.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, wrap(OpSyncDir, filepath.Dir(dir), 0, err)
	}
	path := filepath.Join(dir, lockName)
	lock, err := fs.Lock(path)
	if err != nil {
		return nil, wrap(OpLock, path, 0, err)
	}
	return &Folder{fs: fs, dir: dir, lock: lock}, nil
}

// Formatted reports whether dir holds a log, without touching it.
func Formatted(fs FS, dir string) bool {
	generation, _, err := (&Folder{fs: fs, dir: dir}).newest()
	return err == nil && generation > 0
}

// Close releases the lock.
func (f *Folder) Close() error {
	return wrap(OpLock, filepath.Join(f.dir, lockName), 0, f.lock.Close())
}

// newest returns the highest generation, 0 when there is none, and the names
// of files that are superseded.
func (f *Folder) newest() (generation uint64, superseded []string, err error) {
	names, err := f.fs.List(f.dir)
	if err != nil {
		return 0, nil, wrap(OpList, f.dir, 0, err)
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

// generationOf returns 0 for a name that is not a log file's.
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

// Read returns the content without changing anything. Errors:
// *NotFormattedError, *DamageError, *VersionError, *IOError.
func (f *Folder) Read() (Content, error) {
	generation, _, err := f.newest()
	if err != nil {
		return Content{}, err
	}
	if generation == 0 {
		return Content{}, &NotFormattedError{Dir: f.dir}
	}
	path := filepath.Join(f.dir, fileName(generation))
	data, err := f.fs.ReadFile(path)
	if err != nil {
		return Content{}, wrap(OpRead, path, 0, err)
	}
	return decode(path, data)
}

// Format writes the first generation. A folder that holds a log gives
// *NotEmptyError; other errors: *FullError, *IOError.
func (f *Folder) Format(id Identity, st agree.State) error {
	generation, _, err := f.newest()
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
	return wrap(OpOpen, path, 0, file.Close())
}

// Load opens the log for saving: it cuts a torn save, syncs what it read and
// removes superseded files. Errors as of Read, and *FullError.
func (f *Folder) Load() (*Log, Content, error) {
	c, err := f.Read()
	if err != nil {
		return nil, Content{}, err
	}
	generation, superseded, err := f.newest()
	if err != nil {
		return nil, Content{}, err
	}
	path := filepath.Join(f.dir, fileName(generation))
	data, err := f.fs.ReadFile(path)
	if err != nil {
		return nil, Content{}, wrap(OpRead, path, 0, err)
	}
	file, err := f.fs.OpenAppend(path)
	if err != nil {
		return nil, Content{}, wrap(OpOpen, path, 0, err)
	}
	l := &Log{
		folder: f, id: c.Identity, generation: generation, file: file, path: path,
		seq: c.Records, size: int64(len(data)) - c.TornBytes,
	}
	if err := l.settle(c.TornBytes > 0); err != nil {
		_ = file.Close()
		return nil, Content{}, err
	}
	for _, name := range superseded {
		// A file left behind is removed the next time.
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
	// seq and size describe the whole records, all durable but for a seal.
	seq    uint64
	size   int64
	failed error
}

// settle makes what was read durable: it may be only in the system's cache.
func (l *Log) settle(cut bool) error {
	if cut {
		if err := l.file.Truncate(l.size); err != nil {
			return wrap(OpTruncate, l.path, 0, err)
		}
	}
	if err := l.file.Sync(); err != nil {
		return wrap(OpSync, l.path, 0, err)
	}
	return wrap(OpSyncDir, l.folder.dir, 0, l.folder.fs.SyncDir(l.folder.dir))
}

// Size returns the length of the log file in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the file; the folder stays locked.
func (l *Log) Close() error { return wrap(OpOpen, l.path, 0, l.file.Close()) }

// Save makes a hard state and entries durable; either may be empty. After
// *FullError nothing is saved and the call can be repeated. After any other
// error it is unknown what is saved, and every later call gives *FailedError.
func (l *Log) Save(hs *agreepb.HardState, entries []*agreepb.Entry) error {
	if l.failed != nil {
		return &FailedError{File: l.path, Cause: l.failed}
	}
	if hs == nil && len(entries) == 0 {
		return nil // an empty record is a seal
	}
	payload, err := encode(l.path, &agreepb.Batch{HardState: hs, Entries: entries})
	if err != nil {
		return err
	}
	frame := appendFrame(nil, l.seq+1, payload)
	if _, err := l.file.Write(frame); err != nil {
		return l.undo(wrap(OpWrite, l.path, len(frame), err))
	}
	if err := l.file.Sync(); err != nil {
		l.failed = wrap(OpSync, l.path, len(frame), err)
		return &FailedError{File: l.path, Cause: l.failed}
	}
	l.seq++
	l.size += int64(len(frame))
	l.seal()
	return nil
}

// seal writes an empty record behind a synced save. It is not synced itself:
// whenever it is found, it proves that the save was durable, so that damage to
// the save is not taken for a torn end.
func (l *Log) seal() {
	frame := appendFrame(nil, l.seq+1, nil)
	if _, err := l.file.Write(frame); err != nil {
		_ = l.undo(wrap(OpWrite, l.path, len(frame), err))
		return
	}
	l.seq++
	l.size += int64(len(frame))
}

// undo cuts a write that failed half-way.
func (l *Log) undo(cause error) error {
	if _, full := cause.(*FullError); !full {
		l.failed = cause
		return cause
	}
	if err := l.file.Truncate(l.size); err != nil {
		l.failed = wrap(OpTruncate, l.path, 0, err)
		return &FailedError{File: l.path, Cause: l.failed}
	}
	return cause
}

// Rewrite makes st durable in place of everything saved before. After
// *FullError the former content stands and the call can be repeated. After any
// other error every later call gives *FailedError.
func (l *Log) Rewrite(st agree.State) error {
	if l.failed != nil {
		return &FailedError{File: l.path, Cause: l.failed}
	}
	file, size, err := l.folder.writeGeneration(l.generation+1, l.id, st)
	if err != nil {
		if _, full := err.(*FullError); !full {
			l.failed = err
		}
		return err
	}
	former, formerFile := l.path, l.file
	l.generation++
	l.path = filepath.Join(l.folder.dir, fileName(l.generation))
	l.file, l.seq, l.size = file, 1, size
	// A former file left behind is removed when the folder is opened again.
	_ = formerFile.Close()
	_ = l.folder.fs.Remove(former)
	return nil
}

// writeGeneration writes a log file that holds a checkpoint. After *FullError
// the file has not got its name.
func (f *Folder) writeGeneration(generation uint64, id Identity, st agree.State) (File, int64, error) {
	path := filepath.Join(f.dir, fileName(generation))
	payload, err := encode(path, checkpointOf(id, st))
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
		return nil, 0, wrap(OpRename, path, 0, err)
	}
	if err := f.fs.SyncDir(f.dir); err != nil {
		_ = file.Close()
		return nil, 0, &IOError{Op: OpSyncDir, Path: f.dir, Err: err}
	}
	return file, int64(len(frame)), nil
}

// writeSynced creates a file with this content and syncs it.
func writeSynced(fs FS, path string, content []byte) (File, error) {
	file, err := fs.Create(path)
	if err != nil {
		return nil, wrap(OpCreate, path, len(content), err)
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
		return nil, wrap(op, path, len(content), err)
	}
	return file, nil
}
