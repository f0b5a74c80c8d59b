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
	// leadershipPollInterval is the interval at which a member checks whether it
	// leads and, as leader, supervises the groups.
	leadershipPollInterval = 50 * time.Millisecond
	// groupProposeTimeout bounds the proposal of one command on a group's record,
	// such as the allocation of a term.
	groupProposeTimeout = 2 * time.Second
)

// Leader runs the failovers of all database groups while its member leads the
// control group. Two members that both consider themselves leader may both
// promote an endpoint. That is safe, because an endpoint grants a term to one
// promoter only.
type Leader struct {
	member *Member
	view   *slotview.View
	cfg    driver.Config
	log    logr.Logger

	// mu guards running.
	mu      sync.Mutex
	running *driver.Driver
}

// NewLeader returns a Leader. The caller must set Connect, Confirmer, Recorder and
// Promoter of cfg; NewLeader sets Terms, Announcer and Address.
func NewLeader(member *Member, view *slotview.View, cfg driver.Config, log logr.Logger) *Leader {
	l := &Leader{member: member, view: view, cfg: cfg, log: log}
	l.cfg.Terms = termAllocator{member}
	l.cfg.Announcer = noAnnouncer{}
	l.cfg.Address = l.address
	view.Listen(func(st endpoint.Status, _ time.Time) { l.reportStatus(st) })
	return l
}

// noAnnouncer announces nothing, because holders and entries learn of a new primary
// immediately from the observers of its slot.
type noAnnouncer struct{}

// Announce implements driver.Announcer.
func (noAnnouncer) Announce(string, failover.Current) {}

// address returns the address of the endpoint in a slot; ok is false if unknown.
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

// Run runs failovers whenever the member leads, until ctx ends. It returns an
// error if a driver fails.
func (l *Leader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.member.IsLeader() {
			if err := l.runDriver(ctx); err != nil {
				return err
			}
		}
		pause(ctx, leadershipPollInterval)
	}
	return nil
}

// runDriver runs a failover driver while the member leads.
func (l *Leader) runDriver(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := driver.New(ctx, l.cfg)
	if err != nil {
		return err
	}
	l.setRunning(d)
	defer l.setRunning(nil)
	l.log.Info("leads the control group")
	for ctx.Err() == nil && l.member.IsLeader() {
		for _, g := range l.view.Groups() {
			l.superviseGroup(ctx, d, g)
		}
		pause(ctx, leadershipPollInterval)
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

// superviseGroup passes a group's current primary to the driver. For a group
// without a record it tries to create one instead.
func (l *Leader) superviseGroup(ctx context.Context, d *driver.Driver, g *slotview.Group) {
	record, ok := l.member.Groups.Record(g.Name)
	if !ok {
		l.createRecord(ctx, g)
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

// lastPrimary returns the slot that was primary in the highest known term,
// reachable or not. It lets a new leader supervise a group whose primary was lost
// before.
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

// createRecord proposes the record of a group once every slot is known and
// reachable, so that the record holds the first incarnation of every slot.
func (l *Leader) createRecord(ctx context.Context, g *slotview.Group) {
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
		l.log.V(1).Info("group record not created", "group", g.Name, "error", err.Error())
	}
}

// Report implements Reports. It drops the report unless this member leads.
func (l *Leader) Report(group string, r suspect.Report) {
	if d := l.driver(); d != nil {
		d.Report(group, r)
	}
}

func (l *Leader) reportStatus(st endpoint.Status) {
	if d := l.driver(); d != nil {
		d.Observe(st.Group, st)
	}
}

// termAllocator allocates terms through the replicated group records.
type termAllocator struct{ member *Member }

// Allocate implements driver.Terms.
func (t termAllocator) Allocate(ctx context.Context, group string, atLeast uint64, seen []driver.Seen) (driver.Allocation, error) {
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

// propose replicates a command on a group's record and returns the new record.
func propose(ctx context.Context, m *Member, cmd *controlpb.GroupCommand) (*controlpb.GroupRecord, error) {
	data, err := groupstate.Encode(cmd)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, groupProposeTimeout)
	defer cancel()
	result, err := m.groupsLog().Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	return groupstate.DecodeResult(result)
}
