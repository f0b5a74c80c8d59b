// Package daemon puts the parts of a daemon together according to its settings.
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

// directoryLimits bound this daemon's part of the session directory.
var directoryLimits = directory.Limits{MaxEntries: 200_000, TTL: time.Hour}

const (
	// directoryTimeout bounds one call to the session directory.
	directoryTimeout = time.Second
	// dialTimeout bounds a connection to an endpoint.
	dialTimeout = 2 * time.Second
	// shutdownTimeout bounds the end of the admin server.
	shutdownTimeout = time.Second
)

// Daemon is one running daemon.
type Daemon struct {
	settings    *settings.Settings
	log         logr.Logger
	incarnation string

	view    *slotview.View
	hub     *watch.Hub
	acks    *acks.Tracker
	holder  *holder.Holder
	catalog *catalog
	entry   *entry.Server
	link    *hlink.Server
	// directory keeps the floors of named sessions; directoryServer is this
	// daemon's part of it.
	directory       *directoryrpc.Client
	directoryServer *directoryrpc.Server
	members         *runner.Runner
	control         controlParts
	journal         *timeline.Journal
	metrics         *metrics.Set
	// primaries tells when a primary is superseded.
	primaries *primaries
	admit     admitter
	// recorder takes the events of failovers.
	recorder recorder
	peers    *peerSet
	// ready is what /readyz says; inForce states that a configuration is in force.
	ready   atomic.Bool
	inForce atomic.Bool
	seq     atomic.Uint64

	listeners listeners

	// mu guards watchers.
	mu       sync.Mutex
	watchers map[slotKey]*runningWatcher
}

type slotKey struct{ group, slot string }

// listeners are the daemon's open listening sockets.
type listeners struct {
	callers net.Listener
	link    net.Listener
	admin   net.Listener
}

// Options change how a daemon runs, for tests and for the one-process try.
type Options struct {
	Log logr.Logger
}

// New listens on the addresses of the settings and returns a Daemon that is
// not running yet.
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
	d.primaries = newPrimaries()
	d.admit = newAdmitter(d.metrics)
	d.recorder = recorder{d.journal}
	d.acks = acks.New(d.ackMembers, d.recordFirstWrite)
	d.view.Listen(func(st endpoint.Status, _ time.Time) {
		d.acks.Observe(st)
		d.noteSuperseded(st)
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
		Ready:        d.inForce.Load,
		Elsewhere:    d.cancelElsewhere,
		Catalog:      d.catalog,
		Router:       routing.New(d.view, d.openSlot),
		Sessions:     sessions.NewOpener(keys, d.directory),
		Admit:        d.admit,
		Observer:     observer{d.metrics},
		Log:          d.log,
		MaxCallers:   s.MaxCallers,
		DrainTimeout: s.DrainTimeout,
	})
	if err := d.setUpControl(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	var err error
	if d.settings.Has(settings.RoleEntry) {
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

// CallerAddr returns the address for callers.
func (d *Daemon) CallerAddr() string { return d.listeners.callers.Addr().String() }

// AdminAddr returns the address for operators and announcements.
func (d *Daemon) AdminAddr() string { return d.listeners.admin.Addr().String() }

// AdminURL returns the base URL for operators and announcements.
func (d *Daemon) AdminURL() string { return "http://" + d.listeners.admin.Addr().String() }

// Ready reports whether a configuration is in force and the daemon does not
// stop.
func (d *Daemon) Ready() bool { return d.ready.Load() }

// HolderUsage returns the use of the connections that this daemon holds.
func (d *Daemon) HolderUsage() map[holder.SlotID]holder.Usage { return d.holder.Usage() }

// Run runs the daemon until ctx ends, then stops it gracefully: callers are
// drained first, the rest serves them until the end.
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
	g.Go(func() error { return d.manageWatchers(serving) })
	g.Go(func() error { return d.reportUse(serving) })
	g.Go(func() error { return d.feedOwnStatuses(serving) })
	g.Go(func() error { return d.members.Run(serving) })
	g.Go(func() error { return d.followMembership(serving) })
	g.Go(func() error { return d.followConfiguration(serving) })
	d.control.run(serving, g)
	d.recordDaemon(timelinepb.Kind_KIND_DAEMON_STARTED, "")
	g.Go(func() error {
		defer stopServing()
		return d.serveUntilDrained(ctx)
	})
	return g.Wait()
}

// serveUntilDrained serves callers and other entries until ctx ends, then lets
// both finish what is in progress, bounded by the drain timeout.
func (d *Daemon) serveUntilDrained(ctx context.Context) error {
	var g errgroup.Group
	if d.listeners.callers != nil {
		g.Go(func() error { return d.entry.Serve(ctx, d.listeners.callers) })
	}
	g.Go(func() error {
		<-ctx.Done()
		d.ready.Store(false)
		d.recordDaemon(timelinepb.Kind_KIND_DRAIN_STARTED, "")
		drain, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
		defer cancel()
		d.link.Drain(drain)
		return nil
	})
	return g.Wait()
}

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

// apply puts a configuration in force.
func (d *Daemon) apply(cfg *service.Configuration) {
	d.admit.configure(cfg)
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

// reassign computes which slots this daemon holds.
func (d *Daemon) reassign() {
	candidates := d.holderCandidates()
	var mine []holder.Assignment
	for _, g := range d.view.Groups() {
		for i := range g.Slots {
			slot := &g.Slots[i]
			names := assign.Holders(assign.Slot{
				Group: g.Name, Name: slot.Name, FailureDomain: slot.FailureDomain,
			}, candidates, d.settings.HoldersPerSlot)
			d.view.SetHolders(g.Name, slot.Name, names)
			for index, name := range names {
				if name == d.settings.Name && slot.Endpoint.Addr != "" {
					mine = append(mine, holder.Assignment{
						ID:    holder.SlotID{Group: g.Name, Slot: slot.Name},
						Addr:  slot.Endpoint.Addr,
						Limit: baseShare(slot.ConnLimit, len(names), index),
					})
				}
			}
		}
	}
	d.holder.Assign(mine)
	d.setWatchers(mine)
}

// holderCandidates returns the daemons that may hold connections. They come from
// the settings, not from who is up: the share of a daemon that is cut off must
// not be given to another while it may still use it.
func (d *Daemon) holderCandidates() []assign.Candidate {
	var list []assign.Candidate
	if d.settings.Has(settings.RoleHolder) {
		list = append(list, assign.Candidate{Name: d.settings.Name, FailureDomain: d.settings.FailureDomain})
	}
	for _, p := range d.settings.Peers {
		if slices.Contains(p.Roles, settings.RoleHolder) {
			list = append(list, assign.Candidate{Name: p.Name, FailureDomain: p.FailureDomain})
		}
	}
	return list
}

// ackMembers implements acks.Members: the agreed records say which incarnations
// count. Without a control group they are those that this daemon saw; it waits
// until it has seen a majority.
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

// openSlot returns the opener of exchanges on a slot: this daemon's holder if it
// serves the slot, else that of the first holder that answers.
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

// directoryView returns the daemons that keep the session directory: all that
// the settings name. Every daemon knows the same list, so that it is current.
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

func incarnationNumber() uint64 { return uint64(time.Now().UnixNano()) }

func (d *Daemon) serveLink(ctx context.Context) error {
	return d.link.Serve(ctx, d.listeners.link)
}

func (d *Daemon) feedOwnStatuses(ctx context.Context) error {
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
