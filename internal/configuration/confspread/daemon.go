package confspread

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/spreadstate"
	"hemlockmast/internal/shared/wait"
)

const (
	// pollHold is how long a poll may wait for a later revision.
	pollHold = time.Second
	// pollGrace is how much longer than the hold time an answer may take.
	pollGrace = time.Second
	// firstBackoff and maxBackoff bound the pause after failed polls.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// probeInterval is the time between two probes of control.
	probeInterval = time.Second
	// startupCheck is the time between two looks at the end of StartupWait.
	startupCheck = 50 * time.Millisecond
	// reportInterval is the time between two reports without news.
	reportInterval = 2 * time.Second
	// reportDelay gathers the news of several daemons into one report.
	reportDelay = 20 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = time.Second
)

// Options configure a Daemon.
type Options struct {
	Self spreadstate.Member
	// Control lists the addresses of the control processes.
	Control []string
	Members Members
	Peers   Peers
	// Store is nil where the daemon has no disk.
	Store *Store
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	Log logr.Logger
}

// Daemon follows the configuration and relays it to the daemons that poll it.
type Daemon struct {
	opts     Options
	storeErr error
	inForce  atomic.Pointer[service.Configuration]
	refresh  chan struct{}
	news     chan struct{}

	// enforceMu is held while a revision is stored and put in force. It is
	// never taken under mu.
	enforceMu sync.Mutex

	// mu guards the fields below; nothing else is locked under it.
	mu       sync.Mutex
	follower *spreadstate.Follower
	chooser  *spreadstate.UpstreamSelector
	board    *spreadstate.RevisionTracker
	changed  chan struct{}
	// ranConfirmed is set once a confirmed revision was in force.
	ranConfirmed bool
	// upstream is the control process that answered last; empty when a daemon
	// answered last.
	upstream string
}

// State is what a daemon knows of its configuration.
type State struct {
	// Revision is the revision in force.
	Revision uint64
	Mode     confspread.Mode
	// ConfirmedAt is the latest moment at which the revision was known to be
	// current; zero if never.
	ConfirmedAt time.Time
}

// NewDaemon returns a daemon that is not running yet. A stored configuration
// that cannot be read is logged and not used; the daemon then serves no caller
// until control confirms what it runs.
func NewDaemon(opts Options) *Daemon {
	d := &Daemon{
		opts:    opts,
		refresh: make(chan struct{}, 1),
		news:    make(chan struct{}, 1),
		chooser: spreadstate.NewUpstreamSelector(opts.Self),
		board:   spreadstate.NewRevisionTracker(),
		changed: make(chan struct{}),
	}
	d.follower, d.storeErr = restore(opts)
	if d.storeErr != nil {
		opts.Log.Error(d.storeErr, "stored configuration not used")
	}
	d.inForce.Store(d.follower.Versions().Configuration())
	return d
}

func restore(opts Options) (*spreadstate.Follower, error) {
	empty, err := spreadstate.NewFollower(opts.Now(), nil)
	if err != nil || opts.Store == nil {
		return empty, err
	}
	stored, err := opts.Store.Load()
	if err != nil {
		return empty, err
	}
	follower, err := spreadstate.NewFollower(opts.Now(), stored)
	if err != nil {
		return empty, err
	}
	return follower, nil
}

// StoreError returns why the stored configuration was not used, or nil.
func (d *Daemon) StoreError() error { return d.storeErr }

// Configuration returns the configuration in force. It is shared and must not
// be changed. Callers may be served with it once Next has returned.
func (d *Daemon) Configuration() *service.Configuration { return d.inForce.Load() }

// State returns what the daemon knows of its configuration. The daemon serves
// callers unless the mode is MODE_STARTING.
func (d *Daemon) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{
		Revision:    d.Configuration().GetRevision(),
		Mode:        d.mode(),
		ConfirmedAt: d.follower.ConfirmedAt(),
	}
}

