// Package devcluster starts daemons and stand-in endpoints in one process on
// loopback, for evaluation and for end-to-end tests.
package devcluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
	pb "hemlockmast/api/settings"
	"hemlockmast/internal/configuration/servicefile"
	"hemlockmast/internal/daemon"
	"hemlockmast/internal/shared/delay"
	"hemlockmast/internal/shared/settings"
	"hemlockmast/internal/testing/standin"
)

// Config configures a Cluster.
type Config struct {
	// Folders are the folders with the service files.
	Folders []string
	// DaemonsPerDomain is the number of daemons in each failure domain.
	DaemonsPerDomain int
	// Control is the number of control daemons, at most one in each failure
	// domain. If it is 0, the daemons read Folders themselves.
	Control int
	// DataFolder is the folder for the state of the daemons. It is used only
	// with control daemons.
	DataFolder string
	// ConnectDelay delays the acceptance of each new connection to an endpoint.
	ConnectDelay time.Duration
	// Delay is the one-way delay of connections between daemons and to
	// endpoints, within and between failure domains.
	Delay time.Duration
	// ReplicationLag and ApplyLag are the lags of the replicas; see
	// standin.Config.
	ReplicationLag time.Duration
	ApplyLag       time.Duration
	// DrainTimeout is the maximum duration of a daemon's graceful stop.
	DrainTimeout time.Duration
	Log          logr.Logger
	// Host is the loopback address of the daemons; empty means 127.0.0.1.
	Host string
	// FirstPort is the lowest port of the daemons and endpoints; 0 means
	// DefaultFirstPort.
	FirstPort int
}

// Cluster is a set of running daemons and endpoints.
type Cluster struct {
	Configuration *service.Configuration
	Daemons       []*Daemon
	// Endpoints are keyed by group and slot.
	Endpoints map[string]map[string]*standin.Endpoint

	group *errgroup.Group
	stop  context.CancelFunc
	ports *ports
	delay time.Duration
	// proxies delay the connections that go through them.
	proxies []*delay.Proxy
}

// delayed returns the address of a proxy that delays connections to target, or
// target itself if there is no delay.
func (c *Cluster) delayed(target string) (string, error) {
	if c.delay == 0 {
		return target, nil
	}
	p, err := delay.NewProxy(target, c.delay)
	if err != nil {
		return "", err
	}
	c.proxies = append(c.proxies, p)
	return p.Addr(), nil
}

// Daemon is one daemon of a Cluster.
type Daemon struct {
	*daemon.Daemon
	Name          string
	FailureDomain string
	stop          context.CancelFunc
	done          chan struct{}
	// control reports whether the daemon has the role control.
	control bool
}

// Stop stops the daemon gracefully and waits until it has ended.
func (d *Daemon) Stop() {
	d.stop()
	<-d.done
}

// Start loads the configuration and starts the daemons and endpoints. The daemons
// may not be ready when it returns; see Daemon.Ready.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	configuration, problems := servicefile.Load(cfg.Folders...)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	c := &Cluster{
		Configuration: configuration,
		Endpoints:     map[string]map[string]*standin.Endpoint{},
		group:         g, stop: stop, delay: cfg.Delay,
	}
	if err := c.startDaemons(ctx, cfg); err != nil {
		c.Close()
		return nil, err
	}
	if err := c.startEndpoints(cfg); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// domains returns the failure domains of the configuration in the order in which
// they first occur.
func (c *Cluster) domains() []string {
	var names []string
	seen := map[string]bool{}
	for _, g := range c.Configuration.Groups {
		for _, s := range g.Slots {
			if !seen[s.FailureDomain] {
				seen[s.FailureDomain] = true
				names = append(names, s.FailureDomain)
			}
		}
	}
	return names
}

