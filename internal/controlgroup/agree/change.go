package agree

import agreepb "hemlockmast/api/agree"

// AddLearner takes a member in without a vote, in place of an earlier learner
// of the same name. Repeating the call for a present member at the same
// address is accepted without effect; at another address it records the
// address. Errors, each without effect: *NotLeaderError, *NotReadyError,
// *ChangeError.
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
	next := without(m, func(other *agreepb.Member) bool {
		return !other.Voter && IDOf(other.Id) != id && other.Id.Name == id.Name
	})
	next = with(next, newMember(id, address, present.GetVoter()))
	if len(next.Members)-len(Voters(next)) > MaxLearners {
		return &ChangeError{Name: id.Name, Reason: ChangeTooManyMembers}
	}
	return n.change(id.Name, next)
}

// Remove takes every member of this name out, one voter at a time. Errors,
// each without effect: *NotLeaderError, *NotReadyError, *ChangeError.
func (n *Node) Remove(name string) error {
	if n.role != Leader {
		return n.notLeader()
	}
	m := n.members.current().membership
	removedVoter := false
	next := without(m, func(member *agreepb.Member) bool {
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
	return n.change(name, next)
}

// change writes a membership that differs from the present one in at most one
// voter. Two memberships in a row then always share a voter in any two
// majorities, provided that the one before is committed, and that the leader
// has committed an entry of its own term.
func (n *Node) change(name string, m *agreepb.Membership) error {
	if n.log.commit < n.termStart {
		return &NotReadyError{Term: n.term}
	}
	if n.members.current().index > n.log.commit {
		return &ChangeError{Name: name, Reason: ChangeInProgress}
	}
	if len(Voters(m)) < len(n.voters()) && !n.quorumHeard(Voters(m)) {
		return &ChangeError{Name: name, Reason: ChangeLosesQuorum}
	}
	n.appendOwn(&agreepb.Entry{
		Kind: agreepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Membership: m,
	})
	n.trackMembers()
	return nil
}

// maybeChange takes the next step of bringing a learner to a vote, once it
// holds all that is committed: a voter of the same name, whose disk is lost,
// loses its vote first; then the learner gets one.
func (n *Node) maybeChange() {
	if n.role != Leader || n.log.commit < n.termStart {
		return
	}
	current := n.members.current()
	if current.index > n.log.commit {
		return
	}
	m := current.membership
	for _, member := range m.Members {
		if member.Voter || !n.caughtUp(IDOf(member.Id)) {
			continue
		}
		if former := voterNamed(m, member.Id.Name); former != nil {
			_ = n.change(member.Id.Name, without(m, func(other *agreepb.Member) bool {
				return other == former
			}))
			return
		}
		if len(Voters(m)) >= MaxVoters {
			continue
		}
		_ = n.change(member.Id.Name, with(m, newMember(IDOf(member.Id), member.Address, true)))
		return
	}
}

func (n *Node) caughtUp(id ID) bool {
	p := n.progress[id]
	return p != nil && p.silence < n.cfg.ElectionTicks && p.state == streaming && p.match >= n.log.commit
}

func voterNamed(m *agreepb.Membership, name string) *agreepb.Member {
	for _, member := range m.Members {
		if member.Voter && member.Id.Name == name {
			return member
		}
	}
	return nil
}
