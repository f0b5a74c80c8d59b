package agree

import (
	"slices"

	agreepb "hemlockmast/api/agree"
)

// AddLearner adds a member without a vote and removes an earlier learner of the
// same name and learners that have been silent for ReplaceSilentTicks. The call is
// idempotent for a present member at the same address; with another address it
// updates the recorded one. A call that returns an error has no effect. Errors:
// *NotLeaderError, *NotReadyError, *ChangeError.
func (n *Node) AddLearner(id ID, address string) error {
	if n.role != Leader {
		return n.notLeader()
	}
	m := n.members.current().membership
	present := Find(m, id)
	if present != nil && present.Address == address {
		return nil
	}
	if wasRemoved(m, id) {
		return &ChangeError{Name: id.Name, Reason: n.removalReason(id)}
	}
	next := withoutMembers(m, func(other *agreepb.Member) bool {
		isObsolete := other.Id.Name == id.Name || n.isSilentForLong(IDOf(other.Id))
		return !other.Voter && IDOf(other.Id) != id && isObsolete
	})
	next = withMember(next, newMember(id, address, present.GetVoter()))
	if len(next.Members)-len(Voters(next)) > MaxLearners {
		return &ChangeError{Name: id.Name, Reason: ChangeTooManyMembers}
	}
	return n.appendMembership(id.Name, next)
}

// removalReason returns why a removed member is refused. A removal that is not committed
// may still be undone. A member whose name has another incarnation must not replace it.
func (n *Node) removalReason(id ID) ChangeReason {
	if !wasRemoved(n.members.at(n.log.commit), id) {
		return ChangeInProgress
	}
	for _, member := range n.members.current().membership.Members {
		if member.Id.Name == id.Name {
			return ChangeWasRemoved
		}
	}
	return ChangeMayRejoin
}

// Remove removes all learners of this name and at most one voter; further
// voters of the name need further calls. A call that returns an error has no
// effect. Errors: *NotLeaderError, *NotReadyError, *ChangeError.
func (n *Node) Remove(name string) error {
	if n.role != Leader {
		return n.notLeader()
	}
	m := n.members.current().membership
	removedVoter := false
	next := withoutMembers(m, func(member *agreepb.Member) bool {
		if member.Id.Name != name || member.Voter && removedVoter {
			return false
		}
		removedVoter = removedVoter || member.Voter
		return true
	})
	if len(next.Members) == len(m.Members) {
		return &ChangeError{Name: name, Reason: ChangeNoSuchMember}
	}
	if len(Voters(next)) == 0 {
		return &ChangeError{Name: name, Reason: ChangeLastVoter}
	}
	return n.appendMembership(name, next)
}

// appendMembership appends a membership that differs from the current one in at
// most one voter, so that any majority of the one shares a voter with any
// majority of the other. This is safe only if the current membership is
// committed and the leader has committed an entry of its own term, so the
// method checks both.
func (n *Node) appendMembership(name string, m *agreepb.Membership) error {
	if n.log.commit < n.termStart {
		return &NotReadyError{Term: n.term}
	}
	if n.members.current().index > n.log.commit {
		return &ChangeError{Name: name, Reason: ChangeInProgress}
	}
	if len(Voters(m)) < len(n.voters()) && !n.quorumActive(Voters(m)) {
		return &ChangeError{Name: name, Reason: ChangeLosesQuorum}
	}
	n.appendLeaderEntry(&agreepb.Entry{
		Kind: agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Membership: m,
	})
	n.syncProgress()
	return nil
}

// minVotersToReplace is the number of voters from which a silent voter is replaced, and to
// which silence alone may reduce a group. A smaller group is still being founded and needs
// every member.
const minVotersToReplace = 3

// maybeChangeVoters takes the next step towards the voters that bear the most losses. Each
// step waits until the previous one is committed.
//
// A voter of the same name as a learner that has caught up is a former incarnation whose
// disk is lost: it is removed, and a later call makes the learner a voter. A learner also
// takes the place of a voter that is about to stop or has been silent for ReplaceSilentTicks:
// it becomes a voter, and a later call takes the other one's vote. In this order no step needs a voter whose disk is
// lost meanwhile, as the removal of a voter from a group of three would.
func (n *Node) maybeChangeVoters() {
	if n.role != Leader || n.log.commit < n.termStart {
		return
	}
	current := n.members.current()
	if current.index > n.log.commit {
		return
	}
	learners := n.caughtUpLearners()
	for _, learner := range learners {
		if former := voterNamed(current.membership, learner.Id.Name); former != nil {
			n.removeMember(IDOf(former.Id))
			return
		}
	}
	if n.replaceRetiringVoter(learners) {
		return
	}
	if len(learners) > 0 && n.hasRoomFor(len(learners)) {
		n.setVoter(IDOf(learners[0].Id), true)
		return
	}
	n.maybeRemoveSilentVoter(len(learners) > 0)
}

