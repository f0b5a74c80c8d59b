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
	members membershipHistory

	// ticksSinceContact counts ticks since the last message from the leader
	// (follower) or since the election began (candidate).
	ticksSinceContact int
	// electionTimeout is the current randomized timeout in ticks.
	electionTimeout int
	// fastElectionsLeft is how many more elections may use the short timeout. It
	// becomes zero when a leader is known for the first time after the start.
	fastElectionsLeft   int
	ticksSinceHeartbeat int

	votes    map[ID]bool
	progress map[ID]*progress
	// retiring holds the members that are about to stop, with the ticks for which the
	// leader remembers that.
	retiring map[ID]int
	// isHandedOver is set while a campaign starts because the leader handed over.
	isHandedOver bool

	// readRound numbers the ReadIndex calls; a reply confirms all calls up to its
	// round.
	readRound        uint64
	reads            []pendingRead
	uncommittedBytes int
	// termStart is the index of the first entry of the leader's term.
	termStart uint64
	// commitAdvanced is set while the peers have not been sent the newest commit
	// index.
	commitAdvanced bool

	messages    []*agreepb.Message
	readResults []ReadResult
	// savedTerm and savedVote are the durable term and vote.
	savedTerm uint64
	savedVote ID
	// pendingSnapshot is a received snapshot that is not durable yet.
	pendingSnapshot *agreepb.Snapshot
	// pendingReady is the Ready returned to the caller and not yet advanced.
	pendingReady *Ready
}

const (
	// maxFastElections is the number of elections after a start that use the
	// short timeout. Members of a group that lost power start within a second
	// or two of each other.
	maxFastElections = 16
	// fastElectionDivisor divides the minimum election timeout to give the upper
	// bound of the short timeout.
	fastElectionDivisor = 2
)

// New returns a node in the follower role. It returns *StateError if the stored
// entries are not contiguous.
func New(cfg Config, st State) (*Node, error) {
	l, err := newEntryLog(st)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: l, members: newMembershipHistory(l)}
	n.term = max(st.HardState.GetTerm(), l.lastTerm())
	if n.term == st.HardState.GetTerm() {
		n.vote = IDOf(st.HardState.GetVote())
	}
	n.savedTerm, n.savedVote = n.term, n.vote
	// After a restart of all members there is no leader to wait for, so the first
	// elections start early. If there is a leader, the members in contact with it
	// refuse the pre-vote, which has no other effect.
	n.fastElectionsLeft = maxFastElections
	n.resetElectionTimeout()
	return n, nil
}

// Status returns a copy of the node's current state.
func (n *Node) Status() Status {
	m := n.members.current().membership
	member := Find(m, n.cfg.Self)
	return Status{
		Self:            n.cfg.Self,
		Role:            n.role,
		Term:            n.term,
		Leader:          n.leader,
		Commit:          n.log.commit,
		Applied:         n.log.applied,
		LastIndex:       n.log.last(),
		Membership:      m,
		Voter:           member.GetVoter(),
		Joined:          Find(n.members.at(n.log.commit), n.cfg.Self) != nil,
		TicksSinceReply: n.ticksSinceReply(),
	}
}

// ticksSinceReply returns the ticks since each peer's last reply, or nil if this
// node is not the leader.
func (n *Node) ticksSinceReply() map[ID]int {
	if n.role != Leader {
		return nil
	}
	ticks := make(map[ID]int, len(n.progress))
	for _, id := range n.peers() {
		ticks[id] = n.progress[id].ticksSinceReply
	}
	return ticks
}

// Tick advances the node's logical clock by one tick.
func (n *Node) Tick() {
	n.ticksSinceContact++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.ticksSinceContact < n.electionTimeout {
		return
	}
	if n.mayCampaign() {
		n.campaign(PreCandidate)
		return
	}
	// A learner that is cut off, or was removed, must not take its leader to be alive.
	n.becomeFollower(n.term, ID{})
}

// Step handles one received message. It drops malformed messages and messages for
// another group or another incarnation of this member. The only error is
// *InvariantError, after which the node must not be used.
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
	case agreepb.MessageKind_MESSAGE_KIND_HAND_OVER:
		n.handleHandOver(m)
	}
	return nil
}

