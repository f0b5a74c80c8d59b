// Package daemon assembles a daemon from its parts, according to its settings.
package daemon

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"hemlockmast/api/service"
	timelinepb "hemlockmast/api/timeline"
	"hemlockmast/internal/configuration/servicefile"
	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/holder"
	"hemlockmast/internal/endpointside/slotview"
	"hemlockmast/internal/endpointside/watch"
	"hemlockmast/internal/entryside/acks"
	"hemlockmast/internal/entryside/entry"
	"hemlockmast/internal/entryside/routing"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/entryside/session/directory"
	"hemlockmast/internal/entryside/session/directoryrpc"
	"hemlockmast/internal/entryside/sessions"
	"hemlockmast/internal/membership/assign"
	"hemlockmast/internal/membership/runner"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/settings"
	"hemlockmast/internal/shared/timeline"
	"hemlockmast/internal/shared/timeline/timelinerpc"
	"hemlockmast/internal/wire/exchange"
	hlink "hemlockmast/internal/wire/link"
)

// directoryLimits limits this daemon's partition of the session directory.
var directoryLimits = directory.Limits{MaxEntries: 200_000, TTL: time.Hour}

const (
	// directoryTimeout bounds one call to the session directory.
	directoryTimeout = time.Second
	// dialTimeout bounds the dial to an endpoint. It also bounds how long the
	// admin server waits for the header of a request.
	dialTimeout = 2 * time.Second
	// shutdownTimeout bounds the graceful shutdown of the admin server.
	shutdownTimeout = time.Second
)

// Daemon is one daemon of the proxy.
type Daemon struct {
	settings *settings.Settings
	log      logr.Logger
	// incarnation distinguishes this run of the daemon from earlier ones.
	incarnation string

	view    *slotview.View
	hub     *watch.Hub
	acks    *acks.Tracker
	holder  *holder.Holder
	catalog *catalog
	entry   *entry.Server
	link    *hlink.Server
	// directory reads and writes the floors of named sessions on all daemons.
	// directoryServer serves the partition that this daemon stores.
	directory       *directoryrpc.Client
	directoryServer *directoryrpc.Server
	members         *runner.Runner
	control         controlParts
	journal         *timeline.Journal
	metrics         *metrics.Set
	// primaryTracker detects when a primary is superseded.
	primaryTracker *primaryTracker
	admission      admitter
	// recorder writes the events of failovers to the journal.
	recorder recorder
	peers    *peerSet
	// ready is the state that /readyz reports.
	ready atomic.Bool
	// inForce is set once a configuration is in force.
	inForce atomic.Bool
	// seq is the sequence number of the last status that this daemon published.
	seq atomic.Uint64

	listeners listeners

	// mu guards watchers.
	mu       sync.Mutex
	watchers map[slotKey]*runningWatcher
}

type slotKey struct{ group, slot string }

// listeners are the daemon's listening sockets. callers is nil without the role
// entry.
type listeners struct {
	callers net.Listener
	link    net.Listener
	admin   net.Listener
}

// Options are parameters of a daemon that do not come from its settings.
type Options struct {
	Log logr.Logger
}

// New opens the listeners of the settings and returns a Daemon that does not run
// yet.
func New(s *settings.Settings, opts Options) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		log:         opts.Log.WithValues("daemon", s.Name),
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		view:        slotview.New(),
		hub:         watch.NewHub(),
		catalog:     newCatalog(),
		peers:       newPeerSet(s.Name),
		watchers:    map[slotKey]*runningWatcher{},
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	members, err := runner.New(runner.Config{Self: self(s), Seeds: seeds(s)})
	if err != nil {
		return nil, err
	}
	d.members = members
	d.journal = newJournal(s.Name)
	d.metrics = metrics.New()
	d.primaryTracker = newPrimaryTracker()
	d.admission = newAdmitter(d.metrics)
	d.recorder = recorder{d.journal}
	d.acks = acks.New(d.ackMembers, d.recordFirstWrite)
	d.view.Listen(func(st endpoint.Status, _ time.Time) {
		d.acks.Observe(st)
		d.interruptSuperseded(st)
	})
	d.holder = holder.New(holder.Config{
		Dialer: &holder.PGDialer{Holder: s.Name + "/" + d.incarnation, Timeout: dialTimeout},
		Ack:    d.acks,
		Floors: d.view,

		Activity: d,
		Log:      d.log,
	})
	d.link = &hlink.Server{Opener: d.holder, Watcher: d.hub, Log: d.log}
	keys, err := session.NewKeys(session.Key{ID: 1, Secret: s.TokenKey})
	if err != nil {
		return nil, err
	}
	d.directory = directoryrpc.NewClient(d.directoryView, &http.Client{Timeout: directoryTimeout}, time.Now)
	d.directoryServer = directoryrpc.NewServer(incarnationNumber(), directoryLimits, time.Now)
	d.entry = entry.New(entry.Config{
		Ready:         d.inForce.Load,
		ForwardCancel: d.forwardCancel,
		Catalog:       d.catalog,
		Router:        routing.New(d.view, d.openSlot),
		Sessions:      sessions.NewOpener(keys, d.directory),
		Admit:         d.admission,
		Observer:      observer{d.metrics},
		Log:           d.log,
		MaxCallers:    s.MaxCallers,
		DrainTimeout:  s.DrainTimeout,
	})
	if err := d.setUpControl(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	var err error
	if d.settings.HasRole(settings.RoleEntry) {
		if d.listeners.callers, err = net.Listen("tcp", d.settings.Listen.Callers); err != nil {
			return err
		}
	}
	if d.listeners.link, err = net.Listen("tcp", d.settings.Listen.Link); err != nil {
		return err
	}
	d.listeners.admin, err = net.Listen("tcp", d.settings.Listen.Admin)
	return err
}

