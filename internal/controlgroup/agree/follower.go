package agree

import agreepb "hemlockmast/api/agree"

// heardLeader brings the term up to a leader's message. It reports false when
// the message is of an earlier term; the sender is then told the newer one.
func (n *Node) heardLeader(m *agreepb.Message) bool {
	if m.Term < n.term {
		n.send(&agreepb.Message{
			Kind: agreepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From,
			Term: n.term, Refused: true,
		})
		return false
	}
	from := IDOf(m.From)
	n.quickTries = 0
	if m.Term > n.term || n.role != Follower || n.leader != from {
		n.becomeFollower(m.Term, from)
	}
	n.sinceContact = 0
	return true
}

func (n *Node) handleAppend(m *agreepb.Message) error {
	if !n.heardLeader(m) {
		return nil
	}
	reply := &agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From,
		Term: n.term, Round: m.Round,
	}
	if m.LogIndex < n.log.snapshot.Index {
		// What the snapshot covers is committed, hence equal at the leader.
		reply.LogIndex = n.log.commit
		n.send(reply)
		return nil
	}
	if !n.log.matches(m.LogIndex, m.LogTerm) {
		if m.LogIndex <= n.log.commit {
			return n.invariant(m.LogIndex)
		}
		reply.Refused = true
		reply.LogIndex = m.LogIndex
		reply.Hint = n.refusalHint(m.LogIndex)
		n.send(reply)
		return nil
	}
	if err := n.takeEntries(m.Entries); err != nil {
		return err
	}
	last := m.LogIndex + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, last))
	reply.LogIndex = last
	n.send(reply)
	return nil
}

// refusalHint returns an index at which the logs may match: the end of the
// log, or the last entry before the term that conflicts at prev.
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

// takeEntries adds a leader's entries. Entries already held are kept, so that
// a late or repeated append cannot shorten the log.
func (n *Node) takeEntries(entries []*agreepb.Entry) error {
	for i, e := range entries {
		if n.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= n.log.commit {
			return n.invariant(e.Index)
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
	if !n.heardLeader(m) {
		return
	}
	n.takeSnapshot(m.Snapshot)
	n.send(&agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From,
		Term: n.term, LogIndex: n.log.commit, Round: m.Round,
	})
}

// takeSnapshot replaces the log, unless the log already holds the snapshot's
// last entry: entries after it may have been promised and must stay.
func (n *Node) takeSnapshot(s *agreepb.Snapshot) {
	if s.GetIndex() <= n.log.commit {
		return
	}
	if n.log.matches(s.Index, s.Term) {
		n.log.commit = s.Index
		return
	}
	n.log.install(s)
	n.members = newMemberLog(n.log)
	n.installed = s
}

func (n *Node) invariant(index uint64) error {
	return &InvariantError{Self: n.cfg.Self, Index: index, Commit: n.log.commit}
}
