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

// patience is how long a test waits for a condition.
const patience = 30 * time.Second

// linkError is what a cut link gives.
type linkError struct{}

func (linkError) Error() string { return "link is cut" }

// fakeAgreement is a group of one that applies what is proposed.
type fakeAgreement struct {
	state *Published
	// loseAnswers makes Propose apply and fail; noQuorum makes everything fail.
	loseAnswers, noQuorum atomic.Bool

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
	if a.loseAnswers.Load() {
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

// linkState is what a link does to a message.
type linkState int

const (
	linkUp linkState = iota
	// linkCut fails at once.
	linkCut
	// linkFrozen gives no answer until the caller gives up.
	linkFrozen
)

// network carries calls between the processes of a test by function call.
type network struct {
	mu      sync.Mutex
	spread  map[string]confspread.Spread
	control map[string]confspread.Control
	// links holds the state of links from a daemon, or "*", to an address.
	links map[[2]string]linkState
	// controlPolls counts the polls that reach control.
	controlPolls, daemonPolls atomic.Int64
}

func newNetwork() *network {
	return &network{
		spread:  make(map[string]confspread.Spread),
		control: make(map[string]confspread.Control),
		links:   make(map[[2]string]linkState),
	}
}

func (n *network) set(from, to string, state linkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[[2]string{from, to}] = state
}

// pass is run before and after each call, as a cut strikes answers too.
func (n *network) pass(ctx context.Context, from, to string) error {
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

// netPeers are the links of one daemon.
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
	if err := s.net.pass(ctx, s.from, s.addr); err != nil {
		return nil, err
	}
	s.net.mu.Lock()
	server := s.net.spread[s.addr]
	s.net.mu.Unlock()
	if server == nil {
		return nil, linkError{}
	}
	s.net.daemonPolls.Add(1)
	answer, err := server.Poll(ctx, request)
	if lost := s.net.pass(ctx, s.from, s.addr); lost != nil {
		return nil, lost
	}
	return answer, err
}

type netControl struct {
	confspread.Control
	peers netPeers
	addr  string
}

func (c netControl) Poll(ctx context.Context, request *confspread.PollRequest) (*confspread.PollResponse, error) {
	if err := c.peers.net.pass(ctx, c.peers.from, c.addr); err != nil {
		return nil, err
	}
	c.peers.net.controlPolls.Add(1)
	answer, err := c.Control.Poll(ctx, request)
	if lost := c.peers.net.pass(ctx, c.peers.from, c.addr); lost != nil {
		return nil, lost
	}
	return answer, err
}

func (c netControl) Report(ctx context.Context, report *confspread.DomainReport) (*confspread.ReportResponse, error) {
	if err := c.peers.net.pass(ctx, c.peers.from, c.addr); err != nil {
		return nil, err
	}
	return c.Control.Report(ctx, report)
}

// cluster is control and the daemons of some failure domains.
type cluster struct {
	t         testing.TB
	net       *network
	agreement *fakeAgreement
	control   *Control
	members   []spreadstate.Member
	daemons   map[string]*Daemon
	stops     map[string]func()
	// skew is added to the clock of every process.
	skew atomic.Int64
}

const controlAddr = "control:1"

// newCluster returns a running cluster of domains fd0, fd1 and so on, with
// perDomain daemons each.
func newCluster(t testing.TB, domains, perDomain int) *cluster {
	state := NewPublished()
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
		Agreement: c.agreement, State: state,
		Members: StaticMembers(c.members), Now: c.now, Log: logr.Discard(),
	})
	c.net.control[controlAddr] = c.control
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) now() time.Time { return time.Now().Add(time.Duration(c.skew.Load())) }

func (c *cluster) startAll() {
	for _, member := range c.members {
		c.start(member, nil)
	}
}

func (c *cluster) start(member spreadstate.Member, store *Store) *Daemon {
	return c.startWith(member, store, []string{controlAddr})
}

func (c *cluster) startWith(member spreadstate.Member, store *Store, control []string) *Daemon {
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

// relay returns the member of the domain that the others poll.
func (c *cluster) relay(domain string) spreadstate.Member {
	return spreadstate.Rank(c.members, domain)[0]
}

// publish makes the next revision and returns it.
func (c *cluster) publish() uint64 {
	c.t.Helper()
	cfg, _, _ := c.agreement.state.current()
	base := cfg.GetRevision()
	answer, err := c.control.Publish(context.Background(), publishRequest(fmt.Sprint("c", base), base))
	assert.NilError(c.t, err)
	assert.Equal(c.t, answer.GetAccepted().GetRevision(), base+1, "%v", answer)
	return base + 1
}

// publishRequest publishes a configuration that no other base and id gives.
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

// wait waits until condition holds.
func (c *cluster) wait(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not seen in %s: %s; %s", patience, what, c.describe())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (c *cluster) describe() string {
	text := ""
	for name, d := range c.daemons {
		text += fmt.Sprintf(" %s=%d/%s", name, d.State().Revision, d.State().Mode)
	}
	return text
}

// waitAll waits until every running daemon has confirmed revision.
func (c *cluster) waitAll(revision uint64) {
	c.t.Helper()
	c.wait(fmt.Sprintf("revision %d everywhere", revision), func() bool {
		for _, d := range c.daemons {
			state := d.State()
			if state.Revision != revision || state.Mode != confspread.Mode_MODE_CONFIRMED {
				return false
			}
		}
		return true
	})
}

// waitReported waits until control knows that every member runs revision.
func (c *cluster) waitReported(revision uint64) {
	c.t.Helper()
	c.wait("reports of all daemons", func() bool {
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
