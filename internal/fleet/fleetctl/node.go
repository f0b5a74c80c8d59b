// Package fleetctl implements the control daemon for services whose endpoints announce
// themselves. A control daemon is a member of the control group, which replicates its state
// by consensus. It serves operators, endpoints and entries (the proxy daemons that callers
// connect to), and replaces failed primaries while it leads the control group.
package fleetctl

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	agreepb "hemlockmast/api/agree"
	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/agreelog"
	"hemlockmast/internal/controlgroup/control"
	"hemlockmast/internal/fleet/catalog"
	"hemlockmast/internal/fleet/fleethub"
	"hemlockmast/internal/fleet/fleetrpc"
	"hemlockmast/internal/fleet/fleetstate"
	"hemlockmast/internal/fleet/positions"
	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/fleet/registry"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/stmt"
)

const (
	// tick is the time unit of the consensus protocol: the leader sends heartbeats every
	// 200 ms, and an election starts after 450 to 900 ms without one.
	tick           = 50 * time.Millisecond
	heartbeatTicks = 4
	electionTicks  = 9
	// replaceSilentTicks are 3 s: longer than a restart, and shorter than the time for which
	// a VM that replaces a lost one still counts as lost.
	replaceSilentTicks = 60
	// proposeTimeout bounds one proposal. Operators repeat a request after a second.
	proposeTimeout = 900 * time.Millisecond
	// barrierTimeout bounds a linearizable read of the configuration.
	barrierTimeout = 800 * time.Millisecond
	// maxLeaderSilence is how long a member that knows no leader still counts as current. A
	// member knows no leader from the start of an election.
	maxLeaderSilence = 400 * time.Millisecond
	// minVoters is the minimum number of voters for acknowledging a configuration: after
	// the loss of one disk, a majority must still hold it.
	minVoters = 3
	// logFolder is the subfolder of the data folder for the replicated log.
	logFolder = "control"
)

// Config holds the settings and dependencies of a control daemon.
type Config struct {
	Name          string
	FailureDomain string
	// Address is the address at which other daemons call this one.
	Address string
	// Seeds are addresses of control daemons, with the port of Address.
	Seeds []string
	// MayFound allows the daemon to found a new control group.
	MayFound   bool
	DataFolder string
	// Heartbeat is the interval between announcements of an endpoint.
	Heartbeat time.Duration
	Dialer    stmt.Dialer
	Texts     positions.Texts
	Promoter  promotion.Promoter
	Metrics   *metrics.ControlSet
	Log       logr.Logger
}

// Node is a control daemon.
type Node struct {
	cfg       Config
	log       logr.Logger
	machine   *fleetstate.Machine
	hub       *fleethub.Hub
	control   *control.Control
	http      *http.Client
	ticker    *time.Ticker
	watcher   *watcher
	positions *positions.Reader

	// leaderSeen is the last time at which this member had joined and knew the leader.
	leaderSeen atomic.Pointer[time.Time]

	// mu guards peerDomains, the failure domains of other control daemons by address, as they
	// reported them, and followedPeers, the addresses of those that answer this one's polls.
	mu            sync.Mutex
	peerDomains   map[string]string
	followedPeers map[string]bool
}

// Open reads the data folder and returns a node that does nothing until Run is called.
// Errors: those of control.Open.
func Open(ctx context.Context, cfg Config) (*Node, error) {
	n := &Node{cfg: cfg, log: cfg.Log, http: fleetrpc.NewHTTPClient(), ticker: time.NewTicker(tick)}
	n.peerDomains, n.followedPeers = make(map[string]string), make(map[string]bool)
	n.machine = fleetstate.New(func() { n.logChanges(n.hub.Refresh()) })
	n.machine.OnIgnored = func(err error) { n.log.Info("recorded endpoint ignored", "error", err.Error()) }
	n.hub = fleethub.New(control.RandomID(), n.machine, n, time.Now)
	n.watcher = newWatcher(n)
	n.positions = positions.New(cfg.Dialer, cfg.Texts)
	peers := make([]control.Peer, 0, len(cfg.Seeds))
	for _, address := range cfg.Seeds {
		peers = append(peers, control.Peer{Name: address, Address: address})
	}
	var err error
	n.control, err = control.Open(control.Config{
		// A member's name is its address because only the addresses of seeds are known.
		Name: cfg.Address, Address: cfg.Address, Peers: peers, JoinOnly: !cfg.MayFound,
		FS: agreelog.OS{}, Dir: filepath.Join(cfg.DataFolder, logFolder),
		Machine: n.machine, Transport: control.NewTwirpTransport(ctx, fleetrpc.NewHTTPClient(), "http"),
		Ticks: n.ticker.C, Rand: mathrand.IntN, NewID: control.RandomID, Log: cfg.Log,
		ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, ReplaceSilentTicks: replaceSilentTicks,
	})
	if err != nil {
		return nil, err
	}
	n.hub.Refresh()
	return n, nil
}