// mode says how sure the daemon is of what it runs. A confirmed revision that
// is not in force yet, or cannot be stored, confirms nothing of what runs. mu
// must be held.
func (d *Daemon) mode() confspread.Mode {
	mode := d.follower.Mode(d.opts.Now())
	if mode != confspread.Mode_MODE_CONFIRMED || d.isUpToDate() {
		return mode
	}
	if d.ranConfirmed {
		return confspread.Mode_MODE_UNCONFIRMED
	}
	return confspread.Mode_MODE_STARTING
}

// isUpToDate reports whether the latest revision held is in force. mu must be
// held.
func (d *Daemon) isUpToDate() bool {
	return d.Configuration().GetRevision() == d.follower.Versions().Revision()
}

// Changed returns a channel that is closed at the next change of the revision
// or its confirmation.
func (d *Daemon) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Next waits until a revision later than the given one is in force and the
// daemon may serve callers with it, and returns it. It fails only with ctx.
func (d *Daemon) Next(ctx context.Context, revision uint64) (*service.Configuration, error) {
	for {
		changed := d.Changed()
		// The mode comes first: once serving, a later revision only makes it surer.
		isServing := d.State().Mode != confspread.Mode_MODE_STARTING
		cfg := d.Configuration()
		if isServing && cfg.GetRevision() > revision {
			return cfg, nil
		}
		var startup <-chan time.Time
		if !isServing {
			// The end of StartupWait closes no channel.
			startup = time.After(startupCheck)
		}
		select {
		case <-changed:
		case <-startup:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Register adds the service that other daemons poll to mux.
func (d *Daemon) Register(mux *http.ServeMux) {
	server := confspread.NewSpreadServer(d)
	mux.Handle(server.PathPrefix(), bounded(server, maxPollRequestBytes))
}

// Run follows the configuration until ctx ends. It returns nil then.
func (d *Daemon) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { d.followLoop(ctx); return nil })
	group.Go(func() error { d.refreshLoop(ctx); return nil })
	group.Go(func() error { d.probeLoop(ctx); return nil })
	group.Go(func() error { d.reportLoop(ctx); return nil })
	return group.Wait()
}

// followLoop keeps one long poll open.
func (d *Daemon) followLoop(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if d.poll(ctx, pollHold) {
			backoff = firstBackoff
			continue
		}
		wait.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// refreshLoop asks upstream for a confirmation at once, when a daemon that
// starts needs one. Requests that come meanwhile share the next answer.
func (d *Daemon) refreshLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.refresh:
			d.poll(ctx, 0)
		}
	}
}

// probeLoop tries control, one process after the other, while this daemon is a
// relay that follows other daemons.
func (d *Daemon) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for i := 0; len(d.opts.Control) > 0; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		addr := d.opts.Control[i%len(d.opts.Control)]
		if request := d.nextProbe(); request != nil {
			d.pollTarget(ctx, spreadstate.Target{Addr: addr, Control: true}, request)
		}
	}
}

// nextProbe returns the request of a probe, or nil when none is needed.
func (d *Daemon) nextProbe() *confspread.PollRequest {
	members := d.opts.Members.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.upstream != "" || !d.chooser.IsRelay(d.opts.Now(), members) {
		return nil
	}
	return d.request(0)
}

// poll polls once and reports whether the answer was of use.
func (d *Daemon) poll(ctx context.Context, hold time.Duration) bool {
	target, request := d.nextPoll(hold)
	if target.Addr == "" {
		return false
	}
	return d.pollTarget(ctx, target, request)
}

func (d *Daemon) pollTarget(ctx context.Context, target spreadstate.Target, request *confspread.PollRequest) bool {
	hold := time.Duration(request.GetHoldMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, hold+pollGrace)
	defer cancel()
	sentAt := d.opts.Now()
	answer, err := d.client(target).Poll(ctx, request)
	if err == nil {
		err = d.take(sentAt, answer)
	}
	if err != nil {
		d.opts.Log.V(1).Info("poll failed", "addr", target.Addr, "error", err.Error())
		d.fail(target, spreadstate.FailureUnresponsive)
		return false
	}
	return d.judge(target, answer)
}

