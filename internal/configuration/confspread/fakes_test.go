package confspread

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/spreadstate"
)

// waitTimeout is how long a test waits for a condition.
const waitTimeout = 30 * time.Second

// linkError is the error of a call over a cut link or without a quorum.
type linkError struct{}

func (linkError) Error() string { return "link is cut" }

// fakeAgreement is a replicated log of one member that applies every proposal
// at once.
type fakeAgreement struct {
	state *StateMachine
	// loseResults makes Propose apply the command and then fail. noQuorum makes
	// Propose and ReadBarrier fail.
	loseResults, noQuorum atomic.Bool

	mu    sync.Mutex
	index uint64
}

func (a *fakeAgreement) Propose(_ context.Context, cmd []byte) ([]byte, error) {
	if a.noQuorum.Load() {
		return nil, linkError{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	result := a.state.Apply(a.index, cmd)
	if a.loseResults.Load() {
		return nil, linkError{}
	}
	return result, nil
}

func (a *fakeAgreement) ReadBarrier(context.Context) error {
	if a.noQuorum.Load() {
		return linkError{}
	}
	return nil
}

// linkState is the state of a link between two processes.
type linkState int

const (
	linkUp linkState = iota
	// linkCut makes calls fail at once.
	linkCut
	// linkFrozen makes calls block until their context ends.
	linkFrozen
)

// network connects the processes of a test by function calls.
type network struct {
	mu      sync.Mutex
	spread  map[string]confspread.Spread
	control map[string]confspread.Control
	// links holds the state of links from a daemon to an address. "*" stands for
	// any daemon or any address.
	links map[[2]string]linkState
	// controlPolls and daemonPolls count the polls that reach control and daemons.
	controlPolls, daemonPolls atomic.Int64
}

func newNetwork() *network {
	return &network{
		spread:  make(map[string]confspread.Spread),
		control: make(map[string]confspread.Control),
		links:   make(map[[2]string]linkState),
	}
}

func (n *network) setLink(from, to string, state linkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]string{from, to}] = state
}

// checkLink returns the error of the link, if any. It runs before and after each
// call, because a cut link loses responses too.
func (n *network) checkLink(ctx context.Context, from, to string) error {
	n.mu.Lock()
	state := max(n.links[[2]string{from, to}], n.links[[2]string{"*", to}], n.links[[2]string{from, "*"}])
	n.mu.Unlock()
	if state == linkFrozen {
		<-ctx.Done()
		return ctx.Err()
	}
	if state == linkCut {
		return linkError{}
	}
	return nil
}

// netPeers is the network as seen from one daemon.
type netPeers struct {
	net  *network
	from string
}

func (p netPeers) Spread(addr string) confspread.Spread { return netSpread{p, addr} }

func (p netPeers) Control(addr string) confspread.Control {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	return netControl{p.net.control[addr], p, addr}
}

type netSpread struct {
	netPeers
	addr string
}

func (s netSpread) Poll(ctx context.Context, request *confspread.PollRequest) (*confspread.PollResponse, error) {
	if err := s.net.checkLink(ctx, s.from, s.addr); err != nil {
		return nil, err
	}
	s.net.mu.Lock()
	server := s.net.spread[s.addr]
	s.net.mu.Unlock()
	if server == nil {
		return nil, linkError{}
	}
	s.net.daemonPolls.Add(1)
	response, err := server.Poll(ctx, request)
	if lost := s.net.checkLink(ctx, s.from, s.addr); lost != nil {
		return nil, lost
	}
	return response, err
}

type netControl struct {
	confspread.Control
	peers netPeers
	addr  string
}

func (c netControl) Poll(ctx context.Context, request *confspread.PollRequest) (*confspread.PollResponse, error) {
	if err := c.peers.net.checkLink(ctx, c.peers.from, c.addr); err != nil {
		return nil, err
	}
	c.peers.net.controlPolls.Add(1)
	response, err := c.Control.Poll(ctx, request)
	if lost := c.peers.net.checkLink(ctx, c.peers.from, c.addr); lost != nil {
		return nil, lost
	}
	return response, err
}

func (c netControl) Report(ctx context.Context, report *confspread.DomainReport) (*confspread.ReportResponse, error) {
	if err := c.peers.net.checkLink(ctx, c.peers.from, c.addr); err != nil {
		return nil, err
	}
	return c.Control.Report(ctx, report)
}

// cluster is one control process and the daemons of several failure domains.
type cluster struct {
	t         testing.TB
	net       *network
	agreement *fakeAgreement
	control   *Control
	members   []spreadstate.Member
	daemons   map[string]*Daemon
	stops     map[string]func()
	// clockOffset is added to the clock of every process, in nanoseconds.
	clockOffset atomic.Int64
}

const controlAddr = "control:1"

