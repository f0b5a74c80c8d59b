package driver

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"hemlockmast/api/control"
	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/controlgroup/groupstate"
	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/suspect"
	"hemlockmast/internal/shared/logpos"
)

const (
	fakeConnectDelay = 10 * time.Millisecond
	fakeRoundTrip    = time.Millisecond
)

var slots = []string{"a", "b", "c"}

// fakeNet holds the fake endpoints of some groups.
type fakeNet struct {
	mu         sync.Mutex
	endpoints  map[string]*fakeEndpoint // by group/slot
	inProgress int                      // commands in progress
	peak       int
}

// fakeEndpoint keeps the endpoint contract in memory. It refuses connections and
// commands while down, and does not answer while frozen.
type fakeEndpoint struct {
	st           endpoint.Status
	down, frozen bool
}

func newFakeNet(groups int) *fakeNet {
	n := &fakeNet{endpoints: map[string]*fakeEndpoint{}}
	for g := range groups {
		for _, s := range slots {
			st := endpoint.Status{Group: groupName(g), Slot: s, Incarnation: s + "1", FencedTerm: 1, Synced: logpos.Pos{Term: 1, Index: 1}}
			if s == "a" {
				st.Role = endpoint.RolePrimary
			}
			n.endpoints[groupName(g)+"/"+s] = &fakeEndpoint{st: st}
		}
	}
	return n
}

func groupName(g int) string { return fmt.Sprintf("g%d", g) }

func initialPrimary() failover.Current {
	var members []quorum.Member
	for _, s := range slots {
		members = append(members, quorum.Member{Slot: s, Incarnation: s + "1"})
	}
	return failover.Current{Term: 1, Primary: "a", Members: members}
}

func (n *fakeNet) update(group, slot string, do func(e *fakeEndpoint)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.endpoints[group+"/"+slot])
}

func (n *fakeNet) status(group, slot string) (st endpoint.Status) {
	n.update(group, slot, func(e *fakeEndpoint) { st = e.st })
	return st
}

func (n *fakeNet) connect(ctx context.Context, group, slot string) (endpoint.Controller, error) {
	c := &fakeController{n: n, group: group, slot: slot}
	if _, err := c.call(ctx, fakeConnectDelay, func(*fakeEndpoint) error { return nil }); err != nil {
		return nil, err
	}
	return c, nil
}

type downError struct{}

func (downError) Error() string { return "connection refused" }

type fakeController struct {
	n           *fakeNet
	group, slot string
}