// Run runs the daemon until ctx ends. Errors: those of control.Control.Run.
func (n *Node) Run(ctx context.Context) error {
	defer n.ticker.Stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.control.Run(ctx) })
	group.Go(func() error { n.observeLeader(ctx); return nil })
	group.Go(func() error { n.followAllPeers(ctx); return nil })
	group.Go(func() error { n.watcher.run(ctx); return nil })
	return group.Wait()
}

// PrepareStop gives this member's place in the control group to another daemon, if one is
// ready, and its lead. Run must be running. Errors: those of control.Control.PrepareStop.
func (n *Node) PrepareStop(ctx context.Context) error { return n.control.PrepareStop(ctx) }

// Register adds the handlers for calls from other daemons to mux.
func (n *Node) Register(mux *http.ServeMux) {
	mux.Handle(agreepb.AgreePathPrefix, control.Handler(n.control))
	mux.Handle(fleetpb.FleetPathPrefix, fleetpb.NewFleetServer(&rpcServer{node: n}))
}

// observeLeader records when a leader is known and logs changes of the leader. It also
// updates the metrics.
func (n *Node) observeLeader(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last := ""
	var losses lossWatch
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			st := n.control.Status()
			// A member that has not joined may not have received the state yet.
			if st.Leader.Name != "" && st.Stalled == nil && st.Joined {
				wasCurrent := n.IsCurrent()
				n.leaderSeen.Store(&now)
				if !wasCurrent {
					n.hub.Wake()
				}
			}
			if st.Leader.Name != last {
				n.log.Info("leader changed", "leader", st.Leader.Name, "term", st.Term, "self", st.Role.String())
				last = st.Leader.Name
			}
			config, _ := n.machine.Configuration()
			n.cfg.Metrics.Member(st.Term, st.Role == agree.Leader, len(agree.Voters(st.Membership)), config.GetVersion())
			n.cfg.Metrics.Attempts(n.machine.CountAttempts())
			losses.update(n, st)
		}
	}
}

// IsCurrent implements fleethub.Daemon.
func (n *Node) IsCurrent() bool {
	seen := n.leaderSeen.Load()
	return seen != nil && time.Since(*seen) < maxLeaderSilence
}

// ControlDaemons implements fleethub.Daemon.
func (n *Node) ControlDaemons() []*fleetpb.ControlDaemon {
	var list []*fleetpb.ControlDaemon
	for _, m := range n.control.Status().Membership.GetMembers() {
		list = append(list, &fleetpb.ControlDaemon{Address: m.Address, FailureDomain: n.failureDomainOf(m.Address)})
	}
	return list
}

// FailureDomain implements fleethub.Daemon.
func (n *Node) FailureDomain() string { return n.cfg.FailureDomain }

