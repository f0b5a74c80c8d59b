package agreelog

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the part of a file system that the log uses. Its methods return operating
// system errors unless stated otherwise.
type FS interface {
	// MkdirAll creates dir and its missing parents.
	MkdirAll(dir string) error
	// Lock acquires an exclusive lock that is released by Close or when the
	// process ends. It returns *LockedError if another holder has the lock.
	Lock(path string) (io.Closer, error)
	// List returns the names of the files in dir.
	List(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create creates an empty file or truncates an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes created, renamed and removed names in dir durable.
	SyncDir(dir string) error
}

// File is a file open for appending.
type File interface {
	io.WriteCloser
	Truncate(size int64) error
	Sync() error
}

// OS is the FS backed by the operating system.
type OS struct{}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// MkdirAll implements FS. It syncs the parent of each folder that it creates.
func (fs OS) MkdirAll(dir string) error {
	if info, err := os.Stat(dir); err == nil && info.IsDir() {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := fs.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, dirMode); err != nil && !os.IsExist(err) {
		return err
	}
	return fs.SyncDir(parent)
}

// Lock implements FS with flock.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close()
	if err == syscall.EWOULDBLOCK {
		return nil, &LockedError{Path: path}
	}
	return nil, err
}

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// OpenAppend implements FS.
func (OS) OpenAppend(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
