package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	controlpb "hemlockmast/api/control"
	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/controlgroup/failover/driver"
	"hemlockmast/internal/controlgroup/groupstate"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/slotview"
	"hemlockmast/internal/endpointside/suspect"
)

const (
	// leadPoll is the interval at which a member looks whether it leads.
	leadPoll = 50 * time.Millisecond
	// proposeTimeout bounds the allocation of a term.
	proposeTimeout = 2 * time.Second
)

// Leader looks after the failovers of all groups while its member leads the
// control group. Two members that believe to lead may both promote: the terms
// that endpoints grant keep that safe.
type Leader struct {
	member *Member
	view   *slotview.View
	cfg    driver.Config
	log    logr.Logger

	// mu guards running.
	mu      sync.Mutex
	running *driver.Driver
}

// NewLeader returns a Leader. Connect, Confirmer, Recorder and Promoter of cfg
// must be set; the rest is set here.
func NewLeader(member *Member, view *slotview.View, cfg driver.Config, log logr.Logger) *Leader {
	l := &Leader{member: member, view: view, cfg: cfg, log: log}
	l.cfg.Terms = terms{member}
	l.cfg.Announcer = noAnnouncer{}
	l.cfg.Address = l.address
	view.Listen(func(st endpoint.Status, _ time.Time) { l.observe(st) })
	return l
}

// noAnnouncer tells nobody: holders and entries learn a new primary from the
// observers of its slot, at once.
type noAnnouncer struct{}

// Announce implements driver.Announcer.
func (noAnnouncer) Announce(string, failover.Current) {}

func (l *Leader) address(group, slot string) (string, bool) {
	g, ok := l.view.Group(group)
	if !ok {
		return "", false
	}
	s, ok := g.Slot(slot)
	if !ok || s.Endpoint.Addr == "" {
		return "", false
	}
	return s.Endpoint.Addr, true
}

// Run works until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.member.Leading() {
			if err := l.lead(ctx); err != nil {
				return err
			}
		}
		pause(ctx, leadPoll)
	}
	return nil
}

// lead runs a driver while the member leads.
func (l *Leader) lead(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := driver.New(ctx, l.cfg)
	if err != nil {
		return err
	}
	l.setRunning(d)
	defer l.setRunning(nil)
	l.log.Info("leads the control group")
	for ctx.Err() == nil && l.member.Leading() {
		for _, g := range l.view.Groups() {
			l.lookAfter(ctx, d, g)
		}
		pause(ctx, leadPoll)
	}
	cancel()
	return d.Wait()
}

func (l *Leader) setRunning(d *driver.Driver) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = d
}

func (l *Leader) driver() *driver.Driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// lookAfter tells the driver of a group's primary. A group without a record
// gets one once every slot is known, so that its first incarnations are.
func (l *Leader) lookAfter(ctx context.Context, d *driver.Driver, g *slotview.Group) {
	record, ok := l.member.Groups.Record(g.Name)
	if !ok {
		l.begin(ctx, g)
		return
	}
	primary, ok := g.Primary()
	if !ok {
		primary, ok = lastPrimary(g)
	}
	if !ok {
		return
	}
	d.Add(g.Name, failover.Current{
		Term:    primary.Status.Synced.Term,
		Primary: primary.Name,
		Members: groupstate.Members(record),
	})
}

// lastPrimary returns the slot that was primary in the latest term heard of,
// reachable or not, so that a new leader looks after a group whose primary is
// lost already.
func lastPrimary(g *slotview.Group) (*slotview.Slot, bool) {
	var last *slotview.Slot
	for i := range g.Slots {
		s := &g.Slots[i]
		if s.Known && s.Status.Role == endpoint.RolePrimary &&
			(last == nil || last.Status.Synced.Term < s.Status.Synced.Term) {
			last = s
		}
	}
	return last, last != nil
}

func (l *Leader) begin(ctx context.Context, g *slotview.Group) {
	cmd := &controlpb.GroupCommand{Group: g.Name}
	for i := range g.Slots {
		s := &g.Slots[i]
		if !s.Known || !s.Reachable || s.Status.Synced.IsZero() {
			return
		}
		cmd.AtLeast = max(cmd.AtLeast, s.Status.FencedTerm, s.Status.Synced.Term)
		cmd.Seen = append(cmd.Seen, &controlpb.SeenSlot{Slot: s.Name, Incarnation: s.Status.Incarnation})
	}
	if _, err := propose(ctx, l.member, cmd); err != nil {
		l.log.V(1).Info("group record not begun", "group", g.Name, "error", err.Error())
	}
}

// Report implements Reports.
func (l *Leader) Report(group string, r suspect.Report) {
	if d := l.driver(); d != nil {
		d.Report(group, r)
	}
}

func (l *Leader) observe(st endpoint.Status) {
	if d := l.driver(); d != nil {
		d.Observe(st.Group, st)
	}
}

// terms allocates terms through the agreed records.
type terms struct{ member *Member }

// Allocate implements driver.Terms.
func (t terms) Allocate(ctx context.Context, group string, atLeast uint64, seen []driver.Seen) (driver.Allocation, error) {
	cmd := &controlpb.GroupCommand{Group: group, Allocate: true, AtLeast: atLeast}
	for _, s := range seen {
		cmd.Seen = append(cmd.Seen, &controlpb.SeenSlot{Slot: s.Slot, Incarnation: s.Incarnation})
	}
	record, err := propose(ctx, t.member, cmd)
	if err != nil {
		return driver.Allocation{}, err
	}
	return driver.Allocation{Term: record.Term, Members: groupstate.Members(record)}, nil
}

func propose(ctx context.Context, m *Member, cmd *controlpb.GroupCommand) (*controlpb.GroupRecord, error) {
	data, err := groupstate.Encode(cmd)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := m.groupsLog().Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	return groupstate.DecodeResult(result)
}