func (c *fakeController) call(ctx context.Context, delay time.Duration, do func(e *fakeEndpoint) error) (endpoint.Status, error) {
	c.n.count(+1)
	defer c.n.count(-1)
	time.Sleep(delay)
	for {
		var err error
		var frozen bool
		var st endpoint.Status
		c.n.update(c.group, c.slot, func(e *fakeEndpoint) {
			switch frozen = e.frozen; {
			case frozen:
			case e.down:
				err = downError{}
			default:
				err = do(e)
			}
			st = e.st
		})
		if !frozen {
			return st, err
		}
		select {
		case <-ctx.Done():
			return endpoint.Status{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (n *fakeNet) count(by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inProgress += by
	n.peak = max(n.peak, n.inProgress)
}

func (c *fakeController) Status(ctx context.Context) (endpoint.Status, error) {
	return c.call(ctx, fakeRoundTrip, func(*fakeEndpoint) error { return nil })
}

func (c *fakeController) Wait(ctx context.Context, seen endpoint.Status, timeout time.Duration) (endpoint.Status, error) {
	for end := time.Now().Add(timeout); ; {
		st, err := c.Status(ctx)
		if err != nil || time.Now().After(end) || st.Synced != seen.Synced || st.Role != seen.Role || st.FencedTerm != seen.FencedTerm {
			return st, err
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *fakeController) Fence(ctx context.Context, term uint64, promoter string) (endpoint.Status, error) {
	return c.call(ctx, fakeRoundTrip, func(e *fakeEndpoint) error {
		if term < e.st.FencedTerm || term == e.st.FencedTerm && promoter != e.st.FencedBy {
			return &endpoint.FencedError{Term: term, FencedTerm: e.st.FencedTerm, FencedBy: e.st.FencedBy}
		}
		e.st.FencedTerm, e.st.FencedBy = term, promoter
		return nil
	})
}

func (c *fakeController) Promote(ctx context.Context, term uint64, promoter string) (endpoint.Status, error) {
	return c.call(ctx, fakeRoundTrip, func(e *fakeEndpoint) error {
		if term != e.st.FencedTerm || promoter != e.st.FencedBy {
			return &endpoint.FencedError{Term: term, FencedTerm: e.st.FencedTerm, FencedBy: e.st.FencedBy}
		}
		if e.st.Role != endpoint.RolePrimary || e.st.Synced.Term != term {
			e.st.Role, e.st.Synced = endpoint.RolePrimary, logpos.Pos{Term: term, Index: e.st.Synced.Index + 1}
		}
		return nil
	})
}

// Follow copies the log of the primary at addr, which has the form group/slot.
func (c *fakeController) Follow(ctx context.Context, term uint64, addr string) (endpoint.Status, error) {
	return c.call(ctx, fakeRoundTrip, func(e *fakeEndpoint) error {
		if term < e.st.FencedTerm {
			return &endpoint.FencedError{Term: term, FencedTerm: e.st.FencedTerm, FencedBy: e.st.FencedBy}
		}
		e.st.Role, e.st.FencedTerm, e.st.Synced = endpoint.RoleReplica, term, c.n.endpoints[addr].st.Synced
		return nil
	})
}

func (c *fakeController) Close() error { return nil }

// fakeTerms allocates terms for all drivers of a test through the state machine
// of the control group.
type fakeTerms struct {
	mu           sync.Mutex
	state        *groupstate.State
	failuresLeft int // number of calls that still fail
}

func newFakeTerms() *fakeTerms { return &fakeTerms{state: groupstate.New()} }

// recordMembers records the members of a group whose primary has term 1.
func (f *fakeTerms) recordMembers(group string, members []quorum.Member) {
	cmd := &control.GroupCommand{Group: group, AtLeast: 1}
	for _, m := range members {
		cmd.Seen = append(cmd.Seen, &control.SeenSlot{Slot: m.Slot, Incarnation: m.Incarnation})
	}
	f.state.Apply(1, cmd)
}

func (f *fakeTerms) Allocate(_ context.Context, group string, atLeast uint64, seen []Seen) (Allocation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failuresLeft > 0 {
		f.failuresLeft--
		return Allocation{}, downError{}
	}
	f.recordMembers(group, initialPrimary().Members)
	cmd := &control.GroupCommand{Group: group, Allocate: true, AtLeast: atLeast}
	for _, s := range seen {
		cmd.Seen = append(cmd.Seen, &control.SeenSlot{Slot: s.Slot, Incarnation: s.Incarnation})
	}
	record, err := groupstate.DecodeResult(f.state.Apply(2, cmd))
	if err != nil {
		return Allocation{}, err
	}
	return Allocation{Term: record.Term, Members: groupstate.Members(record)}, nil
}

// harness is a driver over a fakeNet. It is also the driver's Confirmer, Announcer
// and Recorder.
type harness struct {
	net    *fakeNet
	driver *Driver

	mu            sync.Mutex
	announced     []failover.Current
	announcements chan struct{}
	events        []Event
}

func newHarness(t testing.TB, ctx context.Context, net *fakeNet, terms *fakeTerms, promoter string, maxPromotions int) *harness {
	r := &harness{net: net, announcements: make(chan struct{}, 10_000)}
	d, err := New(ctx, Config{
		Promoter: promoter, Connect: net.connect, Terms: terms, Confirmer: r, Announcer: r, Recorder: r,
		Address:       func(group, slot string) (string, bool) { return group + "/" + slot, true },
		MaxPromotions: maxPromotions,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.driver = d
	return r
}

func (r *harness) Confirm(ctx context.Context, group string, ask suspect.AskConfirm) (suspect.Confirmation, error) {
	c, err := r.net.connect(ctx, group, ask.Slot)
	if err == nil {
		_, err = c.Status(ctx)
	}
	level := suspect.Well
	if err != nil {
		level = suspect.Undialable
	}
	return suspect.Confirmation{Domain: "far", Slot: ask.Slot, Level: level}, nil
}

func (r *harness) Announce(_ string, primary failover.Current) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announced = append(r.announced, primary)
	r.announcements <- struct{}{}
}

func (r *harness) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

func (r *harness) primary() failover.Current {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.announced) == 0 {
		return failover.Current{}
	}
	return r.announced[len(r.announced)-1]
}

// awaitPrimary fails the test if no primary is announced within the given time.
func (r *harness) awaitPrimary(t testing.TB, within time.Duration) {
	t.Helper()
	select {
	case <-r.announcements:
	case <-time.After(within):
		t.Errorf("no primary announced within %v", within)
	}
}

func (r *harness) count(k Kind) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if e.Kind == k {
			n++
		}
	}
	return n
}
