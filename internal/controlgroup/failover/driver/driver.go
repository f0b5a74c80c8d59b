// Package driver runs failure detection and promotions for many groups
// concurrently. It passes reports and answers to the state machines of packages
// suspect and failover, and carries out their effects over endpoint controllers.
//
// Each group has one goroutine, which owns the group's state and handles the
// messages of one queue. Commands run in goroutines of their own, one at a time
// for each slot. Lock order: Driver.mu and an attempt's mutex are never held
// together.
package driver

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/suspect"
)

const (
	// queueLength is the capacity of a group's message queue.
	queueLength = 64
	// defaultMaxPromotions is the limit of concurrent promotions.
	defaultMaxPromotions = 64
	// defaultCommandTimeout limits the time for connecting and one command
	// together.
	defaultCommandTimeout = 300 * time.Millisecond
	// minCorrectionInterval is the minimum time between corrections of one slot.
	minCorrectionInterval = 500 * time.Millisecond
	// newTermDelay is how long a slot must need a new term before a promotion
	// starts for it: another promoter may already be promoting.
	newTermDelay = 2 * time.Second
)

// Connect opens a controller of the endpoint in a slot. The connection counts
// towards the slot's connection limit.
type Connect func(ctx context.Context, group, slot string) (endpoint.Controller, error)

// Seen is a slot and the incarnation that the promoter last saw in it.
type Seen = quorum.Seen

// Allocation is an allocated term and the group's members.
type Allocation = quorum.Membership

// Terms allocates terms. Allocations must be durable and agreed on by the control
// group, because the rule on lost disks depends on them.
type Terms interface {
	// Allocate returns the group's membership after quorum.Membership.AllocateTerm.
	Allocate(ctx context.Context, group string, atLeast uint64, seen []Seen) (Allocation, error)
}

// Confirmer asks other failure domains to confirm a suspicion.
type Confirmer interface {
	// Confirm asks for a check of a slot and returns the first answer from a
	// failure domain outside ask.Except. An error means that none answered.
	Confirm(ctx context.Context, group string, ask suspect.AskConfirm) (suspect.Confirmation, error)
}

// Announcer announces new primaries to holders, which connect to endpoints, and to
// entries, which serve callers.
type Announcer interface {
	// Announce must not block.
	Announce(group string, primary failover.Current)
}

// Config configures a Driver. Promoter, Connect, Terms, Confirmer, Announcer and
// Address are required.
type Config struct {
	// Promoter names this daemon and its incarnation.
	Promoter  string
	Connect   Connect
	Terms     Terms
	Confirmer Confirmer
	Announcer Announcer
	// Recorder receives events for the time line; nil discards them.
	Recorder Recorder
	// Address returns the address at which other endpoints reach a slot's
	// endpoint; ok is false if it is unknown.
	Address func(group, slot string) (addr string, ok bool)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// MaxPromotions is the limit of concurrent promotions, and CommandTimeout
	// limits the time for connecting and one command together. These fields and
	// the timings below have defaults for their zero values.
	MaxPromotions   int
	CommandTimeout  time.Duration
	PromotionTiming failover.Timing
	SuspicionTiming suspect.Timing
}

// Driver detects failed primaries and runs promotions for the groups that were
// added to it.
type Driver struct {
	cfg Config
	// permits holds one token for each running promotion.
	permits chan struct{}
	tasks   *errgroup.Group
	ctx     context.Context

	mu     sync.Mutex // guards groups
	groups map[string]*group
}

// New returns a Driver that runs until ctx ends. The error is a *ConfigError.
func New(ctx context.Context, cfg Config) (*Driver, error) {
	if err := cfg.checkAndSetDefaults(); err != nil {
		return nil, err
	}
	tasks, ctx := errgroup.WithContext(ctx)
	return &Driver{
		cfg:     cfg,
		permits: make(chan struct{}, cfg.MaxPromotions),
		tasks:   tasks,
		ctx:     ctx,
		groups:  map[string]*group{},
	}, nil
}

// checkAndSetDefaults checks the required fields and fills in the others.
func (c *Config) checkAndSetDefaults() error {
	for _, field := range []struct {
		name    string
		missing bool
	}{
		{"Promoter", c.Promoter == ""},
		{"Connect", c.Connect == nil},
		{"Terms", c.Terms == nil},
		{"Confirmer", c.Confirmer == nil},
		{"Announcer", c.Announcer == nil},
		{"Address", c.Address == nil},
	} {
		if field.missing {
			return &ConfigError{Field: field.name}
		}
	}
	if c.Recorder == nil {
		c.Recorder = discardRecorder{}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.MaxPromotions == 0 {
		c.MaxPromotions = defaultMaxPromotions
	}
	if c.CommandTimeout == 0 {
		c.CommandTimeout = defaultCommandTimeout
	}
	if c.PromotionTiming == (failover.Timing{}) {
		c.PromotionTiming = failover.DefaultTiming()
	}
	if c.SuspicionTiming == (suspect.Timing{}) {
		c.SuspicionTiming = suspect.DefaultTiming()
	}
	return nil
}

// ConfigError reports a required field that is missing in a Config.
type ConfigError struct{ Field string }

func (e *ConfigError) Error() string { return "failover driver: " + e.Field + " is missing" }

// Wait returns once the context has ended and all goroutines have stopped.
func (d *Driver) Wait() error { return d.tasks.Wait() }

// Add starts to manage a group whose primary is known. If the group is managed
// already, Add passes the primary on to it.
func (d *Driver) Add(name string, current failover.Current) {
	d.mu.Lock()
	g, ok := d.groups[name]
	if !ok {
		g = newGroup(d, name, current)
		d.groups[name] = g
	}
	d.mu.Unlock()
	if ok {
		g.post(primaryMessage{current})
		return
	}
	d.tasks.Go(func() error { g.run(); return nil })
}

// Remove stops managing a group.
func (d *Driver) Remove(name string) {
	d.mu.Lock()
	g := d.groups[name]
	delete(d.groups, name)
	d.mu.Unlock()
	if g != nil {
		g.cancel()
	}
}

// Report passes an observer's report to its group. It ignores reports for unknown
// groups.
func (d *Driver) Report(name string, r suspect.Report) { d.post(name, suspicionMessage{r}) }

// Observe passes an endpoint's status to its group, which corrects the endpoint
// if it is out of line with the primary. Call it for every status that is read.
func (d *Driver) Observe(name string, st endpoint.Status) { d.post(name, statusMessage{st}) }

// post sends m to the named group, if the driver manages it.
func (d *Driver) post(name string, m message) {
	d.mu.Lock()
	g := d.groups[name]
	d.mu.Unlock()
	if g != nil {
		g.post(m)
	}
}
