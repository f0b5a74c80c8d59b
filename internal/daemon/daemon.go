// Package daemon puts the parts of a daemon together according to its settings.
package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"hemlockmast/api/link"
	"hemlockmast/api/service"
	"hemlockmast/internal/acks"
	"hemlockmast/internal/endpoint"
	"hemlockmast/internal/entry"
	"hemlockmast/internal/exchange"
	"hemlockmast/internal/holder"
	hlink "hemlockmast/internal/link"
	"hemlockmast/internal/quorum"
	"hemlockmast/internal/servicefile"
	"hemlockmast/internal/settings"
	"hemlockmast/internal/slotview"
	"hemlockmast/internal/watch"
)

const (
	// dialTimeout bounds a connection to an endpoint.
	dialTimeout = 2 * time.Second
	// peerRetry is the wait after a failed watch of a peer.
	peerRetry = 100 * time.Millisecond
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
	peers   map[string]*hlink.Peer
	ready   atomic.Bool
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
		peers:       map[string]*hlink.Peer{},
		watchers:    map[slotKey]*runningWatcher{},
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	for _, p := range s.Peers {
		d.peers[p.Name] = hlink.NewPeer(s.Name, p.Link)
	}
	d.acks = acks.New(d.members)
	d.view.Listen(d.acks.Observe)
	d.holder = holder.New(holder.Config{
		Dialer: &holder.PGDialer{Holder: s.Name + "/" + d.incarnation, Timeout: dialTimeout},
		Ack:    d.acks,
		Log:    d.log,
	})
	d.entry = entry.New(entry.Config{
		Catalog:      d.catalog,
		Router:       &router{self: s.Name, view: d.view, local: d.holder, opener: d.opener},
		Sessions:     memorySessions{},
		Admit:        openAdmission{},
		Observer:     silentObserver{},
		Log:          d.log,
		MaxCallers:   s.MaxCallers,
		DrainTimeout: s.DrainTimeout,
	})
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

// AdminURL returns the base URL for operators and announcements.
func (d *Daemon) AdminURL() string { return "http://" + d.listeners.admin.Addr().String() }

// Run runs the daemon until ctx ends, then stops it gracefully: callers are
// drained first, the rest serves them until the end.
func (d *Daemon) Run(ctx context.Context) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	g, serving := errgroup.WithContext(serving)
	g.Go(func() error { return d.acks.Run(serving) })
	g.Go(func() error { return d.holder.Run(serving) })
	g.Go(func() error { return d.serveLink(serving) })
	g.Go(func() error { return d.serveAdmin(serving) })
	g.Go(func() error { return d.manageWatchers(serving) })
	for name, peer := range d.peers {
		g.Go(func() error { return d.watchPeer(serving, name, peer) })
	}
	g.Go(func() error { return d.feedOwnStatuses(serving) })
	if err := d.loadConfiguration(); err != nil {
		stopServing()
		_ = g.Wait()
		return err
	}
	g.Go(func() error {
		defer stopServing()
		if d.listeners.callers == nil {
			<-ctx.Done()
			return nil
		}
		return d.entry.Serve(ctx, d.listeners.callers)
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
	d.catalog.set(cfg)
	d.view.SetConfiguration(cfg)
	shares := map[string]int{}
	for _, s := range cfg.Services {
		if s.Connections != nil {
			shares[s.Name] = int(s.Connections.Max)
		}
	}
	d.holder.SetShares(shares)
	d.reassign()
	d.ready.Store(true)
}

// reassign computes which slots this daemon holds.
func (d *Daemon) reassign() {
	members := d.holderMembers()
	var mine []holder.Assignment
	for _, g := range d.view.Groups() {
		for i := range g.Slots {
			slot := &g.Slots[i]
			names := chooseHolders(slot, members, d.settings.HoldersPerSlot)
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

func (d *Daemon) holderMembers() []member {
	var members []member
	if d.settings.Has(settings.RoleHolder) {
		members = append(members, member{d.settings.Name, d.settings.FailureDomain})
	}
	for _, p := range d.settings.Peers {
		for _, role := range p.Roles {
			if role == settings.RoleHolder {
				members = append(members, member{p.Name, p.FailureDomain})
			}
		}
	}
	return members
}

// members implements acks.Members.
func (d *Daemon) members(group string, term uint64) ([]quorum.Member, string, bool) {
	g, ok := d.view.Group(group)
	if !ok {
		return nil, "", false
	}
	primary := ""
	members := make([]quorum.Member, 0, len(g.Slots))
	for i := range g.Slots {
		s := &g.Slots[i]
		members = append(members, quorum.Member{Slot: s.Name, Incarnation: s.Status.Incarnation})
		if s.Known && s.Status.Role == endpoint.RolePrimary && s.Status.Synced.Term == term {
			primary = s.Name
		}
	}
	return members, primary, primary != ""
}

func (d *Daemon) opener(name string) (exchange.Opener, bool) {
	if name == d.settings.Name {
		return d.holder, true
	}
	peer, ok := d.peers[name]
	return peer, ok
}

func (d *Daemon) serveLink(ctx context.Context) error {
	server := &hlink.Server{Opener: d.holder, Watcher: d.hub, Log: d.log}
	return server.Serve(ctx, d.listeners.link)
}

// watchPeer takes in the statuses that a peer observes.
func (d *Daemon) watchPeer(ctx context.Context, name string, peer *hlink.Peer) error {
	defer peer.Close()
	for {
		err := peer.Watch(ctx, func(status *link.SlotStatus) {
			d.view.Apply(status, time.Now())
		})
		if ctx.Err() != nil {
			return nil
		}
		d.log.V(1).Info("watch of peer ended", "peer", name, "error", err.Error())
		select {
		case <-time.After(peerRetry):
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) feedOwnStatuses(ctx context.Context) error {
	_ = d.hub.Watch(ctx, func(status *link.SlotStatus) error {
		d.view.Apply(status, time.Now())
		return nil
	})
	return nil
}

func (d *Daemon) serveAdmin(ctx context.Context) error {
	server := &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: dialTimeout}
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
