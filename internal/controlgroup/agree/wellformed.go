package agree

import agreepb "hemlockmast/api/agree"

// wellFormed reports whether a message could have been sent by a member. Others
// are dropped: they would break the log's invariants.
func wellFormed(m *agreepb.Message) bool {
	switch m.Kind {
	case agreepb.MessageKind_MESSAGE_KIND_APPEND:
		return entriesFollow(m.LogIndex, m.Term, m.Entries)
	case agreepb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		s := m.Snapshot
		return s.GetIndex() > 0 && s.GetTerm() <= m.Term && len(Voters(s.GetMembership())) > 0
	}
	return true
}

// entriesFollow reports whether entries have the indexes after prev, terms that
// do not fall and do not exceed term, and memberships where they need one.
func entriesFollow(prev, term uint64, entries []*agreepb.Entry) bool {
	low := uint64(0)
	for _, e := range entries {
		prev++
		if e.Index != prev || e.Term < low || e.Term > term {
			return false
		}
		low = e.Term
		membership := e.Kind == agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP
		if membership && len(Voters(e.Membership)) == 0 {
			return false
		}
	}
	return true
}
