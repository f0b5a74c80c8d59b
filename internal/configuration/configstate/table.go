package configstate

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
)

// maxTombstones bounds the tombstones that a table keeps.
const maxTombstones = 4096

// entry is a message with a unique name.
type entry interface {
	proto.Message
	comparable
	GetName() string
}

// versioned is an entry and the revision that last changed it.
type versioned[T entry] struct {
	revision uint64
	value    T
}

// table holds the entries of one kind by name.
type table[T entry] struct {
	entries map[string]versioned[T]
	// tombstones holds, by name, the revision that removed an entry.
	tombstones map[string]uint64
}

func newTable[T entry]() table[T] {
	return table[T]{
		entries:    make(map[string]versioned[T]),
		tombstones: make(map[string]uint64),
	}
}

func (t *table[T]) set(value T, revision uint64) {
	t.entries[value.GetName()] = versioned[T]{revision: revision, value: value}
	delete(t.tombstones, value.GetName())
}

// remove deletes the entry and leaves a tombstone. It leaves one even when the
// table holds no such entry: a follower of this table may hold the entry from a
// revision that this table skipped.
func (t *table[T]) remove(name string, revision uint64) {
	delete(t.entries, name)
	t.tombstones[name] = revision
}

// differsFrom reports whether the table's entries differ from values.
func (t *table[T]) differsFrom(values []T) bool {
	if len(values) != len(t.entries) {
		return true
	}
	for _, value := range values {
		if !t.hasEqual(value) {
			return true
		}
	}
	return false
}

// hasEqual reports whether the table holds an entry that is equal to value.
func (t *table[T]) hasEqual(value T) bool {
	old, ok := t.entries[value.GetName()]
	return ok && proto.Equal(old.value, value)
}

// replace makes values the table's entries and gives the given revision to each
// entry that is new, changed or removed. Equal entries keep their revision.
func (t *table[T]) replace(values []T, revision uint64) {
	kept := make(map[string]bool, len(values))
	for _, value := range values {
		kept[value.GetName()] = true
		if !t.hasEqual(value) {
			t.set(value, revision)
		}
	}
	for name := range t.entries {
		if !kept[name] {
			t.remove(name, revision)
		}
	}
}

// pruneTombstones drops the oldest tombstones above maxTombstones. It returns
// the highest revision of a dropped one, or 0.
func (t *table[T]) pruneTombstones() uint64 {
	excess := len(t.tombstones) - maxTombstones
	if excess <= 0 {
		return 0
	}
	revisions := slices.Sorted(maps.Values(t.tombstones))
	latest := revisions[excess-1]
	maps.DeleteFunc(t.tombstones, func(_ string, revision uint64) bool {
		return revision <= latest
	})
	return latest
}

// values returns all entries, sorted by name.
func (t *table[T]) values() []T { return t.changedAfter(0) }

// changedAfter returns the entries that changed after revision, sorted by name.
func (t *table[T]) changedAfter(revision uint64) []T {
	var values []T
	for _, v := range t.entries {
		if v.revision > revision {
			values = append(values, v.value)
		}
	}
	slices.SortFunc(values, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return values
}

// removedAfter returns the sorted names of the entries removed after revision.
func (t *table[T]) removedAfter(revision uint64) []string {
	var names []string
	for name, at := range t.tombstones {
		if at > revision {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
