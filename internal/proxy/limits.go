package proxy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/quota"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/stmt"
)

const (
	// limitWaitDivisor sets how long an operation waits for a token, as a part of the route's
	// target; limitTimeoutDivisor as a part of its timeout, if the route has no target.
	limitWaitDivisor    = 4
	limitTimeoutDivisor = 10
	// granterPause is how long an entry is not asked again after it did not grant.
	granterPause = 250 * time.Millisecond
	// maxGrantingWithoutControl is how long a granter goes on while it is cut off from control.
	// Another one may have been chosen meanwhile.
	maxGrantingWithoutControl = 500 * time.Millisecond
	// limitLogHold is the time without a refusal, or without a failed request, after which the end
	// of a limitation or of a fallback is logged. It bounds the log lines of a workspace.
	limitLogHold = 5 * time.Second
	// maxLoggedWorkspaces bounds the names in a log line.
	maxLoggedWorkspaces = 10
)

// limiter keeps the operations of workspaces within their limits over all entries, together with
// the limiters of the other entries; package quota explains how.
type limiter struct {
	self          string
	failureDomain string
	validity      time.Duration
	// lostFor returns for how long this entry has been cut off from control, as in cutOffFor.
	lostFor func() time.Duration
	hop     *hop.Client
	metrics *metrics.Set
	log     logr.Logger

	// mu guards the fields below and the accounts. Lock order: mu, then that of hop.Client (IsDown)
	// or of a metric. lostFor, which takes locks of reachability and of control's client, is called without it.
	mu sync.Mutex
	// config is the configuration that workspaces and granters were computed from.
	config     *fleetpb.Configuration
	workspaces map[string]*fleetpb.Workspace
	// carriers is the snapshot's. entries are the addresses of all entries, neighbors those of
	// this failure domain. members counts entries, or all that control counts if it names none.
	carriers           map[string][]string
	entries, neighbors []string
	members            quota.Members
	accounts           map[string]*account
	// granters holds the buckets of the workspaces that this entry grants, fallbacks those of the
	// failure domain's shares.
	granters  map[string]*quota.Granter
	fallbacks map[string]*quota.FallbackGranter
	// events are log lines to be written once mu is released.
	events []logEvent
}

// logEvent is a log line.
type logEvent struct {
	message string
	fields  []any
}

// account is the stock of a workspace's tokens with its requests. limiter.mu guards it.
type account struct {
	*quota.Account
	name string
	// granter and fallback are the entries that grant the workspace's tokens and those of the
	// failure domain's share; "" if there is none.
	granter, fallback string
	// Until the times in pausedUntil, by address, an entry is not asked.
	pausedUntil map[string]time.Duration
	// waiting counts the operations that wait. answered is closed when the request in
	// flight is answered or has failed; nil without one.
	waiting  quota.Waiting
	answered chan struct{}
	// isLimited and isInFallback say what was logged. refusedAt is when an operation was last
	// refused, refusals how many were since the limitation began, failedAt when a request to the
	// granter last failed.
	isLimited, isInFallback bool
	refusals                int
	refusedAt, failedAt     time.Duration
}

func newLimiter(cfg Config, client *hop.Client, lostFor func() time.Duration) *limiter {
	window := cfg.QuotaWindow
	if window == 0 {
		window = quota.DefaultWindow
	}
	return &limiter{
		self: cfg.Carrier, failureDomain: cfg.FailureDomain, validity: quota.Validity(window),
		lostFor: lostFor, hop: client, metrics: cfg.Metrics, log: cfg.Log,
		workspaces: make(map[string]*fleetpb.Workspace), accounts: make(map[string]*account),
		granters: make(map[string]*quota.Granter), fallbacks: make(map[string]*quota.FallbackGranter),
	}
}

func limitOf(w *fleetpb.Workspace) quota.Limit {
	return quota.Limit{Rate: w.GetRatePerS(), Burst: w.GetBurst()}
}

// logLater has a line logged when unlock is called.
func (l *limiter) logLater(message string, fields ...any) {
	l.events = append(l.events, logEvent{message: message, fields: fields})
}

// unlock releases mu and writes the log lines of the time when it was held.
func (l *limiter) unlock() {
	events := l.events
	l.events = nil
	l.mu.Unlock()
	for _, e := range events {
		l.log.Info(e.message, e.fields...)
	}
}

// apply applies a new snapshot of the view.
func (l *limiter) apply(snapshot *fleetview.Snapshot) {
	l.mu.Lock()
	defer l.unlock()
	now := boottime.Now()
	changed := l.applyEntries(snapshot, now)
	if snapshot.Config != l.config {
		changed = true
		l.config = snapshot.Config
		l.workspaces = make(map[string]*fleetpb.Workspace)
		for _, w := range snapshot.Config.GetWorkspaces() {
			if w.RatePerS > 0 {
				l.workspaces[w.Name] = w
			}
		}
		maps.DeleteFunc(l.accounts, func(name string, _ *account) bool { return l.workspaces[name] == nil })
		maps.DeleteFunc(l.fallbacks, func(name string, _ *quota.FallbackGranter) bool { return l.workspaces[name] == nil })
	}
	if changed {
		l.chooseGranters(now)
	}
}

// applyEntries applies the entries that control knows and reports whether they changed.
func (l *limiter) applyEntries(snapshot *fleetview.Snapshot, now time.Duration) bool {
	changed := !maps.EqualFunc(l.carriers, snapshot.Carriers, slices.Equal[[]string])
	if changed {
		l.carriers = snapshot.Carriers
		l.entries = slices.Concat(slices.Collect(maps.Values(snapshot.Carriers))...)
		l.neighbors = snapshot.Carriers[l.failureDomain]
	}
	count := len(l.entries)
	if count == 0 {
		count = max(1, snapshot.EntryCount)
	}
	l.members.Set(count, now)
	return changed
}