// CallerAddr returns the listening address for callers. The daemon must have the
// role entry.
func (d *Daemon) CallerAddr() string { return d.listeners.callers.Addr().String() }

// AdminAddr returns the listening address for operators and announcements.
func (d *Daemon) AdminAddr() string { return d.listeners.admin.Addr().String() }

// AdminURL returns the base URL for operators and announcements.
func (d *Daemon) AdminURL() string { return "http://" + d.listeners.admin.Addr().String() }

// Ready reports whether a configuration is in force and the daemon is not
// draining.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// HolderUsage returns the usage of the endpoint connections that this daemon
// holds, by slot.
func (d *Daemon) HolderUsage() map[holder.SlotID]holder.Usage { return d.holder.Usage() }

// Run runs the daemon until ctx ends, then stops it gracefully. It drains the
// callers first; the other parts run until the drain is over.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.loadConfiguration(); err != nil {
		return err
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return d.acks.Run(serving) })
	g.Go(func() error { return d.holder.Run(serving) })
	g.Go(func() error { return d.serveLink(serving) })
	g.Go(func() error { return d.serveAdmin(serving) })
	g.Go(func() error { return d.stopWatchersOnDone(serving) })
	g.Go(func() error { return d.updateGauges(serving) })
	g.Go(func() error { return d.applyOwnStatuses(serving) })
	g.Go(func() error { return d.members.Run(serving) })
	g.Go(func() error { return d.followMembership(serving) })
	g.Go(func() error { return d.followConfiguration(serving) })
	d.control.run(serving, g)
	d.recordLifecycle(timelinepb.Kind_KIND_DAEMON_STARTED, "")
	g.Go(func() error {
		defer stopServing()
		return d.serveUntilDrained(ctx)
	})
	return g.Wait()
}

// serveUntilDrained serves callers and other entries until ctx ends. It then
// waits for work in progress, at most for the drain timeout.
func (d *Daemon) serveUntilDrained(ctx context.Context) error {
	var g errgroup.Group
	if d.listeners.callers != nil {
		g.Go(func() error { return d.entry.Serve(ctx, d.listeners.callers) })
	}
	g.Go(func() error {
		<-ctx.Done()
		d.ready.Store(false)
		d.recordLifecycle(timelinepb.Kind_KIND_DRAIN_STARTED, "")
		drain, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
		defer cancel()
		d.link.Drain(drain)
		return nil
	})
	return g.Wait()
}

// loadConfiguration applies the configuration folders of the settings, if any.
func (d *Daemon) loadConfiguration() error {
	if len(d.settings.ConfigurationFolders) == 0 {
		return nil
	}
	cfg, problems := servicefile.Load(d.settings.ConfigurationFolders...)
	if err := problems.Err(); err != nil {
		return err
	}
	d.apply(cfg)
	return nil
}

// apply puts cfg in force.
func (d *Daemon) apply(cfg *service.Configuration) {
	d.admission.configure(cfg)
	d.catalog.set(cfg)
	d.view.SetConfiguration(cfg)
	d.members.SetSlots(slotIDs(cfg))
	shares := map[string]int{}
	for _, s := range cfg.Services {
		if s.Connections != nil {
			shares[s.Name] = int(s.Connections.Max)
		}
	}
	d.holder.SetShares(shares)
	d.reassign()
	d.inForce.Store(true)
	d.ready.Store(true)
}

