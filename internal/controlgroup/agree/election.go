package agree

import agreepb "hemlockmast/api/agree"

// becomeFollower enters the follower role. A higher term clears the vote; a
// lower one is ignored.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.term = term
		n.vote = ID{}
	}
	n.refuseReads()
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.uncommittedBytes = 0
	n.resetElectionTimeout()
}

// campaign requests votes from the other voters. As PreCandidate it starts a
// pre-vote, which leaves the term and the vote unchanged; as Candidate it
// starts the election itself.
func (n *Node) campaign(role Role) {
	n.becomeFollower(n.term, ID{})
	n.role = role
	n.votes = make(map[ID]bool)
	kind := agreepb.MessageKind_MESSAGE_KIND_PRE_VOTE
	if role == Candidate {
		n.term++
		n.vote = n.cfg.Self
		kind = agreepb.MessageKind_MESSAGE_KIND_VOTE
	}
	requestTerm := n.term
	if role == PreCandidate {
		requestTerm++
	}
	for _, id := range n.voters() {
		if id == n.cfg.Self {
			continue
		}
		n.send(&agreepb.Message{
			Kind: kind, To: id.Proto(), Term: requestTerm,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(), HandedOver: n.isHandedOver,
		})
	}
	n.countVote(n.cfg.Self)
}

// countVote records a granted vote and acts on a majority: a pre-candidate
// starts the election, a candidate becomes leader.
func (n *Node) countVote(from ID) {
	n.votes[from] = true
	granted := 0
	voters := n.voters()
	for _, id := range voters {
		if n.votes[id] {
			granted++
		}
	}
	if granted < quorum(len(voters)) {
		return
	}
	if n.role == PreCandidate {
		n.campaign(Candidate)
		return
	}
	n.becomeLeader()
}

// leaderIsAlive reports whether the node received a message from a leader
// within the minimum election timeout. It is true at the leader itself, which
// steps down through its own quorum check.
func (n *Node) leaderIsAlive() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != ID{} && n.ticksSinceContact < n.cfg.ElectionTicks
}

func (n *Node) handlePreVote(m *agreepb.Message) {
	grant := m.Term > n.term && !n.leaderIsAlive() && n.log.isUpToDate(m.LogIndex, m.LogTerm)
	reply := &agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From,
		Term: m.Term, Refused: !grant,
	}
	if !grant {
		reply.Term = n.term
	}
	n.send(reply)
	if from := IDOf(m.From); n.role == Leader && n.progress[from] != nil {
		// A member that has just started learns its leader without waiting for
		// the next heartbeat.
		n.sendAppend(from, true)
	}
}

func (n *Node) handleVote(m *agreepb.Message) {
	if m.Term > n.term {
		// A removed or isolated member must not depose a leader that still
		// reaches a quorum.
		if n.leaderIsAlive() && !m.HandedOver {
			return
		}
		n.becomeFollower(m.Term, ID{})
	}
	from := IDOf(m.From)
	grant := m.Term == n.term && (n.vote == ID{} || n.vote == from) &&
		n.log.isUpToDate(m.LogIndex, m.LogTerm)
	if grant {
		n.vote = from
		n.resetElectionTimeout()
	}
	n.send(&agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From,
		Term: n.term, Refused: !grant,
	})
}

func (n *Node) handleVoteReply(m *agreepb.Message, role Role) {
	requestTerm := n.term
	if role == PreCandidate {
		requestTerm++
	}
	if m.Refused {
		if m.Term > n.term {
			n.becomeFollower(m.Term, ID{})
		}
		return
	}
	if n.role == role && m.Term == requestTerm {
		n.countVote(IDOf(m.From))
	}
}