// chooseGranters chooses the granters of all workspaces anew.
func (l *limiter) chooseGranters(now time.Duration) {
	var gained, lost []string
	for name, w := range l.workspaces {
		chosen := quota.ChooseGranter(name, l.entries)
		if a := l.accounts[name]; a != nil {
			l.assign(a, chosen)
		}
		if chosen != "" && chosen == l.self && l.granters[name] == nil {
			l.granters[name] = quota.NewGranter(limitOf(w), now)
			gained = append(gained, name)
		}
		if chosen != l.self && l.granters[name] != nil {
			lost = append(lost, name)
		}
	}
	for name := range l.granters {
		if l.workspaces[name] == nil {
			lost = append(lost, name)
		}
	}
	for _, name := range lost {
		delete(l.granters, name)
	}
	if len(gained)+len(lost) == 0 {
		return
	}
	l.metrics.GranterChanged(len(gained), len(lost))
	l.logLater("granter of workspaces changed", "gained", len(gained), "gainedWorkspaces", firstNames(gained),
		"lost", len(lost), "lostWorkspaces", firstNames(lost), "grants", len(l.granters), "entries", len(l.entries))
}

// firstNames returns the first names of a list for a log line.
func firstNames(list []string) []string {
	slices.Sort(list)
	return list[:min(len(list), maxLoggedWorkspaces)]
}

// assign gives an account its granter.
func (l *limiter) assign(a *account, granter string) {
	if a.granter != granter {
		a.ChangeGranter()
		a.granter = granter
	}
	a.fallback = quota.ChooseFallback(a.name, l.neighbors, granter)
}

// account returns the account of a workspace and creates it if needed.
func (l *limiter) account(w *fleetpb.Workspace) *account {
	a := l.accounts[w.Name]
	if a == nil {
		a = l.newAccount(w, rand.Float64())
		l.accounts[w.Name] = a
	}
	a.SetLimit(limitOf(w))
	return a
}

// newAccount returns an account of a workspace. phase is that of quota.NewAccount.
func (l *limiter) newAccount(w *fleetpb.Workspace, phase float64) *account {
	a := &account{
		Account: quota.NewAccount(limitOf(w), l.validity, phase),
		name:    w.Name, pausedUntil: make(map[string]time.Duration),
	}
	l.assign(a, quota.ChooseGranter(w.Name, l.entries))
	return a
}

// GrantTokens implements hop.Lender.
func (s *Server) GrantTokens(r hop.TokenRequest) (granted int, retry time.Duration, isGranter bool) {
	l := s.limiter
	lostFor := l.lostFor()
	l.mu.Lock()
	defer l.unlock()
	return l.grant(r, boottime.Now(), lostFor)
}

// grant answers a request for tokens of this entry or of another one.
func (l *limiter) grant(r hop.TokenRequest, now, lostFor time.Duration) (granted int, retry time.Duration, isGranter bool) {
	w := l.workspaces[r.Workspace]
	if w == nil {
		return 0, 0, false
	}
	if r.OfDomain {
		return l.grantOfDomain(w, r, now, lostFor)
	}
	if lostFor > maxGrantingWithoutControl {
		// Another granter may have granted all tokens when control answers again.
		delete(l.granters, w.Name)
		return 0, 0, false
	}
	g := l.granters[w.Name]
	if g == nil {
		if l.self == "" || quota.ChooseGranter(w.Name, l.entries) != l.self {
			return 0, 0, false
		}
		g = quota.NewGranter(limitOf(w), now)
		l.granters[w.Name] = g
	}
	g.Advance(limitOf(w), l.members.Live(now), now)
	granted, retry = g.Grant(r.Request)
	l.metrics.TokensGranted(metrics.LimitOfAll, granted)
	return granted, retry, true
}

// grantOfDomain grants tokens of the failure domain's share.
func (l *limiter) grantOfDomain(w *fleetpb.Workspace, r hop.TokenRequest, now, lostFor time.Duration) (granted int, retry time.Duration, isGranter bool) {
	if !slices.Contains(l.neighbors, l.self) {
		return 0, 0, false
	}
	share := limitOf(w).Share(float64(len(l.neighbors)) / float64(l.members.Count(now)))
	f := l.fallbacks[w.Name]
	if f == nil {
		f = quota.NewFallbackGranter(share, now)
		l.fallbacks[w.Name] = f
	}
	granted, retry = f.Grant(share, r.Request, now, lostFor)
	l.metrics.TokensGranted(metrics.LimitOfDomain, granted)
	return granted, retry, true
}

// takeToken takes one operation from a workspace's limit. It waits for a token as long as the
// route's target allows. The error is the answer to the caller. w is nil where callers are not
// identified.
func (s *Server) takeToken(w *fleetpb.Workspace, route *fleetpb.Route, arrival time.Time) *stmt.Error {
	if w.GetRatePerS() <= 0 {
		return nil
	}
	return s.limiter.take(w, quota.Priority(int(route.GetPriority())), arrival.Add(limitWait(route)))
}

// limitWait returns how long an operation of a route waits for a token.
func limitWait(route *fleetpb.Route) time.Duration {
	if wait := time.Duration(route.GetTargetMs()) * time.Millisecond / limitWaitDivisor; wait > 0 {
		return wait
	}
	return time.Duration(route.GetTimeoutMs()) * time.Millisecond / limitTimeoutDivisor
}