// caughtUpLearners returns the learners that hold every committed entry and are not about to
// stop.
func (n *Node) caughtUpLearners() []*agreepb.Member {
	var list []*agreepb.Member
	for _, member := range n.members.current().membership.Members {
		if id := IDOf(member.Id); !member.Voter && n.isCaughtUp(id) && n.retiring[id] == 0 {
			list = append(list, member)
		}
	}
	return list
}

// hasRoomFor reports whether one of the given number of learners may become an additional
// voter. An even number of voters bears no more losses than the odd number below, and none
// more once a voter is gone: a group of three or more grows only by two, or if a silent
// voter is to be removed next.
func (n *Node) hasRoomFor(learners int) bool {
	voters := len(n.voters())
	switch {
	case voters >= MaxVoters:
		return false
	case voters < minVotersToReplace || voters%2 == 0 || n.cfg.ReplaceSilentTicks == 0:
		return true
	}
	silent := n.silentVoter()
	return n.isSilentForLong(silent) || learners > 1 && silent == ID{}
}

// maybeRemoveSilentVoter removes the voter that has been silent for the longest time, if
// that is at least ReplaceSilentTicks and either the group bears as many losses without it,
// or more, or the group has its greatest size and a learner waits. The rest must bear a loss
// at once: a voter that loses its disk at this moment could otherwise stop it for good,
// although the silent one may return with its disk.
func (n *Node) maybeRemoveSilentVoter(learnerWaits bool) {
	silent := 0
	for _, id := range n.voters() {
		if n.isSilentForLong(id) {
			silent++
		}
	}
	voters := len(n.voters())
	if silent == 0 || voters <= minVotersToReplace {
		return
	}
	bearsAsManyWithout := voters%2 == 0 || silent > 1
	if !bearsAsManyWithout && !(learnerWaits && voters >= MaxVoters) {
		return
	}
	id := n.silentVoter()
	rest := slices.DeleteFunc(n.voters(), func(other ID) bool { return other == id })
	if n.countActive(rest) > quorum(len(rest)) {
		n.removeMember(id)
	}
}

// isSilentForLong reports whether a member has not replied for ReplaceSilentTicks.
func (n *Node) isSilentForLong(id ID) bool {
	p := n.progress[id]
	return n.cfg.ReplaceSilentTicks > 0 && id != n.cfg.Self && p != nil && p.ticksSinceReply >= n.cfg.ReplaceSilentTicks
}

// removeMember removes a member. An error means that the step is not possible now; it is
// tried again.
func (n *Node) removeMember(id ID) {
	_ = n.appendMembership(id.Name, withoutMembers(n.members.current().membership, func(m *agreepb.Member) bool {
		return IDOf(m.Id) == id
	}))
}

// silentVoter returns the voter that has not replied for the longest time, among those
// that missed a heartbeat or have not replied to this leader at all; the zero ID if
// there is none.
func (n *Node) silentVoter() ID {
	var silent ID
	longest := -1
	for _, id := range n.voters() {
		p := n.progress[id]
		if id == n.cfg.Self || p == nil || p.hasReplied && p.ticksSinceReply < 2*n.cfg.HeartbeatTicks {
			continue
		}
		if p.ticksSinceReply > longest {
			silent, longest = id, p.ticksSinceReply
		}
	}
	return silent
}

// isCaughtUp reports whether a member answered recently and holds every
// committed entry.
func (n *Node) isCaughtUp(id ID) bool {
	p := n.progress[id]
	return p != nil && p.ticksSinceReply < n.cfg.ElectionTicks && p.state == streaming && p.match >= n.log.commit
}

func voterNamed(m *agreepb.Membership, name string) *agreepb.Member {
	for _, member := range m.Members {
		if member.Voter && member.Id.Name == name {
			return member
		}
	}
	return nil
}
