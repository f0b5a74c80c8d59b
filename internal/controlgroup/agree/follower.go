package agree

import agreepb "hemlockmast/api/agree"

// observeLeader makes the node a follower of a message's sender in the message's
// term. For a message of an earlier term it replies with the current term and
// reports false.
func (n *Node) observeLeader(m *agreepb.Message) bool {
	if m.Term < n.term {
		n.send(&agreepb.Message{
			Kind: agreepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From,
			Term: n.term, Refused: true,
		})
		return false
	}
	from := IDOf(m.From)
	n.fastElectionsLeft = 0
	if m.Term > n.term || n.role != Follower || n.leader != from {
		n.becomeFollower(m.Term, from)
	}
	n.ticksSinceContact = 0
	return true
}

func (n *Node) handleAppend(m *agreepb.Message) error {
	if !n.observeLeader(m) {
		return nil
	}
	reply := &agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From,
		Term: n.term, Round: m.Round,
	}
	if m.LogIndex < n.log.snapshot.Index {
		// The snapshot covers only committed entries, which the leader holds too.
		reply.LogIndex = n.log.commit
		n.send(reply)
		return nil
	}
	if !n.log.matches(m.LogIndex, m.LogTerm) {
		if m.LogIndex <= n.log.commit {
			return n.invariantViolation(m.LogIndex)
		}
		reply.Refused = true
		reply.LogIndex = m.LogIndex
		reply.Hint = n.refusalHint(m.LogIndex)
		n.send(reply)
		return nil
	}
	if err := n.appendMissing(m.Entries); err != nil {
		return err
	}
	last := m.LogIndex + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, last))
	reply.LogIndex = last
	n.send(reply)
	return nil
}

// refusalHint returns an index at which the logs may match: the end of the log,
// or the last entry before those of the term that conflicts at prev.
func (n *Node) refusalHint(prev uint64) uint64 {
	term, ok := n.log.term(prev)
	if !ok {
		return n.log.last()
	}
	hint := prev - 1
	for hint > n.log.commit {
		t, _ := n.log.term(hint)
		if t != term {
			break
		}
		hint--
	}
	return hint
}

// appendMissing appends the leader's entries that the log lacks. It keeps entries
// already in the log, so that a delayed or duplicate append cannot shorten it.
func (n *Node) appendMissing(entries []*agreepb.Entry) error {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.commit {
			return n.invariantViolation(e.Index)
		}
		if e.Index <= n.log.last() {
			n.log.truncate(e.Index)
			n.members = n.members.truncate(e.Index)
		}
		for _, added := range entries[i:] {
			n.log.append(added)
			n.members = n.members.add(added)
		}
		return nil
	}
	return nil
}

func (n *Node) handleSnapshot(m *agreepb.Message) {
	if !n.observeLeader(m) {
		return
	}
	n.installSnapshot(m.Snapshot)
	n.send(&agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From,
		Term: n.term, LogIndex: n.log.commit, Round: m.Round,
	})
}

// installSnapshot replaces the log by the snapshot. If the log already holds the
// snapshot's last entry, it only advances the commit index: later entries may
// have been acknowledged and must stay.
func (n *Node) installSnapshot(s *agreepb.Snapshot) {
	if s.GetIndex() <= n.log.commit {
		return
	}
	if n.log.matches(s.Index, s.Term) {
		n.log.commit = s.Index
		return
	}
	n.log.install(s)
	n.members = newMembershipHistory(n.log)
	n.pendingSnapshot = s
}

func (n *Node) invariantViolation(index uint64) error {
	return &InvariantError{Self: n.cfg.Self, Index: index, Commit: n.log.commit}
}