func (c *Cluster) startDaemons(ctx context.Context, cfg Config) error {
	type plan struct {
		name, domain string
		roles        []string
		addr         addresses
		// link and admin are the addresses that other daemons use.
		link, admin string
	}
	var plans []plan
	c.ports = newPorts(cfg.Host, cfg.FirstPort)
	for _, domain := range c.domains() {
		for i := range cfg.DaemonsPerDomain {
			addr, err := c.ports.daemonAddresses()
			if err != nil {
				return err
			}
			roles := []string{settings.RoleEntry, settings.RoleHolder}
			if i == 0 && len(plans)/cfg.DaemonsPerDomain < cfg.Control {
				roles = append(roles, settings.RoleControl)
			}
			link, err := c.delayed(addr.link)
			if err != nil {
				return err
			}
			admin, err := c.delayed(addr.admin)
			if err != nil {
				return err
			}
			plans = append(plans, plan{fmt.Sprintf("%s-%d", domain, i+1), domain, roles, addr, link, admin})
		}
	}
	for _, p := range plans {
		s := &pb.Settings{
			Name: p.name, FailureDomain: p.domain,
			Roles: p.roles,
			Listen: &pb.Listen{
				Callers: p.addr.callers, Link: p.addr.link,
				Admin: p.addr.admin, Heartbeat: p.addr.heartbeat,
			},
			Advertise: &pb.Listen{Link: p.link, Admin: p.admin},
			Limits:    &pb.Limits{DrainTimeout: cfg.DrainTimeout.String()},
		}
		if cfg.Control == 0 {
			s.ConfigurationFolders = cfg.Folders
		} else {
			s.DataFolder = filepath.Join(cfg.DataFolder, p.name)
		}
		for _, q := range plans {
			if q.name != p.name {
				s.Peers = append(s.Peers, &pb.Peer{
					Name: q.name, FailureDomain: q.domain, Link: q.link,
					Admin: q.admin, Heartbeat: q.addr.heartbeat, Roles: q.roles,
				})
			}
		}
		if err := c.startDaemon(ctx, s, cfg.Log); err != nil {
			return err
		}
	}
	if cfg.Control == 0 {
		return nil
	}
	return c.publish(ctx)
}

// publish publishes the configuration of the folders and waits until every daemon
// is ready.
func (c *Cluster) publish(ctx context.Context) error {
	client := confspread.NewControlProtobufClient(c.Daemons[0].AdminURL(), http.DefaultClient)
	request := &confspread.PublishRequest{
		Change:        &configstate.Change{Id: "first", Author: "devcluster"},
		Configuration: c.Configuration,
	}
	for {
		response, err := client.Publish(ctx, request)
		if err == nil && response.GetAccepted() != nil {
			break
		}
		if err := sleep(ctx, publishRetryInterval); err != nil {
			return err
		}
	}
	for _, d := range c.Daemons {
		for !d.Ready() {
			if err := sleep(ctx, publishRetryInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// publishRetryInterval is the interval between attempts to publish, which fail
// until the control group has a leader, and between checks whether a daemon is
// ready.
const publishRetryInterval = 50 * time.Millisecond

func (c *Cluster) startDaemon(ctx context.Context, s *pb.Settings, log logr.Logger) error {
	if s.DataFolder != "" {
		if err := os.MkdirAll(s.DataFolder, 0o700); err != nil {
			return err
		}
	}
	checked, err := settings.Check(s.Name, s)
	if err != nil {
		return err
	}
	d, err := daemon.New(checked, daemon.Options{Log: log})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	running := &Daemon{
		Daemon: d, Name: s.Name, FailureDomain: s.FailureDomain,
		stop: stop, done: make(chan struct{}), control: checked.HasRole(settings.RoleControl),
	}
	c.Daemons = append(c.Daemons, running)
	c.group.Go(func() error {
		defer close(running.done)
		return d.Run(ctx)
	})
	return nil
}

// startEndpoints starts the endpoints of all groups. The first slot of a group is
// its primary.
func (c *Cluster) startEndpoints(cfg Config) error {
	var urls []string
	for _, d := range c.Daemons {
		urls = append(urls, d.AdminURL())
	}
	for _, g := range c.Configuration.Groups {
		c.Endpoints[g.Name] = map[string]*standin.Endpoint{}
		primary := ""
		for i, s := range g.Slots {
			addr, err := c.ports.nextAddress()
			if err != nil {
				return err
			}
			advertise, err := c.delayed(addr)
			if err != nil {
				return err
			}
			e, err := standin.Start(standin.Config{
				Addr: addr, Advertise: advertise,
				Group: g.Name, Slot: s.Name, Databases: g.Databases,
				ConnLimit: int(s.ConnectionLimit), ConnectDelay: cfg.ConnectDelay,
				ReplicationLag: cfg.ReplicationLag, ApplyLag: cfg.ApplyLag,
				Announce: urls, Primary: i == 0, Follow: primary,
			})
			if err != nil {
				return err
			}
			c.Endpoints[g.Name][s.Name] = e
			if i == 0 {
				primary = addr
			}
		}
	}
	return nil
}

// ControlAddrs returns the admin addresses of the control daemons.
func (c *Cluster) ControlAddrs() []string {
	var addrs []string
	for _, d := range c.Daemons {
		if d.control {
			addrs = append(addrs, d.AdminAddr())
		}
	}
	return addrs
}

// Close stops the daemons, the delay proxies and the endpoints. It returns the
// first error of a daemon.
func (c *Cluster) Close() error {
	c.stop()
	err := c.group.Wait()
	for _, p := range c.proxies {
		p.Close()
	}
	for _, slots := range c.Endpoints {
		for _, e := range slots {
			_ = e.Close()
		}
	}
	return err
}
