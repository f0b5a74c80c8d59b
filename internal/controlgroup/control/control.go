// Package control runs one member of the control group. It drives the consensus
// protocol of package agree with a data folder, a transport and a ticker, and
// applies committed commands to a state machine.
//
// The goroutine that calls Run owns all mutable state; other goroutines reach it
// over channels. It handles everything that has been received as one batch, which
// it saves with one sync before it sends any message that acknowledges it.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/agreelog"
)

// StateMachine is the replicated state of the group. All calls come from one
// goroutine. After a restart the last snapshot is restored and the commands after
// it are applied again.
type StateMachine interface {
	// Apply executes the command at index and returns its result. It must be
	// deterministic: it may depend only on the state and its arguments.
	Apply(index uint64, cmd []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore([]byte) error
}

// Transport sends messages to other members. Messages may be lost, delayed,
// duplicated and reordered.
type Transport interface {
	// Send queues a request for address; it must not block.
	Send(address string, request *agreepb.DeliverRequest)
	// Join asks the member at address to add the sender to its group.
	Join(ctx context.Context, address string, request *agreepb.JoinRequest) (*agreepb.JoinReply, error)
	// Retire asks the member at address to give away the sender's place.
	Retire(ctx context.Context, address string, request *agreepb.RetireRequest) (*agreepb.RetireReply, error)
}

// Defaults of Config.
const (
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	// DefaultTick is the default interval between ticks.
	DefaultTick = 50 * time.Millisecond
	// DefaultCompactBytes is the log size in bytes above which a snapshot is
	// taken.
	DefaultCompactBytes = 8 << 20
)

// Peer is a control VM listed in the settings.
type Peer struct {
	Name string
	// Address is the host:port of the peer's Agree service.
	Address string
}

// Config is the configuration of a member.
type Config struct {
	// Name and Address are the member's own.
	Name    string
	Address string
	// Peers are the control VMs of the settings; the member itself may be among
	// them. The first peer by name founds the group once all others have
	// answered that they belong to none.
	Peers []Peer
	// JoinOnly prevents this member from founding a group.
	JoinOnly bool
	FS       agreelog.FS
	// Dir is the member's data folder.
	Dir       string
	Machine   StateMachine
	Transport Transport
	// Ticks drives the protocol, whose timeouts are counts of ticks.
	Ticks <-chan time.Time
	// Rand returns a random number in [0, n).
	Rand func(n int) int
	// NewID returns a number that identifies a new group or incarnation. It
	// must never return 0 or the same number twice.
	NewID func() uint64
	Log   logr.Logger
	// ElectionTicks, HeartbeatTicks and CompactBytes use the defaults if 0.
	ElectionTicks  int
	HeartbeatTicks int
	CompactBytes   int64
	// ReplaceSilentTicks is as in agree.Config.
	ReplaceSilentTicks int
}

// Status is a snapshot of a member's state.
type Status struct {
	agree.Status
	// Group is 0 until the member has joined a group.
	Group uint64
	// LeaderAddress is empty if no leader is known.
	LeaderAddress string
	// Stalled is the error of the last save while the disk is full, otherwise
	// nil. A stalled member handles no messages or proposals.
	Stalled error
	// LogBytes is the size of the log file in bytes.
	LogBytes int64
	// Snapshots counts snapshots taken or received since the start.
	Snapshots uint64
}

const (
	// inboundQueueLength is the number of deliveries that can be queued; further
	// ones are dropped.
	inboundQueueLength = 256
	// maxBatch is the maximum number of queued calls handled before a save.
	maxBatch = 256
	// maxAddresses bounds the addresses learned from deliveries and joins.
	maxAddresses = 64
	// unknownAfterTicks is the number of ticks after a step-down at which
	// commands that are still pending end with OutcomeUnknownError.
	unknownAfterTicks = 40
)

// Control is one member of the control group.
type Control struct {
	cfg    Config
	folder *agreelog.Folder

	// The fields down to joiner are owned by Run.
	id        agree.ID
	group     uint64
	log       *agreelog.Log
	node      *agree.Node
	applied   uint64
	stalled   error
	retryDue  bool
	snapshots uint64
	// initialState is the state machine's state before any command.
	initialState []byte
	// isMachineOutdated is set while the state machine's state is that of a former
	// incarnation.
	isMachineOutdated bool
	addresses         map[agree.ID]string
	// pending holds the proposals that await their outcome, by log index.
	pending           map[uint64]*proposal
	leaderTerm        uint64
	ticksSinceLeading int
	readers           readers
	joiner            joiner

	inbound   chan *agreepb.DeliverRequest
	proposals chan *proposal
	reads     chan *reader
	joins     chan *joinCall
	removals  chan *removal
	retirings chan *retireCall
	stopped   chan struct{}
	status    atomic.Pointer[Status]
}

// Open locks the data folder and loads the member's state from it. The caller must
// then call Run, which closes the folder. Errors: those of agreelog's OpenFolder,
// Read and Load; *SnapshotError; *agree.StateError.
func Open(cfg Config) (*Control, error) {
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = DefaultElectionTicks
	}
	if cfg.HeartbeatTicks == 0 {
		cfg.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if cfg.CompactBytes == 0 {
		cfg.CompactBytes = DefaultCompactBytes
	}
	folder, err := agreelog.OpenFolder(cfg.FS, cfg.Dir)
	if err != nil {
		return nil, err
	}
	c := &Control{
		cfg: cfg, folder: folder,
		addresses: make(map[agree.ID]string),
		pending:   make(map[uint64]*proposal),
		inbound:   make(chan *agreepb.DeliverRequest, inboundQueueLength),
		proposals: make(chan *proposal),
		reads:     make(chan *reader),
		joins:     make(chan *joinCall),
		removals:  make(chan *removal),
		retirings: make(chan *retireCall),
		stopped:   make(chan struct{}),
	}
	c.joiner.results = make(chan joinResult, 1)
	c.readers.byToken = make(map[uint64][]*reader)
	if c.initialState, err = cfg.Machine.Snapshot(); err != nil {
		_ = folder.Close()
		return nil, &SnapshotError{Cause: err}
	}
	if err := c.load(); err != nil {
		_ = folder.Close()
		return nil, err
	}
	c.publishStatus()
	return c, nil
}

// load starts the node from the data folder. If the folder holds no log, it
// chooses a new incarnation, and the member has no node until it founds or joins a
// group.
func (c *Control) load() error {
	log, content, err := c.folder.Load()
	if _, empty := err.(*agreelog.NotFormattedError); empty {
		c.id = agree.ID{Name: c.cfg.Name, Incarnation: c.cfg.NewID()}
		return nil
	}
	if err != nil {
		return err
	}
	if content.TornBytes > 0 {
		c.cfg.Log.Info("cut a torn save at the end of the log", "bytes", content.TornBytes)
	}
	c.id, c.group, c.log = content.Identity.Self, content.Identity.Group, log
	if s := content.State.Snapshot; s != nil {
		if err := c.restore(s); err != nil {
			return err
		}
	}
	return c.startNode(content.State)
}

func (c *Control) startNode(st agree.State) error {
	var err error
	c.node, err = agree.New(agree.Config{
		Self: c.id, Group: c.group, Rand: c.cfg.Rand,
		ElectionTicks: c.cfg.ElectionTicks, HeartbeatTicks: c.cfg.HeartbeatTicks,
		ReplaceSilentTicks: c.cfg.ReplaceSilentTicks,
	}, st)
	return err
}

// format writes the first log of this member and starts the node from it.
func (c *Control) format(group uint64, st agree.State) error {
	identity := agreelog.Identity{Group: group, Self: c.id}
	if err := c.folder.Format(identity, st); err != nil {
		return err
	}
	c.cfg.Log.Info("formatted the data folder", "group", group, "member", c.id.String())
	return c.load()
}

func (c *Control) restore(s *agreepb.Snapshot) error {
	if err := c.cfg.Machine.Restore(s.State); err != nil {
		return &SnapshotError{Index: s.Index, Cause: err}
	}
	c.isMachineOutdated = false
	c.applied = s.Index
	return nil
}

// Status returns the member's state as of the last handled event. It is safe for
// concurrent use.
func (c *Control) Status() Status { return *c.status.Load() }

func (c *Control) publishStatus() {
	st := Status{Group: c.group, Stalled: c.stalled, Snapshots: c.snapshots}
	st.Self = c.id
	if c.node != nil {
		st.Status = c.node.Status()
		st.LogBytes = c.log.Size()
		st.LeaderAddress = c.addressOf(st.Leader)
	}
	c.status.Store(&st)
}

// addressOf returns the address of a member, or "" if unknown. The address that
// the member itself sent last takes precedence over the membership's.
func (c *Control) addressOf(id agree.ID) string {
	if id == c.id {
		return c.cfg.Address
	}
	if address, ok := c.addresses[id]; ok {
		return address
	}
	return agree.Find(c.node.Status().Membership, id).GetAddress()
}
