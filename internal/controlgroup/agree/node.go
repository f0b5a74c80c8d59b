package agree

import (
	agreepb "hemlockmast/api/agree"
)

// Node is one member's state machine. It is not safe for concurrent use.
type Node struct {
	cfg Config

	role   Role
	term   uint64
	vote   ID
	leader ID

	log     *entryLog
	members memberLog

	// sinceContact counts ticks since the leader was heard (follower) or since
	// the election began (candidate).
	sinceContact int
	electionWait int
	// quickTries is how many elections may still follow each other quickly, since no
	// leader was heard after the start.
	quickTries     int
	sinceHeartbeat int

	votes    map[ID]bool
	progress map[ID]*progress

	round            uint64
	reads            []pendingRead
	uncommittedBytes int
	termStart        uint64
	// commitMoved is set until the peers are told of a new commit index.
	commitMoved bool

	messages    []*agreepb.Message
	readResults []ReadResult
	// savedTerm and savedVote are what the last advanced Ready made durable.
	savedTerm uint64
	savedVote ID
	// installed is a snapshot received and not yet made durable.
	installed *agreepb.Snapshot
	// given is the Ready handed out and not yet advanced.
	given *Ready
}

const (
	// maxQuickTries is the number of quick elections after a start. Members of a group
	// that lost power start within a second or two of each other.
	maxQuickTries = 16
	// quickDivisor is the part of the least election wait within which a quick
	// election follows.
	quickDivisor = 2
)

// New returns a node in the follower role. A State that does not fit together
// gives *StateError.
func New(cfg Config, st State) (*Node, error) {
	l, err := newEntryLog(st)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: l, members: newMemberLog(l)}
	n.term = max(st.HardState.GetTerm(), l.lastTerm())
	if n.term == st.HardState.GetTerm() {
		n.vote = IDOf(st.HardState.GetVote())
	}
	n.savedTerm, n.savedVote = n.term, n.vote
	// After a restart of all members there is no leader to wait for. Where there is
	// one, those who hear it refuse the pre-vote, which changes nothing.
	n.quickTries = maxQuickTries
	n.drawElectionWait()
	return n, nil
}

// Status returns the present state.
func (n *Node) Status() Status {
	m := n.members.current().membership
	member := Find(m, n.cfg.Self)
	return Status{
		Self:       n.cfg.Self,
		Role:       n.role,
		Term:       n.term,
		Leader:     n.leader,
		Commit:     n.log.commit,
		Applied:    n.log.applied,
		LastIndex:  n.log.last(),
		Membership: m,
		Voter:      member.GetVoter(),
		Joined:     Find(n.members.at(n.log.commit), n.cfg.Self) != nil,
		Silence:    n.silence(),
	}
}

// silence returns the ticks since each peer's last answer; nil unless leading.
func (n *Node) silence() map[ID]int {
	if n.role != Leader {
		return nil
	}
	ticks := make(map[ID]int, len(n.progress))
	for _, id := range n.peers() {
		ticks[id] = n.progress[id].silence
	}
	return ticks
}

// Tick tells the node that one unit of time has passed.
func (n *Node) Tick() {
	n.sinceContact++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.sinceContact >= n.electionWait && n.mayCampaign() {
		n.campaign(PreCandidate)
	}
}

// Step takes one message in. Messages of another group, for another incarnation
// of this member, or that no member could have sent are dropped. The only error is *InvariantError,
// after which the node must not be used.
func (n *Node) Step(m *agreepb.Message) error {
	if m.Group != n.cfg.Group || IDOf(m.To) != n.cfg.Self || !wellFormed(m) {
		return nil
	}
	switch m.Kind {
	case agreepb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.handlePreVote(m)
	case agreepb.MessageKind_MESSAGE_KIND_VOTE:
		n.handleVote(m)
	case agreepb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		n.handleVoteReply(m, PreCandidate)
	case agreepb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		n.handleVoteReply(m, Candidate)
	case agreepb.MessageKind_MESSAGE_KIND_APPEND:
		return n.handleAppend(m)
	case agreepb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.handleSnapshot(m)
	case agreepb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.handleAppendReply(m)
	}
	return nil
}

// Propose adds a command to the leader's log. Errors, each without effect:
// *NotLeaderError, *TooLargeError, *BusyError.
func (n *Node) Propose(command []byte) (Proposed, error) {
	if n.role != Leader {
		return Proposed{}, n.notLeader()
	}
	if len(command) > MaxCommandBytes {
		return Proposed{}, &TooLargeError{Bytes: len(command)}
	}
	if n.uncommittedBytes+len(command) > MaxUncommittedBytes {
		return Proposed{}, &BusyError{UncommittedBytes: n.uncommittedBytes}
	}
	n.uncommittedBytes += len(command)
	e := &agreepb.Entry{Kind: agreepb.EntryKind_ENTRY_KIND_COMMAND, Command: command}
	return n.appendOwn(e), nil
}

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	n.flush()
	return len(n.messages) > 0 || len(n.readResults) > 0 || n.installed != nil ||
		n.savedTerm != n.term || n.savedVote != n.vote ||
		n.log.stable < n.log.last() || n.log.applied < n.log.commit
}

