package confspread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/api/confspread"
	"hemlockmast/internal/configuration/spreadstate"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/agreelog"
	"hemlockmast/internal/controlgroup/control"
	"hemlockmast/internal/controlgroup/statemux"
	"hemlockmast/internal/testing/ports"
)

const (
	groupTick = 5 * time.Millisecond
	// configurationID identifies the configuration's state machine in the log.
	configurationID = 1
)

// member is a control VM. Its address and folder survive a restart of its
// process.
type member struct {
	name, agreeAddr, dir string
	isolated             atomic.Bool
	service              *Control
	agreement            *control.Control
	stop                 func()
}

// isolatingTransport drops all messages from and to isolated members.
type isolatingTransport struct {
	*control.TwirpTransport
	group *group
	from  *member
}

func (p isolatingTransport) Send(address string, request *agreepb.DeliverRequest) {
	if !p.group.isIsolated(p.from, address) {
		p.TwirpTransport.Send(address, request)
	}
}

// group is a control group of three members with disks, on loopback, and the
// daemons of two failure domains.
type group struct {
	*cluster
	members []*member
}

func newGroup(t *testing.T) *group {
	g := &group{cluster: newCluster(t, 2, 2)}
	for i := range 3 {
		g.members = append(g.members, &member{
			name: fmt.Sprint("c", i), agreeAddr: ports.Own(),
			dir: filepath.Join(t.TempDir(), "control"),
		})
	}
	for _, m := range g.members {
		g.startMember(m)
	}
	t.Cleanup(func() {
		for _, m := range g.members {
			m.stop()
		}
	})
	g.waitFor("three voters", func() bool {
		for _, m := range g.members {
			if status := m.agreement.Status(); !status.Voter || len(agree.Voters(status.Membership)) != len(g.members) {
				return false
			}
		}
		return true
	})
	return g
}

func (g *group) isIsolated(from *member, address string) bool {
	for _, m := range g.members {
		if m.agreeAddr == address {
			return from.isolated.Load() || m.isolated.Load()
		}
	}
	return false
}

func (g *group) startMember(m *member) {
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: &http.Transport{}}
	var peers []control.Peer
	for _, other := range g.members {
		peers = append(peers, control.Peer{Name: other.name, Address: other.agreeAddr})
	}
	state := NewStateMachine()
	mux, err := statemux.New(statemux.Part{ID: configurationID, Machine: state})
	assert.NilError(g.t, err)
	ticker := time.NewTicker(groupTick)
	agreement, err := control.Open(control.Config{
		Name: m.name, Address: m.agreeAddr, Peers: peers, FS: agreelog.OS{}, Dir: m.dir, Machine: mux,
		Transport: isolatingTransport{control.NewTwirpTransport(ctx, client, "http"), g, m}, Ticks: ticker.C,
		Rand: rand.IntN, NewID: rand.Uint64, Log: logr.Discard(),
		ElectionTicks: 20, HeartbeatTicks: 4, CompactBytes: 16 << 10,
	})
	assert.NilError(g.t, err)
	m.agreement = agreement
	m.service = NewControl(ControlOptions{
		ReplicatedLog: statemux.For(configurationID, agreement), State: state,
		Members: StaticMembers(g.cluster.members), Now: g.now, Log: logr.Discard(),
	})
	listener, err := net.Listen("tcp", m.agreeAddr)
	assert.NilError(g.t, err)
	server := &http.Server{Handler: control.Handler(agreement)}
	done := make(chan error, 1)
	go server.Serve(listener)
	go func() { done <- agreement.Run(ctx) }()
	g.net.mu.Lock()
	g.net.control[m.name] = m.service
	g.net.mu.Unlock()
	m.stop = sync.OnceFunc(func() {
		cancel()
		assert.Check(g.t, <-done == nil)
		server.Close()
		client.CloseIdleConnections()
		ticker.Stop()
	})
}

// publishToAny sends the same change to the members in turn until one of them
// knows its outcome.
func (g *group) publishToAny(id string, base uint64) *confspread.PublishResponse {
	var response *confspread.PublishResponse
	i := 0
	g.waitFor("outcome of "+id, func() bool {
		m := g.members[i%len(g.members)]
		i++
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var err error
		response, err = m.service.Publish(ctx, publishRequest(id, base))
		assert.NilError(g.t, err)
		return response.GetUnavailable() == nil
	})
	return response
}

