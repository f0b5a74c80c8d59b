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
	// pollHold is how long a long poll waits for a later revision.
	pollHold = time.Second
	// pollMargin is how much longer than the hold time a response may take.
	pollMargin = time.Second
	// initialPollBackoff and maxPollBackoff bound the backoff after failed polls.
	initialPollBackoff = 50 * time.Millisecond
	maxPollBackoff     = time.Second
	// probeInterval is the time between two polls of control by a relay that
	// follows other daemons.
	probeInterval = time.Second
	// startupCheckInterval is how often Next checks whether
	// StartupConfirmTimeout has passed.
	startupCheckInterval = 50 * time.Millisecond
	// reportInterval is the time between two reports without a change.
	reportInterval = 2 * time.Second
	// reportDelay is how long a report waits after a change, so that it covers
	// the changes of several daemons.
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
	// Store is nil when the daemon has no disk.
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
	// refresh wakes refreshLoop.
	refresh chan struct{}
	// reportDue wakes reportLoop.
	reportDue chan struct{}

	// applyMu is held while a revision is stored and put in force. It is never
	// taken while mu is held.
	applyMu sync.Mutex

	// mu guards the fields below. No other lock is taken while it is held.
	mu       sync.Mutex
	follower *spreadstate.Follower
	selector *spreadstate.UpstreamSelector
	tracker  *spreadstate.RevisionTracker
	// changed is closed and replaced at each change.
	changed chan struct{}
	// hasRunConfirmed is set once a confirmed revision was in force.
	hasRunConfirmed bool
	// controlUpstream is the address of the control process that this daemon
	// follows. It is empty while the daemon follows another daemon.
	controlUpstream string
}

// State describes the configuration of a daemon.
type State struct {
	// Revision is the revision in force.
	Revision uint64
	Mode     confspread.Mode
	// ConfirmedAt is the latest time for which the newest revision that the
	// daemon holds is confirmed to be current; zero without a confirmation.
	ConfirmedAt time.Time
}

// NewDaemon returns a daemon that is not running yet. If the stored
// configuration cannot be restored, NewDaemon logs the error and starts without
// it. The daemon then serves no caller until control confirms its configuration.
func NewDaemon(opts Options) *Daemon {
	d := &Daemon{
		opts:      opts,
		refresh:   make(chan struct{}, 1),
		reportDue: make(chan struct{}, 1),
		selector:  spreadstate.NewUpstreamSelector(opts.Self),
		tracker:   spreadstate.NewRevisionTracker(),
		changed:   make(chan struct{}),
	}
	d.follower, d.storeErr = restoreFollower(opts)
	if d.storeErr != nil {
		opts.Log.Error(d.storeErr, "cannot restore the stored configuration; starting without it")
	}
	d.inForce.Store(d.follower.Versions().Configuration())
	return d
}

// restoreFollower returns a follower with the stored configuration. On an error
// it returns one without a configuration, together with the error.
func restoreFollower(opts Options) (*spreadstate.Follower, error) {
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

// StoreError returns the error that prevented the use of the stored
// configuration, or nil.
func (d *Daemon) StoreError() error { return d.storeErr }

// Configuration returns the configuration in force. It is shared and must not
// be modified. Callers may be served with it once Next has returned.
func (d *Daemon) Configuration() *service.Configuration { return d.inForce.Load() }

// State returns the state of the daemon's configuration. The daemon serves
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

// mode returns how far the configuration in force is confirmed. The confirmation
// of a newer revision that is not in force yet, or that cannot be stored, does
// not count. mu must be held.
func (d *Daemon) mode() confspread.Mode {
	mode := d.follower.Mode(d.opts.Now())
	if mode != confspread.Mode_MODE_CONFIRMED || d.isUpToDate() {
		return mode
	}
	if d.hasRunConfirmed {
		return confspread.Mode_MODE_UNCONFIRMED
	}
	return confspread.Mode_MODE_STARTING
}

// isUpToDate reports whether the latest revision that the follower holds is in
// force. mu must be held.
func (d *Daemon) isUpToDate() bool {
	return d.Configuration().GetRevision() == d.follower.Versions().Revision()
}

// Changed returns a channel that is closed at the next change of the revision
// or of its confirmation.
func (d *Daemon) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Next waits until a revision later than the given one is in force and the
// daemon may serve callers with it, and returns it. Its only error is that of
// ctx.
func (d *Daemon) Next(ctx context.Context, revision uint64) (*service.Configuration, error) {
	for {
		changed := d.Changed()
		// The mode is read before the configuration. A revision that comes into
		// force in between is newer, and callers may be served with it as well.
		isServing := d.State().Mode != confspread.Mode_MODE_STARTING
		cfg := d.Configuration()
		if isServing && cfg.GetRevision() > revision {
			return cfg, nil
		}
		var startup <-chan time.Time
		if !isServing {
			// No channel is closed when StartupConfirmTimeout passes.
			startup = time.After(startupCheckInterval)
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
	mux.Handle(server.PathPrefix(), limitRequestBody(server, maxPollRequestBytes))
}

// Run follows the configuration until ctx ends, and then returns nil.
func (d *Daemon) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { d.followLoop(ctx); return nil })
	group.Go(func() error { d.refreshLoop(ctx); return nil })
	group.Go(func() error { d.probeLoop(ctx); return nil })
	group.Go(func() error { d.reportLoop(ctx); return nil })
	return group.Wait()
}

// followLoop keeps one long poll to the upstream open.
func (d *Daemon) followLoop(ctx context.Context) {
	backoff := initialPollBackoff
	for ctx.Err() == nil {
		if d.poll(ctx, pollHold) {
			backoff = initialPollBackoff
			continue
		}
		wait.For(ctx, backoff)
		backoff = min(2*backoff, maxPollBackoff)
	}
}

// refreshLoop polls the upstream without holding when a daemon that starts asks
// for a confirmation. Requests that arrive during such a poll share the next
// one.
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

// probeLoop polls the control processes in turn while this daemon is a relay
// that follows other daemons, so that it returns to control.
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

// nextProbe returns the request to probe control with, or nil when this daemon
// follows control already or is no relay.
func (d *Daemon) nextProbe() *confspread.PollRequest {
	members := d.opts.Members.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.controlUpstream != "" || !d.selector.IsRelay(d.opts.Now(), members) {
		return nil
	}
	return d.pollRequest(0)
}

// poll polls the upstream once and reports whether it sent a current response.
func (d *Daemon) poll(ctx context.Context, hold time.Duration) bool {
	target, request := d.nextPoll(hold)
	if target.Addr == "" {
		return false
	}
	return d.pollTarget(ctx, target, request)
}

// pollTarget polls target once and reports whether it sent a current response.
func (d *Daemon) pollTarget(ctx context.Context, target spreadstate.Target, request *confspread.PollRequest) bool {
	hold := time.Duration(request.GetHoldMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, hold+pollMargin)
	defer cancel()
	sentAt := d.opts.Now()
	response, err := d.client(target).Poll(ctx, request)
	if err == nil {
		err = d.handleResponse(sentAt, response)
	}
	if err != nil {
		d.opts.Log.V(1).Info("poll failed", "addr", target.Addr, "error", err.Error())
		d.recordFailure(target, spreadstate.FailureUnresponsive)
		return false
	}
	return d.recordResponse(target, response)
}

// poller is the method that the clients of daemons and of control share.
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
	target := d.selector.Select(d.opts.Now(), d.opts.Control, members)
	return target, d.pollRequest(hold)
}

