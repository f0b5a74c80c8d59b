package daemon

import (
	"context"
	"net/http"
	"slices"
	"time"

	controlpb "hemlockmast/api/control"
	"hemlockmast/internal/configuration/confspread"
	"hemlockmast/internal/configuration/spreadstate"
	"hemlockmast/internal/controlgroup/control"
	"hemlockmast/internal/controlgroup/controlplane"
	"hemlockmast/internal/controlgroup/failover/driver"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/suspect"
	"hemlockmast/internal/shared/settings"
	"hemlockmast/internal/shared/timeline/timelinerpc"

	"golang.org/x/sync/errgroup"
)

const (
	// reportTimeout bounds one report to a control daemon.
	reportTimeout = 500 * time.Millisecond
	// confirmTimeout bounds the probe of an endpoint for another daemon. The probe
	// and the network round trip together must fit in suspect.Timing.Confirm.
	confirmTimeout = 130 * time.Millisecond
)

// controlParts are the parts of a daemon that follow the control group or take
// part in it.
type controlParts struct {
	service *controlplane.Service
	// records and follower are nil for a daemon with configuration folders.
	records  *controlplane.Records
	follower *confspread.Daemon
	// member and leader are nil without the role control.
	member *controlplane.Member
	leader *controlplane.Leader
	// configuration serves operators and relays; nil without the role control.
	configuration *confspread.Control
	// addresses are the admin addresses of the control daemons.
	addresses []string
	client    *http.Client
}

// followsControl reports whether the daemon gets its configuration from a control
// group instead of configuration folders.
func followsControl(s *settings.Settings) bool { return len(s.ConfigurationFolders) == 0 }

// controlPeers returns the control daemons that the settings name, including this
// one.
func controlPeers(s *settings.Settings) []control.Peer {
	var peers []control.Peer
	if s.HasRole(settings.RoleControl) {
		peers = append(peers, control.Peer{Name: s.Name, Address: s.Advertise.Admin})
	}
	for _, p := range s.Peers {
		if slices.Contains(p.Roles, settings.RoleControl) {
			peers = append(peers, control.Peer{Name: p.Name, Address: p.Admin})
		}
	}
	return peers
}

// setUpControl creates the control parts that the settings require.
func (d *Daemon) setUpControl() error {
	c := &d.control
	c.client = &http.Client{
		Timeout:   confirmTimeout + reportTimeout,
		Transport: &timelinerpc.Transport{Journal: d.journal, Base: http.DefaultTransport},
	}
	c.service = &controlplane.Service{FailureDomain: d.settings.FailureDomain, Prober: d, Canceler: d.entry}
	if !followsControl(d.settings) {
		return nil
	}
	peers := controlPeers(d.settings)
	var urls []string
	for _, p := range peers {
		c.addresses = append(c.addresses, p.Address)
		urls = append(urls, "http://"+p.Address)
	}
	c.records = controlplane.NewRecords(urls, d.log, d.acks.Refresh)
	var store *confspread.Store
	if d.settings.DataFolder != "" {
		store = confspread.NewStore(d.settings.DataFolder)
	}
	c.follower = confspread.NewDaemon(confspread.Options{
		Self:    d.spreadSelf(),
		Control: c.addresses,
		Members: spreadMembers{d},
		Peers:   confspread.NewHTTPPeers(http.DefaultTransport, false),
		Store:   store,
		Now:     time.Now,
		Log:     d.log,
	})
	if d.settings.HasRole(settings.RoleControl) {
		return d.setUpMember(peers)
	}
	return nil
}

// setUpMember opens this daemon's member of the control group.
func (d *Daemon) setUpMember(peers []control.Peer) error {
	c := &d.control
	member, err := controlplane.OpenMember(context.Background(), controlplane.MemberConfig{
		Name: d.settings.Name, Address: d.settings.Advertise.Admin, Peers: peers,
		DataFolder: d.settings.DataFolder, Log: d.log,
	})
	if err != nil {
		return err
	}
	c.member = member
	c.leader = controlplane.NewLeader(member, d.view, driver.Config{
		Promoter:  d.settings.Name + "/" + d.incarnation,
		Connect:   d.connectSlot,
		Confirmer: confirmer{d},
		Recorder:  d.recorder,
	}, d.log)
	c.configuration = confspread.NewControl(confspread.ControlOptions{
		ReplicatedLog: member.ConfigurationLog(),
		State:         member.Configuration,
		Members:       spreadMembers{d},
		Now:           time.Now,
		Log:           d.log,
	})
	c.service.Member = member
	c.service.Reports = c.leader
	return nil
}

// register adds the handlers of the control services to mux.
func (c *controlParts) register(mux *http.ServeMux) {
	c.service.Register(mux)
	if c.follower != nil {
		c.follower.Register(mux)
	}
	if c.member != nil {
		c.member.Register(mux)
		c.configuration.Register(mux)
	}
}

// run starts the control parts as goroutines of g.
func (c *controlParts) run(ctx context.Context, g *errgroup.Group) {
	if c.follower != nil {
		g.Go(func() error { return c.records.Run(ctx) })
		g.Go(func() error { return c.follower.Run(ctx) })
	}
	if c.member != nil {
		g.Go(func() error { return c.member.Run(ctx) })
		g.Go(func() error { return c.leader.Run(ctx) })
	}
}

