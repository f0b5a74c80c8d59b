package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"hemlockmast/api/service"
	"hemlockmast/internal/endpointside/slotview"
	"hemlockmast/internal/endpointside/watch"
	"hemlockmast/internal/membership"
	"hemlockmast/internal/shared/settings"
	hlink "hemlockmast/internal/wire/link"
)

// peerRetryDelay is the delay before a daemon watches a peer again.
const peerRetryDelay = 100 * time.Millisecond

// self returns this daemon as a member, with its advertised addresses.
func self(s *settings.Settings) membership.Member {
	return membership.Member{
		Name: s.Name, FailureDomain: s.FailureDomain, Roles: s.Roles,
		Link: s.Advertise.Link, Admin: s.Advertise.Admin, Heartbeat: s.Advertise.Heartbeat,
	}
}

// seeds returns the peers of the settings as members.
func seeds(s *settings.Settings) []membership.Member {
	list := make([]membership.Member, 0, len(s.Peers))
	for _, p := range s.Peers {
		list = append(list, membership.Member{
			Name: p.Name, FailureDomain: p.FailureDomain, Roles: p.Roles,
			Link: p.Link, Admin: p.Admin, Heartbeat: p.Heartbeat,
		})
	}
	return list
}

func slotIDs(cfg *service.Configuration) []membership.SlotID {
	var ids []membership.SlotID
	for _, g := range cfg.Groups {
		for _, s := range g.Slots {
			ids = append(ids, membership.SlotID{Group: g.Name, Slot: s.Name})
		}
	}
	return ids
}

// followMembership applies the membership and each change of it until ctx ends.
func (d *Daemon) followMembership(ctx context.Context) error {
	defer d.peers.close()
	for {
		changed := d.members.Changed()
		d.applyMembership(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// applyMembership updates the peer connections, the endpoints and the assignment
// of slots.
func (d *Daemon) applyMembership(ctx context.Context) {
	for _, m := range d.members.Members() {
		if m.Name != d.settings.Name {
			d.peers.set(ctx, m.Name, m.Link, d.watchPeer)
		}
	}
	for _, e := range d.members.Endpoints() {
		d.view.SetEndpoint(slotview.Endpoint{
			Group: e.Group, Slot: e.Slot, Addr: e.Address,
			Incarnation: e.Incarnation, Leaving: e.Leaving,
		})
	}
	d.reassign()
}

// watchPeer applies the statuses that a peer observes until ctx ends.
func (d *Daemon) watchPeer(ctx context.Context, name string, peer *hlink.Peer) {
	log := d.log.WithValues("peer", name)
	for ctx.Err() == nil {
		err := peer.Watch(ctx, func(o watch.Observation) {
			d.view.Apply(o, time.Now())
		})
		logWatchEnd(ctx, log, err)
		select {
		case <-time.After(peerRetryDelay):
		case <-ctx.Done():
		}
	}
}

func logWatchEnd(ctx context.Context, log logr.Logger, err error) {
	if ctx.Err() == nil {
		log.V(1).Info("watch of peer ended", "error", err.Error())
	}
}

// peerSet holds the connections to the other daemons.
type peerSet struct {
	self string

	// mu guards peers.
	mu    sync.RWMutex
	peers map[string]*runningPeer
}

// runningPeer is the connection to a peer and the cancel function of its watch.
type runningPeer struct {
	peer   *hlink.Peer
	cancel context.CancelFunc
}

func newPeerSet(self string) *peerSet {
	return &peerSet{self: self, peers: map[string]*runningPeer{}}
}

func (p *peerSet) get(name string) (*hlink.Peer, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	r, ok := p.peers[name]
	if !ok {
		return nil, false
	}
	return r.peer, true
}

// set replaces the connection to the named peer by one to addr and starts run
// with it. It does nothing if addr is empty or unchanged.
func (p *peerSet) set(ctx context.Context, name, addr string, run func(context.Context, string, *hlink.Peer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.peers[name]
	if addr == "" || old != nil && old.peer.Addr() == addr {
		return
	}
	if old != nil {
		old.stop()
	}
	ctx, cancel := context.WithCancel(ctx)
	peer := hlink.NewPeer(p.self, addr)
	p.peers[name] = &runningPeer{peer: peer, cancel: cancel}
	go run(ctx, name, peer)
}

func (p *peerSet) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.peers {
		r.stop()
	}
}

func (r *runningPeer) stop() {
	r.cancel()
	r.peer.Close()
}