// pollRequest returns the request of a poll with the given hold time. mu must be
// held.
func (d *Daemon) pollRequest(hold time.Duration) *confspread.PollRequest {
	pollRequest := d.statusRequest()
	pollRequest.HoldMs = uint32(hold.Milliseconds())
	pollRequest.ConfirmNow = hold == 0 || !d.follower.IsConfirmedSinceStart()
	return pollRequest
}

// statusRequest returns a request that states this daemon's name, revisions and
// mode. mu must be held.
func (d *Daemon) statusRequest() *confspread.PollRequest {
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

// handleResponse applies the response to a poll that was sent at sentAt. A
// revision that cannot be stored does not come into force; this is logged and
// is not an error of the response.
func (d *Daemon) handleResponse(sentAt time.Time, response *confspread.PollResponse) error {
	d.mu.Lock()
	_, err := d.follower.ApplyResponse(sentAt, response)
	cfg := d.follower.Versions().Configuration()
	d.mu.Unlock()
	if err != nil {
		return err
	}
	if err := d.apply(cfg); err != nil {
		d.opts.Log.Error(err, "cannot store the configuration; it does not come into force", "revision", cfg.GetRevision())
	}
	d.notifyChanged()
	return nil
}

// apply puts cfg in force unless its revision or a later one is in force
// already. With a disk, it syncs the revision first, so that a restart does not
// go back to an earlier one.
func (d *Daemon) apply(cfg *service.Configuration) error {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if cfg.GetRevision() <= d.Configuration().GetRevision() {
		return nil
	}
	if d.opts.Store != nil {
		if err := d.opts.Store.Save(cfg); err != nil {
			return err
		}
	}
	d.inForce.Store(cfg)
	wake(d.reportDue)
	d.opts.Log.Info("configuration in force", "revision", cfg.GetRevision())
	return nil
}

// notifyChanged updates hasRunConfirmed and wakes everyone who waits for a
// change.
func (d *Daemon) notifyChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.follower.IsConfirmedSinceStart() && d.isUpToDate() {
		d.hasRunConfirmed = true
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// recordFailure records a failed poll and stops following target if it is the
// control process followed.
func (d *Daemon) recordFailure(target spreadstate.Target, kind spreadstate.FailureKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.RecordFailure(target, kind, d.opts.Now())
	if target.Control && target.Addr == d.controlUpstream {
		d.controlUpstream = ""
	}
}

// recordResponse records a valid response as a success or, when its confirmation
// is missing or older than UpstreamStalenessLimit, as a failure. It reports
// whether it was a success.
func (d *Daemon) recordResponse(target spreadstate.Target, response *confspread.PollResponse) bool {
	age := time.Duration(response.GetConfirmedAgeUs()) * time.Microsecond
	if !response.GetConfirmed() || age > spreadstate.UpstreamStalenessLimit {
		d.recordFailure(target, spreadstate.FailureStale)
		return false
	}
	d.recordSuccess(target)
	return true
}

// recordSuccess records a current response and follows target. When the daemon
// starts to follow control, a report is due.
func (d *Daemon) recordSuccess(target spreadstate.Target) {
	controlUpstream := ""
	if target.Control {
		controlUpstream = target.Addr
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.RecordSuccess(target)
	if controlUpstream != "" && d.controlUpstream == "" {
		wake(d.reportDue)
	}
	d.controlUpstream = controlUpstream
}

// wake makes the loop that receives from ch run once more. A wake-up that is
// already pending covers this one.
func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
