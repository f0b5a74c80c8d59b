// Package agree is the agreement protocol of the control group, in the manner
// of Raft, as a pure state machine: no goroutine, clock, disk or socket.
//
// The caller feeds a Node with Step, Tick, Propose and ReadIndex, then handles
// each Ready in this order: make Snapshot, HardState and Entries durable, send
// Messages, apply Snapshot and Committed, call Advance. Nothing is promised to
// another member before it is durable, because messages wait in the Ready.
//
// A member is named by an ID: its name and the incarnation drawn when its data
// folder was formatted. A member that lost its disk returns under a new
// incarnation, hence without the vote of the former one, and becomes a voter
// again only by committed membership changes after it has caught up.
package agree

import (
	"fmt"

	agreepb "hemlockmast/api/agree"
)

// Limits of the protocol.
const (
	// MaxVoters is the greatest number of voters.
	MaxVoters = 7
	// MaxLearners is the greatest number of learners.
	MaxLearners = 7
	// MaxCommandBytes is the greatest size of one proposed command.
	MaxCommandBytes = 8 << 20
	// MaxUncommittedBytes bounds the commands a leader holds uncommitted.
	MaxUncommittedBytes = 32 << 20
	// maxRemoved is the number of removals that a membership records.
	maxRemoved = 128
	// maxAppendBytes bounds the commands in one append, but for a single
	// command that is larger.
	maxAppendBytes = 1 << 20
	// maxInflightAppends bounds appends sent to one member and unanswered.
	maxInflightAppends = 64
)

// ID names one life of a member.
type ID struct {
	Name        string
	Incarnation uint64
}

// IDOf converts from the schema's form; nil gives the zero ID.
func IDOf(id *agreepb.NodeID) ID {
	return ID{Name: id.GetName(), Incarnation: id.GetIncarnation()}
}

// Proto converts to the schema's form; the zero ID gives nil.
func (id ID) Proto() *agreepb.NodeID {
	if id == (ID{}) {
		return nil
	}
	return &agreepb.NodeID{Name: id.Name, Incarnation: id.Incarnation}
}

// String returns the form "name#incarnation".
func (id ID) String() string {
	return fmt.Sprintf("%s#%x", id.Name, id.Incarnation)
}

// Role is what a node does in its term.
type Role uint8

// Roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "follower"
}

// Config holds what a Node needs besides its durable state.
type Config struct {
	Self  ID
	Group uint64
	// ElectionTicks is the least number of ticks without a leader before an
	// election; the wait is drawn between it and its double.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// Rand draws a number in [0, n). It is called from Step, Tick and New.
	Rand func(n int) int
}

// State is a node's durable state as read from disk.
type State struct {
	HardState *agreepb.HardState
	// Snapshot is nil when no entry was compacted yet.
	Snapshot *agreepb.Snapshot
	Entries  []*agreepb.Entry
}

// Ready is the work that a Node asks for. See the package comment for the
// order in which it is done.
type Ready struct {
	// HardState is nil when nothing has to be saved.
	HardState *agreepb.HardState
	// Snapshot, when set, replaces the log and the applied state; Entries then
	// holds every entry after it.
	Snapshot *agreepb.Snapshot
	// Entries replace all stored entries from the first one's index on.
	Entries   []*agreepb.Entry
	Messages  []*agreepb.Message
	Committed []*agreepb.Entry
	Reads     []ReadResult
}

// ReadResult answers a ReadIndex call.
type ReadResult struct {
	// Token is the token given to ReadIndex.
	Token uint64
	// Index must be applied before the state is read.
	Index uint64
	// Refused is set when leadership ended first; Index is then zero.
	Refused bool
}

// Proposed is the place in the log that a proposal took.
type Proposed struct {
	Term  uint64
	Index uint64
}

// Status describes a Node at one moment.
type Status struct {
	Self       ID
	Role       Role
	Term       uint64
	Leader     ID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Membership *agreepb.Membership
	// Voter is set when Self has a vote in Membership.
	Voter bool
	// Joined is set when Self is in the committed membership, as far as known.
	// A member that is not has to ask for AddLearner again: what it asked for
	// before may have been lost with its leader.
	Joined bool
	// Silence is, at the leader, the ticks since each peer's last answer.
	Silence map[ID]int
}
