// Package agree implements the consensus protocol of the control group, a
// variant of Raft, as a pure state machine without goroutines, clocks, disks or
// sockets.
//
// The caller drives a Node with Step, Tick, Propose and ReadIndex, then handles
// each Ready in this order: make Snapshot, HardState and Entries durable, send
// Messages, apply Snapshot and Committed, call Advance. Messages are sent only
// after the save, so a member acknowledges nothing that is not durable.
//
// A member is identified by an ID: its name and the random incarnation chosen
// when its data folder was formatted. A member that lost its disk returns with a
// new incarnation, and therefore without the former one's vote. It becomes a
// voter again only through committed membership changes after it has caught up.
package agree

import (
	"fmt"

	agreepb "hemlockmast/api/agree"
)

// Limits of the protocol.
const (
	// MaxVoters is the maximum number of voters.
	MaxVoters = 7
	// MaxLearners is the maximum number of learners.
	MaxLearners = 7
	// MaxCommandBytes is the maximum size of one proposed command.
	MaxCommandBytes = 8 << 20
	// MaxUncommittedBytes bounds the total size of a leader's uncommitted
	// commands.
	MaxUncommittedBytes = 32 << 20
	// maxRecordedRemovals is how many of the latest removals a membership keeps.
	maxRecordedRemovals = 128
	// maxAppendBytes bounds the commands in one append. A single larger command
	// is sent in an append of its own.
	maxAppendBytes = 1 << 20
	// maxInflightAppends bounds the appends to one member that await a reply.
	maxInflightAppends = 64
)

// ID identifies one incarnation of a member.
type ID struct {
	Name        string
	Incarnation uint64
}

// IDOf converts an ID from its protobuf message; nil gives the zero ID.
func IDOf(id *agreepb.NodeID) ID {
	return ID{Name: id.GetName(), Incarnation: id.GetIncarnation()}
}

// Proto converts the ID to its protobuf message; the zero ID gives nil.
func (id ID) Proto() *agreepb.NodeID {
	if id == (ID{}) {
		return nil
	}
	return &agreepb.NodeID{Name: id.Name, Incarnation: id.Incarnation}
}

// String returns "name#incarnation", with the incarnation in hexadecimal.
func (id ID) String() string {
	return fmt.Sprintf("%s#%x", id.Name, id.Incarnation)
}

// Role is a node's role in its current term.
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

// Config is the configuration of a Node.
type Config struct {
	Self ID
	// Group identifies the control group; messages of other groups are dropped.
	Group uint64
	// ElectionTicks is the minimum election timeout in ticks. The timeout is
	// chosen at random from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// ReplaceSilentTicks is the number of ticks without a reply after which a learner that
	// has caught up takes the place of a voter, or a voter is removed without which the group
	// bears as many losses; 0 means neither, and that every learner becomes a voter.
	ReplaceSilentTicks int
	// Rand returns a random number in [0, n). Step, Tick and New call it.
	Rand func(n int) int
}

// State is a node's persistent state as read from disk.
type State struct {
	HardState *agreepb.HardState
	// Snapshot is nil if no entry has been compacted yet.
	Snapshot *agreepb.Snapshot
	Entries  []*agreepb.Entry
}

// Ready is work for the caller. The package comment gives the order in which to
// do it.
type Ready struct {
	// HardState is nil if nothing has to be saved.
	HardState *agreepb.HardState
	// Snapshot, if set, replaces the log and the applied state; Entries then
	// holds every entry after it.
	Snapshot *agreepb.Snapshot
	// Entries replace all stored entries from the first one's index on.
	Entries []*agreepb.Entry
	// Messages are to be sent after the save.
	Messages []*agreepb.Message
	// Committed holds the entries to apply, in log order.
	Committed []*agreepb.Entry
	// Reads holds the results of ReadIndex calls.
	Reads []ReadResult
}

// ReadResult is the result of a ReadIndex call.
type ReadResult struct {
	// Token is the token passed to ReadIndex.
	Token uint64
	// Index must be applied before the state is read.
	Index uint64
	// Refused is set if the node lost leadership before the read was confirmed;
	// Index is then zero.
	Refused bool
}

// LogPosition is the position of a proposed entry in the log.
type LogPosition struct {
	Term  uint64
	Index uint64
}

// Status is a snapshot of a Node's state.
type Status struct {
	Self       ID
	Role       Role
	Term       uint64
	Leader     ID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Membership *agreepb.Membership
	// Voter is set if Self has a vote in Membership.
	Voter bool
	// Joined is set if Self is in the newest membership that this node knows to
	// be committed. A member that has not joined must request AddLearner again,
	// because a former leader may have failed before it committed the request.
	Joined bool
	// TicksSinceReply holds the ticks since each peer's last reply. It is nil unless
	// this node is the leader.
	TicksSinceReply map[ID]int
}