// poller is the part of the two services that a follower uses.
type poller interface {
	Poll(context.Context, *confspread.PollRequest) (*confspread.PollResponse, error)
}

func (d *Daemon) client(target spreadstate.Target) poller {
	if target.Control {
		return d.opts.Peers.Control(target.Addr)
	}
	return d.opts.Peers.Spread(target.Addr)
}

func (d *Daemon) nextPoll(hold time.Duration) (spreadstate.Target, *confspread.PollRequest) {
	members := d.opts.Members.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	target := d.chooser.Select(d.opts.Now(), d.opts.Control, members)
	return target, d.request(hold)
}

// request returns a poll's request. mu must be held.
func (d *Daemon) request(hold time.Duration) *confspread.PollRequest {
	request := d.describe()
	request.HoldMs = uint32(hold.Milliseconds())
	request.ConfirmNow = hold == 0 || !d.follower.IsConfirmedSinceStart()
	return request
}

// describe returns a request with this daemon's state. mu must be held.
func (d *Daemon) describe() *confspread.PollRequest {
	return &confspread.PollRequest{
		From: &confspread.Member{
			Name:          d.opts.Self.Name,
			FailureDomain: d.opts.Self.FailureDomain,
		},
		Revision: d.follower.Versions().Revision(),
		InForce:  d.Configuration().GetRevision(),
		Mode:     d.mode(),
	}
}

// take puts an answer in force. Where there is a disk, a revision is synced
// before it is in force, so that a restart does not go below it.
func (d *Daemon) take(sentAt time.Time, answer *confspread.PollResponse) error {
	d.mu.Lock()
	_, err := d.follower.ApplyResponse(sentAt, answer)
	cfg := d.follower.Versions().Configuration()
	d.mu.Unlock()
	if err != nil {
		return err
	}
	if err := d.enforce(cfg); err != nil {
		d.opts.Log.Error(err, "configuration not in force", "revision", cfg.GetRevision())
	}
	d.notify()
	return nil
}

func (d *Daemon) enforce(cfg *service.Configuration) error {
	d.enforceMu.Lock()
	defer d.enforceMu.Unlock()
	if cfg.GetRevision() <= d.Configuration().GetRevision() {
		return nil
	}
	if d.opts.Store != nil {
		if err := d.opts.Store.Save(cfg); err != nil {
			return err
		}
	}
	d.inForce.Store(cfg)
	wake(d.news)
	d.opts.Log.Info("configuration in force", "revision", cfg.GetRevision())
	return nil
}

func (d *Daemon) notify() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.follower.IsConfirmedSinceStart() && d.isUpToDate() {
		d.ranConfirmed = true
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Daemon) fail(target spreadstate.Target, kind spreadstate.FailureKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chooser.RecordFailure(target, kind, d.opts.Now())
	if target.Control && target.Addr == d.upstream {
		d.upstream = ""
	}
}

// judge passes over a process that cannot say of late that it is current.
func (d *Daemon) judge(target spreadstate.Target, answer *confspread.PollResponse) bool {
	age := time.Duration(answer.GetConfirmedAgeUs()) * time.Microsecond
	if !answer.GetConfirmed() || age > spreadstate.UpstreamStalenessLimit {
		d.fail(target, spreadstate.FailureStale)
		return false
	}
	d.setUpstream(target)
	return true
}

func (d *Daemon) setUpstream(target spreadstate.Target) {
	upstream := ""
	if target.Control {
		upstream = target.Addr
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chooser.RecordSuccess(target)
	if upstream != "" && d.upstream == "" {
		wake(d.news)
	}
	d.upstream = upstream
}

// wake makes a waiting loop run once more.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
