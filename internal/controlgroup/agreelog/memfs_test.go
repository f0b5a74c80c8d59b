package agreelog

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

var errCrashed = errors.New("crashed")

type inode struct{ current, durable []byte }

// memFS keeps files in memory, with synced data held separately. Operation number
// crashAt and all later ones fail; a write with that number is done in part.
// reboot returns the disk in a state that a restart may find.
type memFS struct {
	rng              *rand.Rand
	current, durable map[string]*inode
	ops, crashAt     int
	freeBytes        int // bytes left; negative for no limit
	failSync         bool
	locked           bool
}

func newMemFS(seed uint64) *memFS {
	return &memFS{
		rng: rand.New(rand.NewPCG(seed, 2)), freeBytes: -1,
		current: map[string]*inode{}, durable: map[string]*inode{},
	}
}

// reboot drops unsynced data and names; each is lost completely, in part or not
// at all.
func (m *memFS) reboot() *memFS {
	next := newMemFS(m.rng.Uint64())
	names := slices.Sorted(maps.Keys(m.current))
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		if _, ok := m.current[name]; !ok {
			names = append(names, name)
		}
	}
	for _, name := range names {
		node := m.current[name]
		if m.rng.IntN(2) == 0 {
			node = m.durable[name]
		}
		if node == nil {
			continue
		}
		data := m.contentAfterCrash(node)
		next.current[name] = &inode{current: data, durable: data}
		next.durable[name] = next.current[name]
	}
	return next
}

// contentAfterCrash returns a file's content after a crash: the synced bytes and
// some of the unsynced ones, part of them zeroed.
func (m *memFS) contentAfterCrash(node *inode) []byte {
	if len(node.current) < len(node.durable) {
		return slices.Clone([][]byte{node.current, node.durable}[m.rng.IntN(2)])
	}
	extra := slices.Clone(node.current[len(node.durable):])
	if m.rng.IntN(2) == 0 {
		extra = extra[:m.rng.IntN(len(extra)+1)]
	}
	if m.rng.IntN(2) == 0 {
		clear(extra[:min(len(extra), m.rng.IntN(2*headerBytes))])
	}
	return append(slices.Clone(node.durable), extra...)
}

func (m *memFS) countOperation() error {
	m.ops++
	if m.crashAt > 0 && m.ops >= m.crashAt {
		return errCrashed
	}
	return nil
}

func (m *memFS) MkdirAll(string) error { return m.countOperation() }

func (m *memFS) Lock(path string) (io.Closer, error) {
	if m.locked {
		return nil, &LockedError{Path: path}
	}
	m.locked = true
	return unlocker{m}, nil
}

type unlocker struct{ m *memFS }

func (u unlocker) Close() error { u.m.locked = false; return nil }

func (m *memFS) List(dir string) ([]string, error) {
	var names []string
	for path := range m.current {
		if filepath.Dir(path) == dir {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	if node := m.current[path]; node != nil {
		return slices.Clone(node.current), nil
	}
	return nil, os.ErrNotExist
}

func (m *memFS) Create(path string) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	m.current[path] = &inode{}
	return &memFile{m, m.current[path]}, nil
}

func (m *memFS) OpenAppend(path string) (File, error) {
	if node := m.current[path]; node != nil {
		return &memFile{m, node}, nil
	}
	return nil, os.ErrNotExist
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.current[to] = m.current[from]
	delete(m.current, from)
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	delete(m.current, path)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.current)
	return nil
}

type memFile struct {
	m    *memFS
	node *inode
}

func (f *memFile) Write(p []byte) (int, error) {
	if err := f.m.countOperation(); err != nil {
		if f.m.ops == f.m.crashAt {
			f.node.current = append(f.node.current, p[:f.m.rng.IntN(len(p)+1)]...)
		}
		return 0, err
	}
	if f.m.freeBytes >= 0 && len(p) > f.m.freeBytes {
		f.node.current = append(f.node.current, p[:f.m.freeBytes]...)
		return f.m.freeBytes, syscall.ENOSPC
	}
	f.node.current = append(f.node.current, p...)
	return len(p), nil
}

func (f *memFile) Truncate(size int64) error {
	if err := f.m.countOperation(); err != nil {
		return err
	}
	f.node.current = slices.Clone(f.node.current[:size])
	return nil
}

func (f *memFile) Sync() error {
	if f.m.failSync {
		return syscall.EIO
	}
	if err := f.m.countOperation(); err != nil {
		return err
	}
	f.node.durable = slices.Clone(f.node.current)
	return nil
}

func (f *memFile) Close() error { return nil }
