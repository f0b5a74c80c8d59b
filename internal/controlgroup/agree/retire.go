package agree

import (
	"slices"

	agreepb "hemlockmast/api/agree"
)

// Retirement says how far the leader is with giving away the place of a member that is about
// to stop.
type Retirement uint8

// States of a retirement.
const (
	// RetirementDone means that the member has no vote, and that this is committed.
	RetirementDone Retirement = iota
	// RetirementInProgress means that a learner is about to take the member's place.
	RetirementInProgress
	// RetirementWithoutSuccessor means that there is no such learner: the member keeps its
	// vote.
	RetirementWithoutSuccessor
)

// Retire gives the place of a voter that is about to stop to a learner, so that the group bears
// as many losses afterwards. The voter stays a member, as a learner. The leader forgets the
// call after ElectionTicks, so it must be repeated until it is done. Errors: *NotLeaderError.
func (n *Node) Retire(id ID) (Retirement, error) {
	if n.role != Leader {
		return RetirementWithoutSuccessor, n.notLeader()
	}
	n.retiring[id] = n.cfg.ElectionTicks
	n.maybeChangeVoters()
	isVoter := Find(n.members.current().membership, id).GetVoter()
	isCommitted := n.members.current().index <= n.log.commit
	switch {
	case !isVoter && isCommitted:
		return RetirementDone, nil
	case !isVoter || !isCommitted || n.log.commit < n.termStart || n.hasSuccessor():
		return RetirementInProgress, nil
	}
	return RetirementWithoutSuccessor, nil
}

// hasSuccessor reports whether a learner may take the place of a retiring voter, or has become
// a voter for that already. A learner that retired may have started again by now.
func (n *Node) hasSuccessor() bool {
	if n.cfg.ReplaceSilentTicks == 0 {
		return false
	}
	voters := len(n.voters())
	if voters%2 == 0 && voters > minVotersToReplace {
		return true
	}
	return voters >= minVotersToReplace && slices.ContainsFunc(n.members.current().membership.Members, func(m *agreepb.Member) bool {
		return !m.Voter && n.isActive(IDOf(m.Id))
	})
}

// isActive reports whether a member replied within the minimum election timeout.
func (n *Node) isActive(id ID) bool {
	p := n.progress[id]
	return p != nil && p.hasReplied && p.ticksSinceReply < n.cfg.ElectionTicks
}

// tickRetiring forgets members that no longer ask to retire.
func (n *Node) tickRetiring() {
	for id := range n.retiring {
		if n.retiring[id]--; n.retiring[id] <= 0 {
			delete(n.retiring, id)
		}
	}
}

// replaceRetiringVoter takes the next step to give the place of a retiring voter to one of the
// learners that have caught up, and reports whether there was one to take. The learner becomes
// a voter first, as in maybeChangeVoters, unless the group has its greatest size.
func (n *Node) replaceRetiringVoter(learners []*agreepb.Member) bool {
	voters := n.voters()
	i := slices.IndexFunc(voters, func(id ID) bool { return n.retiring[id] > 0 })
	isEven := len(voters)%2 == 0
	switch {
	case i < 0 || n.cfg.ReplaceSilentTicks == 0 || len(voters) < minVotersToReplace:
		return false
	case isEven && n.isSilentForLong(n.silentVoter()):
		// The silent voter is removed instead.
		return false
	case isEven || len(voters) >= MaxVoters && len(learners) > 0:
		n.setVoter(voters[i], false)
		return true
	case len(learners) > 0 && len(voters) < MaxVoters:
		n.setVoter(IDOf(learners[0].Id), true)
		return true
	}
	return false
}

// setVoter gives a member a vote, or takes it away. If the step is not possible now, it is
// tried again.
func (n *Node) setVoter(id ID, isVoter bool) {
	m := n.members.current().membership
	_ = n.appendMembership(id.Name, withMember(m, newMember(id, Find(m, id).Address, isVoter)))
}

// HandOver makes the leader a follower and asks the most up-to-date voter to start an election
// at once. It returns false, without effect, if this node does not lead, an entry is not
// committed yet, or no other voter that replied recently holds every entry.
func (n *Node) HandOver() bool {
	if n.role != Leader || n.log.commit < n.log.last() {
		return false
	}
	for _, id := range n.voters() {
		if id != n.cfg.Self && n.isActive(id) && n.progress[id].match == n.log.last() {
			n.send(&agreepb.Message{Kind: agreepb.MessageKind_MESSAGE_KIND_HAND_OVER, To: id.Proto(), Term: n.term})
			n.becomeFollower(n.term, ID{})
			return true
		}
	}
	return false
}

// handleHandOver starts an election if the message comes from the leader that this node
// follows.
func (n *Node) handleHandOver(m *agreepb.Message) {
	if n.role == Follower && m.Term == n.term && IDOf(m.From) == n.leader && n.isVoter() {
		n.isHandedOver = true
		n.campaign(Candidate)
		n.isHandedOver = false
	}
}
