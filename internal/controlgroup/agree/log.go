package agree

import agreepb "hemlockmast/api/agree"

// entryLog holds the snapshot and the entries after it. Invariants: entries[i]
// has index snapshot.Index+1+i; snapshot.Index <= applied <= commit <= last.
type entryLog struct {
	snapshot *agreepb.Snapshot
	entries  []*agreepb.Entry
	commit   uint64
	applied  uint64
	// stable is the last index known to be durable.
	stable uint64
}

func newEntryLog(st State) (*entryLog, error) {
	l := &entryLog{snapshot: st.Snapshot, entries: st.Entries}
	if l.snapshot == nil {
		l.snapshot = &agreepb.Snapshot{}
	}
	for i, e := range l.entries {
		want := l.snapshot.Index + 1 + uint64(i)
		if e.Index != want {
			return nil, &StateError{Index: e.Index, Expected: want}
		}
	}
	l.applied = l.snapshot.Index
	l.stable = l.last()
	l.commit = max(l.snapshot.Index, min(st.HardState.GetCommit(), l.last()))
	return l, nil
}

func (l *entryLog) last() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; ok is false if the entry is
// compacted or does not exist.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// matches reports whether the log holds the entry (index, term).
func (l *entryLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// from returns the entries from index on, up to maxBytes of commands but
// at least one entry. The caller must not modify them.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []*agreepb.Entry {
	if index <= l.snapshot.Index || index > l.last() {
		return nil
	}
	rest := l.entries[index-l.snapshot.Index-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Command)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// append adds entries, the first of which must have index last()+1.
func (l *entryLog) append(entries ...*agreepb.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops every entry from index on. Slices returned earlier stay valid:
// the capacity is cut, so the next append copies the entries.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.snapshot.Index - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// isUpToDate reports whether a log that ends at (index, term) is at least as
// up to date as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// install replaces the whole log by a snapshot.
func (l *entryLog) install(s *agreepb.Snapshot) {
	l.snapshot = s
	l.entries = nil
	l.commit = s.Index
	l.applied = s.Index
	l.stable = s.Index
}

// compact drops the entries up to the snapshot's index, which must be applied.
func (l *entryLog) compact(s *agreepb.Snapshot) {
	rest := l.entries[s.Index-l.snapshot.Index:]
	l.entries = append([]*agreepb.Entry(nil), rest...)
	l.snapshot = s
}

// committed returns the entries that are committed but not applied, up to
// maxBytes of commands but at least one entry if there is any.
func (l *entryLog) committed(maxBytes int) []*agreepb.Entry {
	if l.applied >= l.commit {
		return nil
	}
	list := l.entriesFrom(l.applied+1, maxBytes)
	return list[:min(uint64(len(list)), l.commit-l.applied)]
}