// failureDomainOf returns the failure domain of a control daemon, or "" if the daemon has
// not reported it yet.
func (n *Node) failureDomainOf(address string) string {
	if address == n.cfg.Address {
		return n.cfg.FailureDomain
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peerDomains[address]
}

// Leader implements fleethub.Daemon.
func (n *Node) Leader() string { return n.control.Status().LeaderAddress }

// isLeader reports whether this member leads the control group.
func (n *Node) isLeader() bool { return n.control.Status().Role == agree.Leader }

// Publish commits a configuration to the replicated state; body is what the operator
// sent. A configuration whose version is not higher than the current one changes nothing
// and is no error. Errors: *catalog.InvalidError, *NotReadyError, those of control.
func (n *Node) Publish(ctx context.Context, c *fleetpb.Configuration, body []byte) error {
	if err := catalog.Check(c); err != nil {
		return err
	}
	if voters := len(agree.Voters(n.control.Status().Membership)); voters < minVoters {
		return &NotReadyError{Voters: voters}
	}
	cmd := &fleetpb.Command{Kind: &fleetpb.Command_PutConfiguration{
		PutConfiguration: &fleetpb.PutConfiguration{Configuration: c, Body: body},
	}}
	result, err := n.propose(ctx, cmd)
	if err != nil {
		return err
	}
	n.log.Info("configuration acknowledged", "version", c.Version, "taken", result.Taken, "newest", result.Version)
	return nil
}

// NotReadyError reports that a configuration was not published because too few members
// would hold a copy.
type NotReadyError struct{ Voters int }

func (e *NotReadyError) Error() string { return "the control group has too few voters" }

// NewestConfiguration returns the newest configuration as the operator sent it. The read is
// linearizable. Errors: *NoConfigurationError, those of control.
func (n *Node) NewestConfiguration(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := n.barrier(ctx); err != nil {
		return nil, err
	}
	config, body := n.machine.Configuration()
	if config == nil {
		return nil, &NoConfigurationError{}
	}
	return body, nil
}

// NoConfigurationError reports that no configuration was published yet.
type NoConfigurationError struct{}

func (*NoConfigurationError) Error() string { return "no configuration was published yet" }

// propose commits a command through the leader and returns its result once it is applied.
func (n *Node) propose(ctx context.Context, cmd *fleetpb.Command) (*fleetpb.CommandResult, error) {
	started := time.Now()
	result, err := n.proposeToLeader(ctx, cmd)
	n.cfg.Metrics.Proposed(time.Since(started), err)
	return result, err
}

// proposeAsLeader commits a command if this member leads the control group. It returns the
// command's result once this member has applied it. Errors: those of control.
func (n *Node) proposeAsLeader(ctx context.Context, cmd *fleetpb.Command) (*fleetpb.CommandResult, error) {
	data, err := fleetstate.Encode(cmd)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	encoded, err := n.control.Propose(ctx, data)
	n.cfg.Metrics.Proposed(time.Since(started), err)
	if err != nil {
		return nil, err
	}
	result := &fleetpb.CommandResult{}
	return result, proto.Unmarshal(encoded, result)
}

// proposeToLeader commits a command through this member, or through the leader if another
// member leads.
func (n *Node) proposeToLeader(ctx context.Context, cmd *fleetpb.Command) (*fleetpb.CommandResult, error) {
	data, err := fleetstate.Encode(cmd)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	encoded, err := n.control.Propose(ctx, data)
	if address, ok := control.LeaderAddressFrom(err); ok {
		var response *fleetpb.ProposeResponse
		response, err = fleetrpc.NewClient(n.http, address).Propose(ctx, &fleetpb.ProposeRequest{Command: data})
		encoded = response.GetResult()
	}
	if err != nil {
		return nil, err
	}
	result := &fleetpb.CommandResult{}
	return result, proto.Unmarshal(encoded, result)
}

// barrier waits until this member has applied every command that was committed before the
// call.
func (n *Node) barrier(ctx context.Context) error {
	err := n.control.ReadBarrier(ctx)
	address, ok := control.LeaderAddressFrom(err)
	if !ok {
		return err
	}
	response, err := fleetrpc.NewClient(n.http, address).Barrier(ctx, &fleetpb.BarrierRequest{})
	if err != nil {
		return &control.NotCurrentError{Cause: err}
	}
	for n.control.Status().Applied < response.Index {
		select {
		case <-time.After(applyPollInterval):
		case <-ctx.Done():
			return &control.NotCurrentError{Cause: ctx.Err()}
		}
	}
	return nil
}

// applyPollInterval is the interval at which barrier checks how far this member has
// applied the log.
const applyPollInterval = 2 * time.Millisecond

// Announce processes an endpoint's announcement. next is the address for later
// announcements; it is always empty because any control daemon accepts them. Errors:
// *registry.InvalidError, *UnknownServiceError, *SequenceError; the announcement then changes
// nothing.
func (n *Node) Announce(e *fleetpb.Endpoint) (next string, err error) {
	if err := registry.Check(e); err != nil {
		return "", err
	}
	held := n.hub.Newest(e.Id, e.Service)
	if !n.mayBelongTo(held, e.Service) {
		return "", &UnknownServiceError{Service: e.Service}
	}
	if held != nil && held.BornMs == e.BornMs && e.Sequence > held.Sequence+maxSequenceStep {
		return "", &SequenceError{Held: held.Sequence, Announced: e.Sequence}
	}
	n.recordEndpoints(n.hub.Merge(e))
	// It proves nothing about an endpoint of another service or address with the same id, and the
	// watcher remembers only endpoints that the table has room for.
	if record := n.hub.Endpoint(e.Id); record != nil && registry.KeyOf(record) == registry.KeyOf(e) {
		n.watcher.noteAnnouncement(e.Id)
	}
	return "", nil
}

// maxSequenceStep bounds how much higher than the last one the number of an announcement of the
// same process may be. A record with a number that the process does not reach would hide all
// its later announcements.
const maxSequenceStep = 1 << 32

// SequenceError reports an announcement whose number, Announced, is too far above the last one of
// the same process, Held.
type SequenceError struct{ Held, Announced uint64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("sequence number %d is too far above %d", e.Announced, e.Held)
}

// mayBelongTo reports whether an endpoint may be one of a service: the configuration defines
// the service, this daemon has no configuration yet, or the endpoint was accepted as one of the
// service before, which a later configuration may define again. held is the newest announcement
// of the endpoint and the service, or nil.
func (n *Node) mayBelongTo(held *fleetpb.Endpoint, service string) bool {
	config, _ := n.machine.Configuration()
	if config == nil || catalog.HasService(config, service) {
		return true
	}
	return held != nil
}

// UnknownServiceError reports an announcement of an endpoint of a service that the
// configuration does not define.
type UnknownServiceError struct{ Service string }

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("service %q is not defined", e.Service)
}

