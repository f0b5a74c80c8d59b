package agree

import agreepb "hemlockmast/api/agree"

// becomeFollower enters the follower role. Raising the term clears the vote.
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
	n.drawElectionWait()
}

// campaign starts a pre-vote, which leaves term and vote alone, or a vote.
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
	asked := n.term
	if role == PreCandidate {
		asked++
	}
	for _, id := range n.voters() {
		if id == n.cfg.Self {
			continue
		}
		n.send(&agreepb.Message{
			Kind: kind, To: id.Proto(), Term: asked,
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
	n.countVote(n.cfg.Self)
}

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

// leaderIsAlive reports that a leader was heard within the least election
// wait. A leader itself counts as alive: it steps down by its quorum check.
func (n *Node) leaderIsAlive() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != ID{} && n.sinceContact < n.cfg.ElectionTicks
}

func (n *Node) handlePreVote(m *agreepb.Message) {
	grant := m.Term > n.term && !n.leaderIsAlive() && n.log.atLeast(m.LogIndex, m.LogTerm)
	reply := &agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From,
		Term: m.Term, Refused: !grant,
	}
	if !grant {
		reply.Term = n.term
	}
	n.send(reply)
	if from := IDOf(m.From); n.role == Leader && n.progress[from] != nil {
		// A member that has just started hears of its leader before the next heartbeat.
		n.sendAppend(from, true)
	}
}

func (n *Node) handleVote(m *agreepb.Message) {
	if m.Term > n.term {
		// A member that was removed, or cut off, must not unseat a leader that
		// a quorum hears.
		if n.leaderIsAlive() {
			return
		}
		n.becomeFollower(m.Term, ID{})
	}
	from := IDOf(m.From)
	grant := m.Term == n.term && (n.vote == ID{} || n.vote == from) &&
		n.log.atLeast(m.LogIndex, m.LogTerm)
	if grant {
		n.vote = from
		n.drawElectionWait()
	}
	n.send(&agreepb.Message{
		Kind: agreepb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From,
		Term: n.term, Refused: !grant,
	})
}

func (n *Node) handleVoteReply(m *agreepb.Message, role Role) {
	asked := n.term
	if role == PreCandidate {
		asked++
	}
	if m.Refused {
		if m.Term > n.term {
			n.becomeFollower(m.Term, ID{})
		}
		return
	}
	if n.role == role && m.Term == asked {
		n.countVote(IDOf(m.From))
	}
}