// leader waits until a member passes a read barrier and returns it.
func (g *group) leader() *member {
	var leader *member
	g.waitFor("leader", func() bool {
		for _, m := range g.members {
			if m.agreement.ReadBarrier(context.Background()) == nil {
				leader = m
			}
		}
		return leader != nil
	})
	return leader
}

// TestControlGroupFaults injects a fault at the leader of a real control group
// between two publications. All daemons must run the second one.
func TestControlGroupFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(g *group, leader *member)
		heal   func(g *group, leader *member)
		// cut is a failure domain that cannot learn of the second publication until
		// the fault is healed.
		cut string
	}{
		{"leader killed", func(_ *group, leader *member) { leader.stop() },
			func(g *group, leader *member) { g.startMember(leader) }, ""},
		{"leader cut off from the group, not from daemons",
			func(_ *group, leader *member) { leader.isolated.Store(true) },
			func(_ *group, leader *member) { leader.isolated.Store(false) }, ""},
		{"leader killed and its failure domain cut off",
			func(g *group, leader *member) { leader.stop(); g.cut("fd0", linkCut) },
			func(g *group, leader *member) { g.startMember(leader); g.cut("fd0", linkUp) }, "fd0"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t)
			leader := g.leader()
			g.startGroupDaemons(nil, leader)
			first := g.publishToAny("first", 0)
			assert.Equal(t, first.GetAccepted().GetRevision(), uint64(1), "%v", first)
			g.waitAll(1)
			leader = g.leader()
			tc.inject(g, leader)
			second := g.publishToAny("second", 1)
			assert.Equal(t, second.GetAccepted().GetRevision(), uint64(2), "%v", second)
			again := g.publishToAny("second", 1)
			assert.Equal(t, again.GetAccepted().GetRevision(), uint64(2), "%v", again)
			late := g.publishToAny("late", 1)
			assert.Equal(t, late.GetConflict().GetWinner().GetId(), "second", "%v", late)
			g.waitOutside(tc.cut, false, 2)
			tc.heal(g, leader)
			g.waitAll(2)
		})
	}
}

// cut sets the state of the links between the domain and everything outside it,
// the control group included.
func (g *group) cut(domain string, state linkState) {
	g.cluster.cut(domain, state)
	for _, inside := range spreadstate.Rank(g.cluster.members, domain) {
		for _, m := range g.members {
			g.net.setLink(inside.Name, m.name, state)
		}
	}
}

// startGroupDaemons starts all daemons. They try the control member first before
// the others.
func (g *group) startGroupDaemons(stores map[string]*Store, first *member) {
	addrs := []string{first.name}
	for _, m := range g.members {
		if m != first {
			addrs = append(addrs, m.name)
		}
	}
	for _, daemon := range g.cluster.members {
		g.startWithControl(daemon, stores[daemon.Name], addrs)
	}
}

// TestEverythingRestartsAfter500Changes stops all processes after 500 changes
// and starts them again. All daemons must run the same configuration, and a
// resend of the last change must get its first result.
func TestEverythingRestartsAfter500Changes(t *testing.T) {
	const changes = 500
	g := newGroup(t)
	stores := make(map[string]*Store)
	for _, daemon := range g.cluster.members[:2] {
		stores[daemon.Name] = NewStore(t.TempDir())
	}
	leader := g.leader()
	g.startGroupDaemons(stores, leader)
	for i := range uint64(changes) {
		response, err := leader.service.Publish(context.Background(), publishRequest(fmt.Sprint("c", i), i))
		assert.NilError(t, err)
		if response.GetUnavailable() != nil {
			response = g.publishToAny(fmt.Sprint("c", i), i)
			leader = g.leader()
		}
		assert.Equal(t, response.GetAccepted().GetRevision(), i+1, "%v", response)
	}
	g.waitAll(changes)
	for _, daemon := range g.cluster.members {
		g.cluster.stop(daemon.Name)
	}
	for _, m := range g.members {
		m.stop()
	}
	for _, m := range g.members {
		g.startMember(m)
	}
	g.startGroupDaemons(stores, g.members[0])
	g.waitAll(changes)
	again := g.publishToAny("c499", 499)
	assert.Equal(t, again.GetAccepted().GetRevision(), uint64(changes), "%v", again)
	want, _, _ := g.leader().service.opts.State.current()
	for name, d := range g.daemons {
		assert.Assert(t, proto.Equal(d.Configuration(), want), name)
	}
}
