package agree

import (
	"slices"

	agreepb "hemlockmast/api/agree"
)

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.Self
	n.votes = nil
	n.quickTries = 0
	n.sinceHeartbeat = 0
	n.round = 0
	n.commitMoved = false
	n.progress = make(map[ID]*progress)
	n.trackMembers()
	e := &agreepb.Entry{Kind: agreepb.EntryKind_ENTRY_KIND_TERM_START}
	n.termStart = n.appendOwn(e).Index
}

// appendOwn adds an entry of the leader's term to its log.
func (n *Node) appendOwn(e *agreepb.Entry) Proposed {
	e.Term = n.term
	e.Index = n.log.last() + 1
	n.log.append(e)
	n.members = n.members.add(e)
	return Proposed{Term: e.Term, Index: e.Index}
}

// trackMembers makes progress follow the membership in force.
func (n *Node) trackMembers() {
	m := n.members.current().membership
	for _, member := range m.Members {
		id := IDOf(member.Id)
		if n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.last() + 1}
		}
	}
	for id := range n.progress {
		if Find(m, id) == nil {
			delete(n.progress, id)
		}
	}
	n.ownProgress()
}

// ownProgress counts what is durable on the leader's own disk.
func (n *Node) ownProgress() {
	p := n.progress[n.cfg.Self]
	if p == nil {
		return
	}
	p.match = n.log.stable
	p.next = n.log.last() + 1
}

// peers returns the other members in a fixed order.
func (n *Node) peers() []ID {
	var list []ID
	for _, member := range n.members.current().membership.Members {
		if id := IDOf(member.Id); id != n.cfg.Self {
			list = append(list, id)
		}
	}
	return list
}

func (n *Node) tickLeader() {
	for id, p := range n.progress {
		if id != n.cfg.Self {
			p.silence++
		}
	}
	if !n.quorumHeard(n.voters()) {
		n.becomeFollower(n.term, ID{})
		return
	}
	n.sinceHeartbeat++
	if n.sinceHeartbeat >= n.cfg.HeartbeatTicks {
		n.sinceHeartbeat = 0
		n.heartbeat()
		n.maybeChange()
	}
}

// quorumHeard reports whether a majority of the voters answered within the
// least election wait.
func (n *Node) quorumHeard(voters []ID) bool {
	heard := 0
	for _, id := range voters {
		if p := n.progress[id]; p != nil && p.silence < n.cfg.ElectionTicks {
			heard++
		}
	}
	return heard >= quorum(len(voters))
}

// heartbeat sends an append to every peer, also to those held back.
func (n *Node) heartbeat() {
	for _, id := range n.peers() {
		p := n.progress[id]
		if p.state == restoring {
			p.sinceSnapshot++
			if p.sinceSnapshot >= n.cfg.ElectionTicks {
				p.state = probing
			}
		}
		p.paused = false
		p.inflight = 0
		n.sendAppend(id, true)
	}
}

// sendAppends sends every peer the entries it lacks, as flow control allows.
func (n *Node) sendAppends() {
	for _, id := range n.peers() {
		for n.sendAppend(id, false) {
			continue
		}
	}
}

// sendAppend sends one append, or a snapshot when the entries needed are
// compacted. An append without entries is sent only when empty is set. It
// reports whether more may be sent.
func (n *Node) sendAppend(id ID, empty bool) bool {
	p := n.progress[id]
	if p.state == restoring {
		// Keeps the member's contact with the leader; it cannot match yet.
		if empty {
			n.sendEntries(id, n.log.snapshot.Index, nil)
		}
		return false
	}
	if p.paused || p.inflight >= maxInflightAppends {
		return false
	}
	if p.next <= n.log.snapshot.Index {
		n.sendSnapshot(id, p)
		return false
	}
	entries := n.log.from(p.next, maxAppendBytes)
	if len(entries) == 0 && !empty {
		return false
	}
	n.sendEntries(id, p.next-1, entries)
	if p.state == probing {
		p.paused = true
		return false
	}
	p.next += uint64(len(entries))
	p.inflight++
	return len(entries) > 0
}

func (n *Node) sendEntries(id ID, prev uint64, entries []*agreepb.Entry) {
	term, _ := n.log.term(prev)
	n.send(&agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_APPEND, To: id.Proto(), Term: n.term,
		LogIndex: prev, LogTerm: term, Entries: entries,
		Commit: n.log.commit, Round: n.round,
	})
}

func (n *Node) sendSnapshot(id ID, p *progress) {
	p.state = restoring
	p.sinceSnapshot = 0
	p.next = n.log.snapshot.Index + 1
	n.send(&agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id.Proto(), Term: n.term,
		Commit: n.log.commit, Round: n.round, Snapshot: n.log.snapshot,
	})
}

func (n *Node) handleAppendReply(m *agreepb.Message) {
	if m.Term > n.term {
		n.becomeFollower(m.Term, ID{})
		return
	}
	p := n.progress[IDOf(m.From)]
	if n.role != Leader || m.Term < n.term || p == nil || m.LogIndex > n.log.last() {
		return
	}
	p.silence = 0
	p.round = max(p.round, m.Round)
	n.confirmReads()
	if m.Refused {
		p.refused(m.LogIndex, m.Hint)
		return
	}
	p.accepted(m.LogIndex)
	n.maybeCommit()
	n.maybeChange()
}

// maybeCommit advances the commit index to what a majority of voters holds.
// Only an entry of the leader's own term is counted; earlier ones follow it.
func (n *Node) maybeCommit() {
	voters := n.voters()
	if len(voters) == 0 {
		return
	}
	var held []uint64
	for _, id := range voters {
		held = append(held, n.progress[id].match)
	}
	slices.Sort(held)
	index := held[len(held)-quorum(len(held))]
	term, ok := n.log.term(index)
	if !ok || index <= n.log.commit || term != n.term {
		return
	}
	for _, e := range n.log.from(n.log.commit+1, maxReadyBytes)[:index-n.log.commit] {
		n.uncommittedBytes = max(0, n.uncommittedBytes-len(e.Command))
	}
	n.log.commit = index
	n.commitMoved = true
	n.confirmReads()
	// A leader that was removed leaves once its removal is committed.
	if p := n.members.current(); p.index <= index && !n.isVoter() {
		n.becomeFollower(n.term, ID{})
	}
}
