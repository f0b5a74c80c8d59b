// Package control runs one member of the control group: it drives the pure
// agreement protocol of package agree with a data folder, a transport and a
// ticker, and applies committed commands to a state machine.
//
// One goroutine, Run, owns everything. Calls reach it over channels. What it
// has received is saved with one sync, before any message that promises it.
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

// StateMachine is the state that the group agrees on. Calls come from one
// goroutine. After a restart, the snapshot is restored and later commands are
// applied again, from the snapshot's index on.
type StateMachine interface {
	// Apply runs the command at index and returns its result. It must depend
	// on nothing but the state and its arguments.
	Apply(index uint64, cmd []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore([]byte) error
}

// Transport carries messages to other members. Messages may be lost, delayed,
// doubled and reordered.
type Transport interface {
	// Send queues a request for address; it must not block.
	Send(address string, request *agreepb.DeliverRequest)
	// Join asks the process at address for membership.
	Join(ctx context.Context, address string, request *agreepb.JoinRequest) (*agreepb.JoinReply, error)
}

// Defaults of Config.
const (
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	// DefaultTick is the usual time between two ticks.
	DefaultTick = 50 * time.Millisecond
	// DefaultCompactBytes is the log size above which a snapshot is taken.
	DefaultCompactBytes = 8 << 20
)

// Peer is one of the control VMs named in the settings.
type Peer struct {
	Name string
	// Address is where the peer's Agree service listens, as host:port.
	Address string
}

// Config holds what a member needs.
type Config struct {
	// Name and Address are the member's own.
	Name    string
	Address string
	// Peers are the control VMs of the settings; the member itself may be among
	// them. The first by name founds the group, once every other one has
	// answered that it belongs to none.
	Peers []Peer
	// JoinOnly keeps this member from founding a group.
	JoinOnly  bool
	FS        agreelog.FS
	Dir       string
	Machine   StateMachine
	Transport Transport
	// Ticks is the member's clock. The protocol's waits are counts of ticks.
	Ticks <-chan time.Time
	// Rand draws in [0, n). NewNumber draws a group's or an incarnation's number,
	// never 0 and never the same twice.
	Rand      func(n int) int
	NewNumber func() uint64
	Log       logr.Logger
	// ElectionTicks, HeartbeatTicks and CompactBytes have defaults.
	ElectionTicks  int
	HeartbeatTicks int
	CompactBytes   int64
}

// Status describes a member at one moment.
type Status struct {
	agree.Status
	// Group is 0 before the member has joined one.
	Group uint64
	// LeaderAddress is empty when no leader is known.
	LeaderAddress string
	// Stalled is set while the disk has no room: the member promises nothing.
	Stalled error
	// LogBytes is the length of the log file.
	LogBytes int64
	// Snapshots counts snapshots taken and received since the start.
	Snapshots uint64
}

const (
	// inboundRequests is the number of deliveries that may wait; more are lost.
	inboundRequests = 256
	// maxBatch is the number of waiting calls taken in before a save.
	maxBatch = 256
	// knownAddresses bounds the addresses learnt from deliveries.
	knownAddresses = 64
	// unknownAfterTicks is the number of ticks after a step-down at which the
	// outcome of commands still waiting is called unknown.
	unknownAfterTicks = 40
)

// Control is one member of the control group.
type Control struct {
	cfg    Config
	folder *agreelog.Folder

	// All below is owned by Run.
	id        agree.ID
	group     uint64
	log       *agreelog.Log
	node      *agree.Node
	applied   uint64
	stalled   error
	retryDue  bool
	snapshots uint64
	addresses map[agree.ID]string
	waiting   map[uint64]*proposal
	leadTerm  uint64
	lostTicks int
	readers   readers
	seeker    seeker

	inbound   chan *agreepb.DeliverRequest
	proposals chan *proposal
	reads     chan *reader
	joins     chan *joinCall
	removals  chan *removal
	stopped   chan struct{}
	status    atomic.Pointer[Status]
}

// Open locks the data folder and reads what it holds. The caller must call Run
// next, which closes the folder. Errors: those of agreelog's OpenFolder, Read
// and Load; *SnapshotError; *agree.StateError.
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
		waiting:   make(map[uint64]*proposal),
		inbound:   make(chan *agreepb.DeliverRequest, inboundRequests),
		proposals: make(chan *proposal),
		reads:     make(chan *reader),
		joins:     make(chan *joinCall),
		removals:  make(chan *removal),
		stopped:   make(chan struct{}),
	}
	c.seeker.results = make(chan seekResult, 1)
	c.readers.byToken = make(map[uint64][]*reader)
	if err := c.load(); err != nil {
		_ = folder.Close()
		return nil, err
	}
	c.publishStatus()
	return c, nil
}

// load starts the node from the folder. A folder without a log leaves the
// member without a node, under a new incarnation, until it founds or joins.
func (c *Control) load() error {
	log, content, err := c.folder.Load()
	if _, empty := err.(*agreelog.NotFormattedError); empty {
		c.id = agree.ID{Name: c.cfg.Name, Incarnation: c.cfg.NewNumber()}
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
	c.node, err = agree.New(agree.Config{
		Self: c.id, Group: c.group, Rand: c.cfg.Rand,
		ElectionTicks: c.cfg.ElectionTicks, HeartbeatTicks: c.cfg.HeartbeatTicks,
	}, content.State)
	return err
}

// format writes a first log for this member and starts the node from it.
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
	c.applied = s.Index
	return nil
}

// Status returns the state after the last step.
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

// addressOf returns where id listens, or "". What the member itself said last
// goes before what the membership records.
func (c *Control) addressOf(id agree.ID) string {
	if id == c.id {
		return c.cfg.Address
	}
	if address, ok := c.addresses[id]; ok {
		return address
	}
	return agree.Find(c.node.Status().Membership, id).GetAddress()
}
