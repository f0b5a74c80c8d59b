package configstate

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
)

// maxRemovals bounds the removed names that a table remembers.
const maxRemovals = 4096

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
	// removed holds the revision that removed a name.
	removed map[string]uint64
}

func newTable[T entry]() table[T] {
	return table[T]{
		entries: make(map[string]versioned[T]),
		removed: make(map[string]uint64),
	}
}

func (t *table[T]) set(value T, revision uint64) {
	t.entries[value.GetName()] = versioned[T]{revision: revision, value: value}
	delete(t.removed, value.GetName())
}

// remove records the removal of a name that the table does not hold as well:
// a follower of this one may hold it from a revision that this one skipped.
func (t *table[T]) remove(name string, revision uint64) {
	delete(t.entries, name)
	t.removed[name] = revision
}

// differs reports whether values are other entries than the table's.
func (t *table[T]) differs(values []T) bool {
	if len(values) != len(t.entries) {
		return true
	}
	for _, value := range values {
		if !t.holds(value) {
			return true
		}
	}
	return false
}

func (t *table[T]) holds(value T) bool {
	old, ok := t.entries[value.GetName()]
	return ok && proto.Equal(old.value, value)
}

// replace makes values the table's entries. Equal entries keep their revision.
func (t *table[T]) replace(values []T, revision uint64) {
	kept := make(map[string]bool, len(values))
	for _, value := range values {
		kept[value.GetName()] = true
		if !t.holds(value) {
			t.set(value, revision)
		}
	}
	for name := range t.entries {
		if !kept[name] {
			t.remove(name, revision)
		}
	}
}

// trim forgets the oldest removals above the bound. It returns the latest
// revision of a forgotten one, or 0.
func (t *table[T]) trim() uint64 {
	excess := len(t.removed) - maxRemovals
	if excess <= 0 {
		return 0
	}
	revisions := slices.Sorted(maps.Values(t.removed))
	latest := revisions[excess-1]
	maps.DeleteFunc(t.removed, func(_ string, revision uint64) bool {
		return revision <= latest
	})
	return latest
}

// values returns all entries, sorted by name.
func (t *table[T]) values() []T { return t.changed(0) }

// changed returns the entries that changed after revision, sorted by name.
func (t *table[T]) changed(revision uint64) []T {
	var values []T
	for _, v := range t.entries {
		if v.revision > revision {
			values = append(values, v.value)
		}
	}
	slices.SortFunc(values, func(a, b T) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return values
}

// removals returns the names removed after revision, sorted.
func (t *table[T]) removals(revision uint64) []string {
	var names []string
	for name, at := range t.removed {
		if at > revision {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