// flush builds the appends that are due.
func (n *Node) flush() {
	if n.role != Leader || n.given != nil {
		return
	}
	n.sendAppends()
	if !n.commitMoved {
		return
	}
	// Followers apply what is committed now, not at the next heartbeat.
	n.commitMoved = false
	for _, id := range n.peers() {
		n.sendRound(id)
	}
}

// Ready returns the work to do. Until Advance is called, a repeated call
// returns the same work, and neither Step, Tick nor Propose may be called.
func (n *Node) Ready() Ready {
	if n.given != nil {
		return *n.given
	}
	// Appends are built here, so that proposals made since the last Ready
	// travel together.
	n.flush()
	rd := Ready{
		Snapshot: n.installed,
		Entries:  n.log.from(n.log.stable+1, maxReadyBytes),
		Messages: n.messages,
		Reads:    n.readResults,
	}
	// The commit index travels along whenever something is saved. No promise
	// rests on it, but it lets a restarted member notice a conflict.
	if n.savedTerm != n.term || n.savedVote != n.vote || n.installed != nil || len(rd.Entries) > 0 {
		rd.HardState = n.HardState()
	}
	// Entries holds all that is not durable, and is saved first: what is
	// applied is durable here.
	if n.installed == nil {
		rd.Committed = n.log.committed(maxAppendBytes)
	}
	n.given = &rd
	return rd
}

// maxReadyBytes lets one Ready carry every entry that is not durable yet; the
// amount is bounded by MaxUncommittedBytes and by the size of an append.
const maxReadyBytes = 1 << 40

// HardState returns the state that a save of the present Ready must hold.
func (n *Node) HardState() *agreepb.HardState {
	return &agreepb.HardState{Term: n.term, Vote: n.vote.Proto(), Commit: n.log.commit}
}

// Durable returns the whole durable state, for rewriting the log file.
func (n *Node) Durable() State {
	st := State{HardState: n.HardState(), Entries: n.log.entries}
	if n.log.snapshot.Index > 0 {
		st.Snapshot = n.log.snapshot
	}
	return st
}

// Advance tells the node that the work of the last Ready is done.
func (n *Node) Advance() {
	rd := n.given
	if rd == nil {
		return
	}
	n.given = nil
	n.messages = nil
	n.readResults = nil
	n.installed = nil
	if rd.HardState != nil {
		n.savedTerm = rd.HardState.Term
		n.savedVote = IDOf(rd.HardState.Vote)
	}
	if k := len(rd.Entries); k > 0 {
		n.log.stable = rd.Entries[k-1].Index
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = rd.Committed[k-1].Index
	}
	if n.role == Leader {
		n.ownProgress()
		n.maybeCommit()
		n.maybeChange()
	}
}

// Compact replaces the entries up to index by a snapshot of the state machine
// at index, which must be the last applied index. When it reports true, the
// caller saves Durable in place of the old log.
func (n *Node) Compact(index uint64, state []byte) bool {
	if index != n.log.applied || index == n.log.snapshot.Index {
		return false
	}
	term, _ := n.log.term(index)
	n.log.compact(&agreepb.Snapshot{
		Index: index, Term: term, Membership: n.members.at(index), State: state,
	})
	n.members = n.members.compact(index)
	return true
}

func (n *Node) notLeader() error {
	err := &NotLeaderError{Leader: n.leader}
	if member := Find(n.members.current().membership, n.leader); member != nil {
		err.Address = member.Address
	}
	return err
}

func (n *Node) isVoter() bool {
	return Find(n.members.current().membership, n.cfg.Self).GetVoter()
}

// mayCampaign also holds for a member whose removal is in its log and not known
// to be committed: its log may be the only one new enough to win, and its
// removal then commits under it.
func (n *Node) mayCampaign() bool {
	committed := n.members.at(n.log.commit)
	return n.isVoter() || Find(committed, n.cfg.Self).GetVoter()
}

func (n *Node) voters() []ID { return Voters(n.members.current().membership) }

func (n *Node) send(m *agreepb.Message) {
	m.Group = n.cfg.Group
	m.From = n.cfg.Self.Proto()
	n.messages = append(n.messages, m)
}

// drawElectionWait starts the wait for a leader anew. Before a leader was heard it is
// short: who asked before the others listened must ask again soon.
func (n *Node) drawElectionWait() {
	n.sinceContact = 0
	if n.quickTries > 0 {
		n.quickTries--
		n.electionWait = 1 + n.cfg.Rand(max(1, n.cfg.ElectionTicks/quickDivisor))
		return
	}
	n.electionWait = n.cfg.ElectionTicks + n.cfg.Rand(n.cfg.ElectionTicks)
}
