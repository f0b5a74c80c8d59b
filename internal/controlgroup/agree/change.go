package agree

import agreepb "hemlockmast/api/agree"

// AddLearner adds a member without a vote and removes an earlier learner of the
// same name. The call is idempotent for a present member at the same address;
// with another address it updates the recorded one. A call that returns an
// error has no effect. Errors: *NotLeaderError, *NotReadyError, *ChangeError.
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
		return &ChangeError{Name: id.Name, Reason: ChangeWasRemoved}
	}
	next := withoutMembers(m, func(other *agreepb.Member) bool {
		return !other.Voter && IDOf(other.Id) != id && other.Id.Name == id.Name
	})
	next = withMember(next, newMember(id, address, present.GetVoter()))
	if len(next.Members)-len(Voters(next)) > MaxLearners {
		return &ChangeError{Name: id.Name, Reason: ChangeTooManyMembers}
	}
	return n.appendMembership(id.Name, next)
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

// minVotersToReplace is the number of voters from which a silent voter is replaced. A
// smaller group is still being founded and needs every member.
const minVotersToReplace = 3

// maybePromoteLearner takes the next step to promote a learner that holds every
// committed entry. A voter of the same name is a former incarnation whose disk
// is lost, so it is removed first; a later call makes the learner a voter.
// Likewise, the learner takes the place of a voter that has been silent for
// ReplaceSilentTicks. As an additional voter it would raise the size of a majority,
// and the group would bear no further loss.
func (n *Node) maybePromoteLearner() {
	if n.role != Leader || n.log.commit < n.termStart {
		return
	}
	current := n.members.current()
	if current.index > n.log.commit {
		return
	}
	m := current.membership
	for _, member := range m.Members {
		if member.Voter || !n.isCaughtUp(IDOf(member.Id)) {
			continue
		}
		if former := voterNamed(m, member.Id.Name); former != nil {
			_ = n.appendMembership(member.Id.Name, withoutMembers(m, func(other *agreepb.Member) bool {
				return other == former
			}))
			return
		}
		if silent := n.silentVoter(); silent != (ID{}) && n.cfg.ReplaceSilentTicks > 0 && len(Voters(m)) >= minVotersToReplace {
			n.removeIfSilentForLong(silent)
			return
		}
		if len(Voters(m)) >= MaxVoters {
			continue
		}
		_ = n.appendMembership(member.Id.Name, withMember(m, newMember(IDOf(member.Id), member.Address, true)))
		return
	}
}

// removeIfSilentForLong removes a voter that has been silent for ReplaceSilentTicks. Until
// then, a learner waits, since the voter may return.
func (n *Node) removeIfSilentForLong(id ID) {
	if n.progress[id].ticksSinceReply < n.cfg.ReplaceSilentTicks {
		return
	}
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
