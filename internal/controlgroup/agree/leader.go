package agree

import (
	"slices"

	agreepb "hemlockmast/api/agree"
)

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.Self
	n.votes = nil
	n.fastElectionsLeft = 0
	n.ticksSinceHeartbeat = 0
	n.readRound = 0
	n.commitAdvanced = false
	n.progress = make(map[ID]*progress)
	n.retiring = make(map[ID]int)
	n.syncProgress()
	e := &agreepb.Entry{Kind: agreepb.EntryKind_ENTRY_KIND_TERM_START}
	n.termStart = n.appendLeaderEntry(e).Index
}

// appendLeaderEntry sets the term and index of a new entry and appends it to the
// leader's log.
func (n *Node) appendLeaderEntry(e *agreepb.Entry) LogPosition {
	e.Term = n.term
	e.Index = n.log.last() + 1
	n.log.append(e)
	n.members = n.members.add(e)
	return LogPosition{Term: e.Term, Index: e.Index}
}

// syncProgress adds and removes progress records so that they match the
// membership in force.
func (n *Node) syncProgress() {
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
	n.updateOwnProgress()
}

// updateOwnProgress sets the leader's own match index to its last durable entry.
func (n *Node) updateOwnProgress() {
	p := n.progress[n.cfg.Self]
	if p == nil {
		return
	}
	p.match = n.log.stable
	p.next = n.log.last() + 1
}

// peers returns the other members, learners included, in membership order.
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
			p.ticksSinceReply++
		}
	}
	if !n.quorumActive(n.voters()) {
		n.becomeFollower(n.term, ID{})
		return
	}
	n.tickRetiring()
	n.ticksSinceHeartbeat++
	if n.ticksSinceHeartbeat >= n.cfg.HeartbeatTicks {
		n.ticksSinceHeartbeat = 0
		n.heartbeat()
		n.maybeChangeVoters()
	}
}

// quorumActive reports whether a majority of the voters replied within the
// minimum election timeout.
func (n *Node) quorumActive(voters []ID) bool {
	return n.countActive(voters) >= quorum(len(voters))
}

// countActive returns how many of the voters replied within the minimum election timeout.
func (n *Node) countActive(voters []ID) int {
	heard := 0
	for _, id := range voters {
		if p := n.progress[id]; p != nil && p.ticksSinceReply < n.cfg.ElectionTicks {
			heard++
		}
	}
	return heard
}

// heartbeat sends an append to every peer, including those that flow control
// has paused.
func (n *Node) heartbeat() {
	for _, id := range n.peers() {
		p := n.progress[id]
		if p.state == restoring {
			p.heartbeatsSinceSnapshot++
			if p.heartbeatsSinceSnapshot >= n.cfg.ElectionTicks {
				p.state = probing
			}
		}
		p.paused = false
		p.inflight = 0
		n.sendAppend(id, true)
	}
}

// sendAppends sends every peer the entries it lacks, within its flow control.
func (n *Node) sendAppends() {
	for _, id := range n.peers() {
		for n.sendAppend(id, false) {
			continue
		}
	}
}

// sendAppend sends one append, or a snapshot if the entries needed are compacted.
// It sends an append without entries only if empty is set. It reports whether
// the caller may send more.
func (n *Node) sendAppend(id ID, empty bool) bool {
	p := n.progress[id]
	if p.state == restoring {
		// The append cannot match yet; it only keeps the member from starting
		// an election.
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
	entries := n.log.entriesFrom(p.next, maxAppendBytes)
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
		Commit: n.log.commit, Round: n.readRound,
	})
}

func (n *Node) sendSnapshot(id ID, p *progress) {
	p.state = restoring
	p.heartbeatsSinceSnapshot = 0
	p.next = n.log.snapshot.Index + 1
	n.send(&agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id.Proto(), Term: n.term,
		Commit: n.log.commit, Round: n.readRound, Snapshot: n.log.snapshot,
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
	p.ticksSinceReply = 0
	p.hasReplied = true
	p.readRound = max(p.readRound, m.Round)
	n.confirmReads()
	if m.Refused {
		p.recordRefused(m.LogIndex, m.Hint)
		return
	}
	p.recordAccepted(m.LogIndex)
	n.maybeCommit()
	n.maybeChangeVoters()
}

// maybeCommit advances the commit index to the last entry that a majority of
// voters holds, if that entry is of the leader's own term. Entries of earlier
// terms are committed only together with one of the leader's term.
func (n *Node) maybeCommit() {
	voters := n.voters()
	if len(voters) == 0 {
		return
	}
	var matches []uint64
	for _, id := range voters {
		matches = append(matches, n.progress[id].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-quorum(len(matches))]
	term, ok := n.log.term(index)
	if !ok || index <= n.log.commit || term != n.term {
		return
	}
	for _, e := range n.log.entriesFrom(n.log.commit+1, maxReadyBytes)[:index-n.log.commit] {
		n.uncommittedBytes = max(0, n.uncommittedBytes-len(e.Command))
	}
	n.log.commit = index
	n.commitAdvanced = true
	n.confirmReads()
	// A leader without a vote steps down once that is committed.
	if p := n.members.current(); p.index <= index && !n.isVoter() && !n.HandOver() {
		n.becomeFollower(n.term, ID{})
	}
}
