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

type inode struct{ now, durable []byte }

// memFS keeps files in memory, with what is synced apart. At operation crashAt
// it takes the operation half-way and fails from then on; reboot gives the disk
// as a restart may find it.
type memFS struct {
	rng          *rand.Rand
	now, durable map[string]*inode
	ops, crashAt int
	free         int // bytes left; negative for no limit
	failSync     bool
	locked       bool
}

func newMemFS(seed uint64) *memFS {
	return &memFS{
		rng: rand.New(rand.NewPCG(seed, 2)), free: -1,
		now: map[string]*inode{}, durable: map[string]*inode{},
	}
}

// reboot drops unsynced data and names, each wholly, in part or not at all.
func (m *memFS) reboot() *memFS {
	next := newMemFS(m.rng.Uint64())
	names := slices.Sorted(maps.Keys(m.now))
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		if _, ok := m.now[name]; !ok {
			names = append(names, name)
		}
	}
	for _, name := range names {
		node := m.now[name]
		if m.rng.IntN(2) == 0 {
			node = m.durable[name]
		}
		if node == nil {
			continue
		}
		data := m.survivor(node)
		next.now[name] = &inode{now: data, durable: data}
		next.durable[name] = next.now[name]
	}
	return next
}

// survivor returns what is left of a file: the synced bytes, and of unsynced
// ones a part, some of it as zeros.
func (m *memFS) survivor(node *inode) []byte {
	if len(node.now) < len(node.durable) {
		return slices.Clone([][]byte{node.now, node.durable}[m.rng.IntN(2)])
	}
	extra := slices.Clone(node.now[len(node.durable):])
	if m.rng.IntN(2) == 0 {
		extra = extra[:m.rng.IntN(len(extra)+1)]
	}
	if m.rng.IntN(2) == 0 {
		clear(extra[:min(len(extra), m.rng.IntN(2*headerBytes))])
	}
	return append(slices.Clone(node.durable), extra...)
}

func (m *memFS) step() error {
	m.ops++
	if m.crashAt > 0 && m.ops >= m.crashAt {
		return errCrashed
	}
	return nil
}

func (m *memFS) MkdirAll(string) error { return m.step() }

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
	for path := range m.now {
		if filepath.Dir(path) == dir {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	if node := m.now[path]; node != nil {
		return slices.Clone(node.now), nil
	}
	return nil, os.ErrNotExist
}

func (m *memFS) Create(path string) (File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	m.now[path] = &inode{}
	return &memFile{m, m.now[path]}, nil
}

func (m *memFS) OpenAppend(path string) (File, error) {
	if node := m.now[path]; node != nil {
		return &memFile{m, node}, nil
	}
	return nil, os.ErrNotExist
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.now[to] = m.now[from]
	delete(m.now, from)
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.now, path)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.now)
	return nil
}

type memFile struct {
	m    *memFS
	node *inode
}

func (f *memFile) Write(p []byte) (int, error) {
	if err := f.m.step(); err != nil {
		if f.m.ops == f.m.crashAt {
			f.node.now = append(f.node.now, p[:f.m.rng.IntN(len(p)+1)]...)
		}
		return 0, err
	}
	if f.m.free >= 0 && len(p) > f.m.free {
		f.node.now = append(f.node.now, p[:f.m.free]...)
		return f.m.free, syscall.ENOSPC
	}
	f.node.now = append(f.node.now, p...)
	return len(p), nil
}

func (f *memFile) Truncate(size int64) error {
	if err := f.m.step(); err != nil {
		return err
	}
	f.node.now = slices.Clone(f.node.now[:size])
	return nil
}

func (f *memFile) Sync() error {
	if f.m.failSync {
		return syscall.EIO
	}
	if err := f.m.step(); err != nil {
		return err
	}
	f.node.durable = slices.Clone(f.node.now)
	return nil
}

func (f *memFile) Close() error { return nil }
