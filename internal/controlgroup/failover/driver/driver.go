// Package driver runs the suspicions and promotions of many groups side by
// side: it feeds packages suspect and failover with reports and answers, and
// carries their effects out over endpoint controllers.
//
// Each group has one goroutine that owns its state and takes messages from one
// queue; commands run beside it, one at a time for each slot. Lock order:
// Driver.mu and attempt locks are never held together.
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
	// queueLength bounds the messages that wait for a group's goroutine.
	queueLength = 64
	// defaultMaxPromotions bounds the promotions that run at once.
	defaultMaxPromotions = 64
	// defaultCommandTimeout bounds a connection attempt and a command together.
	defaultCommandTimeout = 300 * time.Millisecond
	// correctInterval is the least time between corrections of one slot.
	correctInterval = 500 * time.Millisecond
	// termHold is how long only a new term must help a group before it gets one:
	// another promoter may be at work.
	termHold = 2 * time.Second
)

// Connect opens a controller of the endpoint in a slot. It counts towards the
// slot's connection limit.
type Connect func(ctx context.Context, group, slot string) (endpoint.Controller, error)

// Seen is an incarnation that the promoter saw in a slot.
type Seen = quorum.Seen

// Allocation is a term and the members that count in it.
type Allocation = quorum.Book

// Terms allocates terms. It has to be durable and agreed: the rule on lost disks
// rests on it.
type Terms interface {
	// Allocate returns the group's book after quorum.Book.Allocate.
	Allocate(ctx context.Context, group string, atLeast uint64, seen []Seen) (Allocation, error)
}

// Confirmer asks observers of other failure domains.
type Confirmer interface {
	// Confirm asks for a check of a slot. The answer is the first that a failure
	// domain outside ask.Except gives; an error means that none answered.
	Confirm(ctx context.Context, group string, ask suspect.AskConfirm) (suspect.Confirmation, error)
}

// Announcer tells holders and entries of a new primary. It must not block.
type Announcer interface {
	Announce(group string, primary failover.Current)
}

// Config is what a Driver needs. Connect, Terms, Confirmer and Announcer are
// required.
type Config struct {
	// Promoter names this daemon and its incarnation.
	Promoter  string
	Connect   Connect
	Terms     Terms
	Confirmer Confirmer
	Announcer Announcer
	// Recorder takes events for the time line; nil drops them.
	Recorder Recorder
	// Address returns the address at which other endpoints reach a slot's.
	Address func(group, slot string) (addr string, ok bool)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// MaxPromotions and CommandTimeout have defaults where they are zero.
	MaxPromotions  int
	CommandTimeout time.Duration
	Promotion      failover.Timing
	Suspicion      suspect.Timing
}

// Driver runs the groups that were added to it.
type Driver struct {
	cfg   Config
	turns chan struct{}
	tasks *errgroup.Group
	ctx   context.Context

	mu     sync.Mutex // guards groups
	groups map[string]*group
}

// New returns a Driver that works until ctx ends. The error is *ConfigError.
func New(ctx context.Context, cfg Config) (*Driver, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	tasks, ctx := errgroup.WithContext(ctx)
	return &Driver{
		cfg:    cfg,
		turns:  make(chan struct{}, cfg.MaxPromotions),
		tasks:  tasks,
		ctx:    ctx,
		groups: map[string]*group{},
	}, nil
}

func (c *Config) complete() error {
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
		c.Recorder = discard{}
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
	if c.Promotion == (failover.Timing{}) {
		c.Promotion = failover.DefaultTiming()
	}
	if c.Suspicion == (suspect.Timing{}) {
		c.Suspicion = suspect.DefaultTiming()
	}
	return nil
}

// ConfigError reports a Config without a required field.
type ConfigError struct{ Field string }

func (e *ConfigError) Error() string { return "failover driver: " + e.Field + " is missing" }

// Wait returns once the context has ended and all work has stopped.
func (d *Driver) Wait() error { return d.tasks.Wait() }

// Add begins to look after a group whose primary is known; a group that is
// there already is told of the primary.
func (d *Driver) Add(name string, current failover.Current) {
	d.mu.Lock()
	g, ok := d.groups[name]
	if !ok {
		g = newGroup(d, name, current)
		d.groups[name] = g
	}
	d.mu.Unlock()
	if ok {
		g.post(known{current})
		return
	}
	d.tasks.Go(func() error { g.run(); return nil })
}

// Remove stops looking after a group.
func (d *Driver) Remove(name string) {
	d.mu.Lock()
	g := d.groups[name]
	delete(d.groups, name)
	d.mu.Unlock()
	if g != nil {
		g.cancel()
	}
}

// Report passes an observer's report on. Reports of unknown groups are dropped.
func (d *Driver) Report(name string, r suspect.Report) { d.post(name, heard{r}) }

// Observe passes the status of an endpoint on, as often as it is read. What is
// out of line with the group's primary gets corrected.
func (d *Driver) Observe(name string, st endpoint.Status) { d.post(name, observed{st}) }

func (d *Driver) post(name string, m message) {
	d.mu.Lock()
	g := d.groups[name]
	d.mu.Unlock()
	if g != nil {
		g.post(m)
	}
}