// Propose appends a command to the leader's log. A call that returns an error has
// no effect. Errors: *NotLeaderError, *TooLargeError, *BusyError.
func (n *Node) Propose(command []byte) (LogPosition, error) {
	if n.role != Leader {
		return LogPosition{}, n.notLeader()
	}
	if len(command) > MaxCommandBytes {
		return LogPosition{}, &TooLargeError{Bytes: len(command)}
	}
	if n.uncommittedBytes+len(command) > MaxUncommittedBytes {
		return LogPosition{}, &BusyError{UncommittedBytes: n.uncommittedBytes}
	}
	n.uncommittedBytes += len(command)
	e := &agreepb.Entry{Kind: agreepb.EntryKind_ENTRY_KIND_COMMAND, Command: command}
	return n.appendLeaderEntry(e), nil
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	n.queueAppends()
	return len(n.messages) > 0 || len(n.readResults) > 0 || n.pendingSnapshot != nil ||
		n.savedTerm != n.term || n.savedVote != n.vote ||
		n.log.stable < n.log.last() || n.log.applied < n.log.commit
}

// queueAppends queues the appends that the leader can send now.
func (n *Node) queueAppends() {
	if n.role != Leader || n.pendingReady != nil {
		return
	}
	n.sendAppends()
	if !n.commitAdvanced {
		return
	}
	// Followers then apply newly committed entries without waiting for the next
	// heartbeat.
	n.commitAdvanced = false
	for _, id := range n.peers() {
		n.sendEmptyAppend(id)
	}
}

// Ready returns the work to do. Until Advance is called, a repeated call
// returns the same work, and neither Step, Tick nor Propose may be called.
func (n *Node) Ready() Ready {
	if n.pendingReady != nil {
		return *n.pendingReady
	}
	// Building the appends here batches the proposals made since the last Ready.
	n.queueAppends()
	rd := Ready{
		Snapshot: n.pendingSnapshot,
		Entries:  n.log.entriesFrom(n.log.stable+1, maxReadyBytes),
		Messages: n.messages,
		Reads:    n.readResults,
	}
	// The commit index is saved along with anything else. Correctness does not
	// depend on it, but it lets a restarted member detect a conflict.
	if n.savedTerm != n.term || n.savedVote != n.vote || n.pendingSnapshot != nil || len(rd.Entries) > 0 {
		rd.HardState = n.HardState()
	}
	// Entries holds every entry that is not durable yet, and the caller saves it
	// first. Entries are therefore durable here before they are applied.
	if n.pendingSnapshot == nil {
		rd.Committed = n.log.committed(maxAppendBytes)
	}
	n.pendingReady = &rd
	return rd
}

// maxReadyBytes is large enough for one Ready to hold every entry that is not
// durable yet. The actual size is bounded by MaxUncommittedBytes and by the size
// of an append.
const maxReadyBytes = 1 << 40

// HardState returns the node's current term, vote and commit index, in the form
// to be saved.
func (n *Node) HardState() *agreepb.HardState {
	return &agreepb.HardState{Term: n.term, Vote: n.vote.Proto(), Commit: n.log.commit}
}

// Durable returns the node's whole persistent state, for rewriting the log file.
func (n *Node) Durable() State {
	st := State{HardState: n.HardState(), Entries: n.log.entries}
	if n.log.snapshot.Index > 0 {
		st.Snapshot = n.log.snapshot
	}
	return st
}

// Advance tells the node that the caller has done all work of the last Ready.
func (n *Node) Advance() {
	rd := n.pendingReady
	if rd == nil {
		return
	}
	n.pendingReady = nil
	n.messages = nil
	n.readResults = nil
	n.pendingSnapshot = nil
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
		n.updateOwnProgress()
		n.maybeCommit()
		n.maybeChangeVoters()
	}
}

// Compact replaces the entries up to index by a snapshot; state is the state
// machine's state at index. It reports false, without effect, if index is not
// the last applied index or is compacted already. If it reports true, the
// caller must replace the stored log by Durable.
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

// mayCampaign reports whether the node may start an election. That includes a
// former voter whose removal is in its log but not known to be committed: its
// log may be the only one up to date enough to win, and as leader it then
// commits its own removal.
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

// resetElectionTimeout restarts the wait for a leader with a new random timeout.
// The timeout is short after a start until a leader is heard: a candidate that
// requested votes before the other members were up must soon request them again.
func (n *Node) resetElectionTimeout() {
	n.ticksSinceContact = 0
	if n.fastElectionsLeft > 0 {
		n.fastElectionsLeft--
		n.electionTimeout = 1 + n.cfg.Rand(max(1, n.cfg.ElectionTicks/fastElectionDivisor))
		return
	}
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand(n.cfg.ElectionTicks)
}