// followConfiguration puts each new revision in force as soon as the follower
// allows callers to be served with it.
func (d *Daemon) followConfiguration(ctx context.Context) error {
	follower := d.control.follower
	if follower == nil {
		return nil
	}
	revision := uint64(0)
	for {
		cfg, err := follower.Next(ctx, revision)
		if err != nil {
			return nil
		}
		revision = cfg.Revision
		d.apply(cfg)
		d.log.Info("configuration in force", "revision", revision)
	}
}

// spreadSelf returns this daemon as a member for the distribution of
// configurations.
func (d *Daemon) spreadSelf() spreadstate.Member {
	return spreadstate.Member{
		Name: d.settings.Name, FailureDomain: d.settings.FailureDomain,
		Addr: d.settings.Advertise.Admin, Live: true,
	}
}

// spreadMembers adapts the membership to confspread.Members.
type spreadMembers struct{ d *Daemon }

// Members implements confspread.Members.
func (m spreadMembers) Members() []spreadstate.Member {
	var list []spreadstate.Member
	for _, v := range m.d.members.Members() {
		list = append(list, spreadstate.Member{
			Name: v.Name, FailureDomain: v.FailureDomain, Addr: v.Admin, Live: v.Usable(),
		})
	}
	return list
}

// connectSlot opens a connection for contract commands to a slot's endpoint. It
// returns a *driver.AddressError if the address is not known.
func (d *Daemon) connectSlot(ctx context.Context, group, slot string) (endpoint.Controller, error) {
	g, ok := d.view.Group(group)
	if ok {
		if s, ok := g.Slot(slot); ok && s.Endpoint.Addr != "" {
			return d.connectEndpoint(ctx, group, s.Endpoint.Addr)
		}
	}
	return nil, &driver.AddressError{Group: group, Slot: slot}
}

// Probe implements controlplane.Prober. It connects to the endpoint and requests
// its status.
func (d *Daemon) Probe(ctx context.Context, group, slot string) suspect.Level {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	ctl, err := d.connectSlot(ctx, group, slot)
	if err != nil {
		return suspect.Undialable
	}
	defer func() { _ = ctl.Close() }()
	if _, err := ctl.Status(ctx); err != nil {
		return suspect.Unreachable
	}
	return suspect.Well
}

// forwardCancel forwards a caller's cancel request to the other entries, because
// a load balancer may have sent it to a daemon that does not serve the session.
// It does not wait for their answers.
func (d *Daemon) forwardCancel(processID, secret uint32) {
	for _, v := range d.members.Members() {
		if v.Name == d.settings.Name || !v.Usable() || !slices.Contains(v.Roles, settings.RoleEntry) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			client := controlpb.NewControlProtobufClient("http://"+v.Admin, d.control.client)
			_, err := client.Cancel(ctx, &controlpb.CancelRequest{ProcessId: processID, Secret: secret})
			if err != nil {
				d.log.V(1).Info("cancel request not delivered", "peer", v.Name, "error", err.Error())
			}
		}()
	}
}

// sendReport sends an observer's report about an endpoint to all control
// daemons. Only their leader acts on it. It does not wait for their answers.
func (d *Daemon) sendReport(group string, r suspect.Report) {
	if d.control.leader != nil {
		d.control.leader.Report(group, r)
	}
	request := &controlpb.ReportRequest{
		Group: group, Observer: r.Observer, FailureDomain: r.Domain,
		Slot: r.Slot, Level: uint32(r.Level),
	}
	for _, address := range d.control.addresses {
		if address == d.settings.Advertise.Admin {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			client := controlpb.NewControlProtobufClient("http://"+address, d.control.client)
			if _, err := client.Report(ctx, request); err != nil {
				d.log.V(1).Info("report not delivered", "control", address, "error", err.Error())
			}
		}()
	}
}

// confirmer asks daemons of other failure domains to probe an endpoint.
type confirmer struct{ d *Daemon }

// NoConfirmationError reports that no other failure domain answered a request for
// confirmation.
type NoConfirmationError struct{ Group, Slot string }

func (e *NoConfirmationError) Error() string {
	return "no failure domain answered about group " + e.Group + " slot " + e.Slot
}

// Confirm implements driver.Confirmer. It asks one daemon of each other failure
// domain and returns the first valid answer.
func (c confirmer) Confirm(ctx context.Context, group string, ask suspect.AskConfirm) (suspect.Confirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout+reportTimeout)
	defer cancel()
	targets := c.targets(ask.Except)
	answers := make(chan *controlpb.ConfirmResponse, len(targets))
	for _, address := range targets {
		go func() {
			client := controlpb.NewControlProtobufClient("http://"+address, c.d.control.client)
			answer, err := client.Confirm(ctx, &controlpb.ConfirmRequest{
				Group: group, Slot: ask.Slot, Replication: ask.Replication,
			})
			if err != nil {
				answer = nil
			}
			answers <- answer
		}()
	}
	for range targets {
		if a := <-answers; a != nil && a.Level <= uint32(suspect.Undialable) {
			return suspect.Confirmation{Domain: a.FailureDomain, Slot: ask.Slot, Level: suspect.Level(a.Level)}, nil
		}
	}
	return suspect.Confirmation{}, &NoConfirmationError{Group: group, Slot: ask.Slot}
}

// targets returns the admin address of one usable daemon of each failure domain
// that is not in except.
func (c confirmer) targets(except []string) []string {
	seen := map[string]bool{}
	for _, domain := range except {
		seen[domain] = true
	}
	var list []string
	for _, v := range c.d.members.Members() {
		if !seen[v.FailureDomain] && v.Usable() {
			seen[v.FailureDomain] = true
			list = append(list, v.Admin)
		}
	}
	return list
}
