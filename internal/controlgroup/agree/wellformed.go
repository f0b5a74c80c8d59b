package agree

import agreepb "hemlockmast/api/agree"

// wellFormed reports whether a correct member could have sent the message. Other
// messages are dropped, because they would break the log's invariants.
func wellFormed(m *agreepb.Message) bool {
	switch m.Kind {
	case agreepb.MessageKind_MESSAGE_KIND_APPEND:
		return entriesWellFormed(m.LogIndex, m.Term, m.Entries)
	case agreepb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		s := m.Snapshot
		return s.GetIndex() > 0 && s.GetTerm() <= m.Term && len(Voters(s.GetMembership())) > 0
	}
	return true
}

// entriesWellFormed reports whether the entries' indexes are contiguous after
// prev, their terms neither decrease nor exceed term, and every membership entry
// has at least one voter.
func entriesWellFormed(prev, term uint64, entries []*agreepb.Entry) bool {
	prevTerm := uint64(0)
	for _, e := range entries {
		prev++
		if e.Index != prev || e.Term < prevTerm || e.Term > term {
			return false
		}
		prevTerm = e.Term
		membership := e.Kind == agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP
		if membership && len(Voters(e.Membership)) == 0 {
			return false
		}
	}
	return true
}