// newCluster returns a cluster of domains fd0, fd1 and so on, with perDomain
// members each. Its daemons are not started yet.
func newCluster(t testing.TB, domains, perDomain int) *cluster {
	state := NewStateMachine()
	c := &cluster{
		t:         t,
		net:       newNetwork(),
		agreement: &fakeAgreement{state: state},
		daemons:   make(map[string]*Daemon),
		stops:     make(map[string]func()),
	}
	for d := range domains {
		for i := range perDomain {
			name := fmt.Sprintf("fd%d-%d", d, i)
			c.members = append(c.members, spreadstate.Member{
				Name: name, FailureDomain: fmt.Sprint("fd", d), Addr: name, Live: true,
			})
		}
	}
	c.control = NewControl(ControlOptions{
		ReplicatedLog: c.agreement, State: state,
		Members: StaticMembers(c.members), Now: c.now, Log: logr.Discard(),
	})
	c.net.control[controlAddr] = c.control
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) now() time.Time { return time.Now().Add(time.Duration(c.clockOffset.Load())) }

func (c *cluster) startAll() {
	for _, member := range c.members {
		c.start(member, nil)
	}
}

func (c *cluster) start(member spreadstate.Member, store *Store) *Daemon {
	return c.startWithControl(member, store, []string{controlAddr})
}

func (c *cluster) startWithControl(member spreadstate.Member, store *Store, control []string) *Daemon {
	d := NewDaemon(Options{
		Self: member, Control: control, Members: StaticMembers(c.members),
		Peers: netPeers{c.net, member.Name}, Store: store, Now: c.now, Log: logr.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	c.net.mu.Lock()
	c.net.spread[member.Addr] = d
	c.net.mu.Unlock()
	c.daemons[member.Name] = d
	c.stops[member.Name] = func() {
		c.net.mu.Lock()
		delete(c.net.spread, member.Addr)
		c.net.mu.Unlock()
		cancel()
		<-done
	}
	return d
}

func (c *cluster) stop(name string) {
	c.stops[name]()
	delete(c.stops, name)
	delete(c.daemons, name)
}

func (c *cluster) stopAll() {
	var group sync.WaitGroup
	for _, stop := range c.stops {
		group.Go(stop)
	}
	group.Wait()
}

// relay returns the relay of the domain when all its members are live.
func (c *cluster) relay(domain string) spreadstate.Member {
	return spreadstate.Rank(c.members, domain)[0]
}

// publish makes the next revision and returns it.
func (c *cluster) publish() uint64 {
	c.t.Helper()
	cfg, _, _ := c.agreement.state.current()
	base := cfg.GetRevision()
	response, err := c.control.Publish(context.Background(), publishRequest(fmt.Sprint("c", base), base))
	assert.NilError(c.t, err)
	assert.Equal(c.t, response.GetAccepted().GetRevision(), base+1, "%v", response)
	return base + 1
}

// publishRequest returns a request whose configuration depends on id and base,
// so that two requests differ in content.
func publishRequest(id string, base uint64) *confspread.PublishRequest {
	return &confspread.PublishRequest{
		Change:        &configpb.Change{Id: id, Author: "author of " + id},
		BaseRevision:  base,
		Configuration: testConfiguration(base, id),
	}
}

func testConfiguration(base uint64, id string) *service.Configuration {
	return &service.Configuration{Groups: []*service.Group{{
		Name:      fmt.Sprintf("g-%s-%d", id, base%7),
		Databases: []string{"d"},
		Slots: []*service.Slot{
			{Name: "s1", FailureDomain: "fd0", ConnectionLimit: 20 + uint32(base%1000)},
		},
	}}}
}

// waitFor waits until condition holds. what names the condition in the failure
// message.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not seen in %s: %s; %s", waitTimeout, what, c.daemonStates())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (c *cluster) daemonStates() string {
	text := ""
	for name, d := range c.daemons {
		text += fmt.Sprintf(" %s=%d/%s", name, d.State().Revision, d.State().Mode)
	}
	return text
}

// waitAll waits until every running daemon runs revision and is confirmed.
func (c *cluster) waitAll(revision uint64) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("revision %d everywhere", revision), func() bool {
		for _, d := range c.daemons {
			state := d.State()
			if state.Revision != revision || state.Mode != confspread.Mode_MODE_CONFIRMED {
				return false
			}
		}
		return true
	})
}

// waitReported waits until control's status shows every member as reachable and
// at revision.
func (c *cluster) waitReported(revision uint64) {
	c.t.Helper()
	c.waitFor("reports of all daemons", func() bool {
		status, err := c.control.Status(context.Background(), &confspread.StatusRequest{})
		assert.NilError(c.t, err)
		for _, domain := range status.Domains {
			for _, member := range domain.Members {
				if member.Revision != revision || !member.Reachable {
					return false
				}
			}
		}
		return true
	})
}