// reassign computes the holders of each slot and the slots that this daemon
// holds.
func (d *Daemon) reassign() {
	candidates := d.holderCandidates()
	var assignments []holder.Assignment
	for _, g := range d.view.Groups() {
		for i := range g.Slots {
			slot := &g.Slots[i]
			names := assign.Holders(assign.Slot{
				Group: g.Name, Name: slot.Name, FailureDomain: slot.FailureDomain,
			}, candidates, d.settings.HoldersPerSlot)
			d.view.SetHolders(g.Name, slot.Name, names)
			for index, name := range names {
				if name == d.settings.Name && slot.Endpoint.Addr != "" {
					assignments = append(assignments, holder.Assignment{
						ID:    holder.SlotID{Group: g.Name, Slot: slot.Name},
						Addr:  slot.Endpoint.Addr,
						Limit: baseShare(slot.ConnLimit, len(names), index),
					})
				}
			}
		}
	}
	d.holder.Assign(assignments)
	d.setWatchers(assignments)
}

// holderCandidates returns the daemons that may hold connections. It uses the
// settings, not the live membership, because a daemon that is partitioned away
// may still use its share of connections. The share must not go to another
// daemon meanwhile.
func (d *Daemon) holderCandidates() []assign.Candidate {
	var list []assign.Candidate
	if d.settings.HasRole(settings.RoleHolder) {
		list = append(list, assign.Candidate{Name: d.settings.Name, FailureDomain: d.settings.FailureDomain})
	}
	for _, p := range d.settings.Peers {
		if slices.Contains(p.Roles, settings.RoleHolder) {
			list = append(list, assign.Candidate{Name: p.Name, FailureDomain: p.FailureDomain})
		}
	}
	return list
}

// ackMembers implements acks.Members. With a control group, its group records
// say which incarnations count. Without one, they are the incarnations that this
// daemon has seen, once it has seen a majority.
func (d *Daemon) ackMembers(group string, term uint64) ([]quorum.Member, string, bool) {
	g, ok := d.view.Group(group)
	if !ok {
		return nil, "", false
	}
	primary, known := "", 0
	members := make([]quorum.Member, 0, len(g.Slots))
	for i := range g.Slots {
		s := &g.Slots[i]
		members = append(members, quorum.Member{Slot: s.Name, Incarnation: s.Status.Incarnation})
		if s.Known {
			known++
		}
		if s.Known && s.Status.Role == endpoint.RolePrimary && s.Status.Synced.Term == term {
			primary = s.Name
		}
	}
	if d.control.records != nil {
		members, ok = d.control.records.Members(group)
		return members, primary, ok && primary != ""
	}
	return members, primary, primary != "" && known >= quorum.Majority(len(members))
}

// openSlot returns the opener of exchanges on a slot. It prefers this daemon's
// holder, then the first peer among the slot's holders that is up. If none is up,
// it returns the last known peer among them.
func (d *Daemon) openSlot(slot *slotview.Slot) (exchange.Opener, bool) {
	if d.holder.Serves(holder.SlotID{Group: slot.Group, Slot: slot.Name}) {
		return d.holder, true
	}
	var last exchange.Opener
	for _, name := range slot.Holders {
		peer, ok := d.peers.get(name)
		if !ok {
			continue
		}
		if peer.Up() {
			return peer, true
		}
		last = peer
	}
	return last, last != nil
}

// directoryView returns the daemons that store the session directory: all that
// the settings name. The view is always current because every daemon has the
// same list.
func (d *Daemon) directoryView() directoryrpc.View {
	view := directoryrpc.View{Current: true}
	view.Members = append(view.Members, directoryrpc.Address{
		Member: directory.Member{Name: d.settings.Name, FailureDomain: d.settings.FailureDomain},
		URL:    d.AdminURL(),
	})
	for _, p := range d.settings.Peers {
		view.Members = append(view.Members, directoryrpc.Address{
			Member: directory.Member{Name: p.Name, FailureDomain: p.FailureDomain},
			URL:    "http://" + p.Admin,
		})
	}
	return view
}

// incarnationNumber returns the incarnation of the session directory server.
func incarnationNumber() uint64 { return uint64(time.Now().UnixNano()) }

func (d *Daemon) serveLink(ctx context.Context) error {
	return d.link.Serve(ctx, d.listeners.link)
}

// applyOwnStatuses applies the statuses that this daemon observes to its own
// view.
func (d *Daemon) applyOwnStatuses(ctx context.Context) error {
	_ = d.hub.Watch(ctx, func(o watch.Observation) error {
		d.view.Apply(o, time.Now())
		return nil
	})
	return nil
}

func (d *Daemon) serveAdmin(ctx context.Context) error {
	handler := timelinerpc.Stamped(d.journal, d.adminHandler())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: dialTimeout}
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	defer stop()
	if err := server.Serve(d.listeners.admin); err != http.ErrServerClosed {
		return err
	}
	return nil
}