// CountRefused counts an announcement that was refused for the given reason.
func (n *Node) CountRefused(reason string) { n.cfg.Metrics.AnnouncementRefused(reason) }

// MarkGone processes an endpoint's message that it has ended. bornMs is the start time of the
// ended process in Unix milliseconds, or 0 for the process known at present.
func (n *Node) MarkGone(id string, bornMs int64) {
	if changes := n.hub.MarkGone(id, bornMs); !changes.IsEmpty() {
		n.log.Info("endpoint ended", "endpoint", id)
		n.recordEndpoints(changes)
	}
}

// recordEndpoints logs changed endpoints and has the control group record their announcements.
// Entries learn of the changes without the record, which is only needed after a restart. A failed
// record is therefore not retried: the endpoint's next change is recorded anyway.
func (n *Node) recordEndpoints(changes registry.Changes) {
	n.logChanges(changes.Records)
	for _, e := range changes.Announced {
		if !n.hub.Defines(e.Service) {
			n.log.Info("announcement kept until its service is defined", "endpoint", e.Id, "service", e.Service, "address", e.Address,
				"sequence", e.Sequence, "born", e.BornMs)
		}
		cmd := &fleetpb.Command{Kind: &fleetpb.Command_Announce{Announce: e}}
		go func() {
			if _, err := n.propose(context.Background(), cmd); err != nil {
				n.log.Info("control group did not record the endpoint", "endpoint", e.Id, "error", err.Error())
			}
		}()
	}
}

func (n *Node) logChanges(changed []*fleetpb.Endpoint) {
	for _, e := range changed {
		n.log.Info("endpoint changed", "endpoint", e.Id, "service", e.Service, "address", e.Address,
			"state", e.State.String(), "primary", e.Primary, "sequence", e.Sequence, "born", e.BornMs)
	}
}

// rpcServer implements the RPCs that other daemons call.
type rpcServer struct{ node *Node }

// Follow implements fleetpb.Fleet.
func (s *rpcServer) Follow(ctx context.Context, r *fleetpb.FollowRequest) (*fleetpb.FollowResponse, error) {
	return s.node.hub.Follow(ctx, r), nil
}

// Report implements fleetpb.Fleet.
func (s *rpcServer) Report(_ context.Context, r *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	s.node.watcher.handleReport(r)
	return &fleetpb.ReportResponse{}, nil
}

// ConfirmClosed implements fleetpb.Fleet.
func (s *rpcServer) ConfirmClosed(_ context.Context, r *fleetpb.ConfirmClosedRequest) (*fleetpb.ConfirmClosedResponse, error) {
	s.node.watcher.closings.confirm(r)
	return &fleetpb.ConfirmClosedResponse{}, nil
}

// Position implements fleetpb.Fleet. It does not check which endpoint is recorded as the
// primary: the endpoint itself refuses the request if it is not the primary.
func (s *rpcServer) Position(ctx context.Context, r *fleetpb.PositionRequest) (*fleetpb.PositionResponse, error) {
	e := s.node.hub.Endpoint(r.EndpointId)
	if e == nil {
		return nil, twirp.NotFoundError("endpoint is not known")
	}
	read := s.node.positions.Position
	if r.Replica {
		read = s.node.positions.Received
	}
	pos, err := read(ctx, stmtEndpoint(e))
	s.node.cfg.Metrics.PositionQueried(err)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &fleetpb.PositionResponse{Term: pos.Term, Index: pos.Index}, nil
}

// Propose implements fleetpb.Fleet.
func (s *rpcServer) Propose(ctx context.Context, r *fleetpb.ProposeRequest) (*fleetpb.ProposeResponse, error) {
	result, err := s.node.control.Propose(ctx, r.Command)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &fleetpb.ProposeResponse{Result: result}, nil
}

// Barrier implements fleetpb.Fleet.
func (s *rpcServer) Barrier(ctx context.Context, _ *fleetpb.BarrierRequest) (*fleetpb.BarrierResponse, error) {
	if err := s.node.control.ReadBarrier(ctx); err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &fleetpb.BarrierResponse{Index: s.node.control.Status().Applied}, nil
}
