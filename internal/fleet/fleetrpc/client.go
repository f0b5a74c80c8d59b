// Package fleetrpc is the client of control daemons. Its Follower keeps one long poll open
// to a control daemon, switches to another one when that daemon fails or is not current,
// and remembers the addresses of the settings and of the last members of the control group.
package fleetrpc

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleethub"
	"hemlockmast/internal/fleet/leaving"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/netopt"
	"hemlockmast/internal/shared/packed"
	"hemlockmast/internal/shared/wait"
)

const (
	// pollTimeoutMargin is how much longer than its requested wait a poll may take.
	pollTimeoutMargin = 700 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after all daemons failed. A random time
	// of up to the same length is added.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 60 * time.Millisecond
	// minNearerDelay is how long a daemon in another failure domain is followed before one
	// in this failure domain is tried. When the whole system starts, the latter becomes
	// current at about the same time. The delay doubles with each failed attempt, up to
	// maxNearerDelay.
	minNearerDelay = 200 * time.Millisecond
	maxNearerDelay = 3 * time.Second
	// awaitCurrentWait is the requested wait of a poll of a daemon that was not current,
	// while no current one is known. It is about as long as an election.
	awaitCurrentWait = 300 * time.Millisecond
	// maxRemembered limits the number of daemons that a Follower remembers.
	maxRemembered = 64
	// callTimeout bounds a call that does not wait for an event.
	callTimeout = time.Second
)

// NewHTTPClient returns an HTTP client for calls between daemons.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         netopt.Dialer().DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}}
}

// NewClient returns an RPC client for the control daemon at address.
func NewClient(httpClient *http.Client, address string) fleetpb.Fleet {
	return fleetpb.NewFleetProtobufClient("http://"+address, httpClient)
}

// Sink receives the state that control daemons report.
type Sink interface {
	// ConfigurationVersion returns the version of the configuration that the sink holds,
	// or 0 to request the whole configuration.
	ConfigurationVersion() uint64
	// LeavingAges returns for how long endpoints have been leaving.
	LeavingAges() []*fleetpb.LeavingAge
	// Apply is called with each answer, including those of daemons that are not current. The ages
	// in it are those of the call.
	Apply(answer *fleetpb.FollowResponse)
}

// Follower follows one control daemon at a time. Its exported fields must be set before
// Run. Its methods are safe for concurrent use.
type Follower struct {
	// Name and FailureDomain are those of this entry.
	Name          string
	FailureDomain string
	// Carrier is the address at which this entry lends connections, or "" if it does not.
	Carrier string
	Sink    Sink
	HTTP    *http.Client
	Log     logr.Logger
	// AcceptStaleAfter is the time after the start of Run from which a configuration is
	// also accepted from a daemon that is not current.
	AcceptStaleAfter time.Duration

	// mu guards the fields below; nothing else is locked under it.
	mu sync.Mutex
	// seeds are the addresses of the settings, members those that the last current control
	// daemon listed, learned those that daemons listed since which were not current.
	seeds, members, learned []string
	// domains holds the failure domains of control daemons by address.
	domains map[string]string
	// followed is the address of the current control daemon that is followed, or "".
	followed string
	// leader is the address of the leader as last reported, or "".
	leader string
	// held holds, by address, the latest version received from a control daemon.
	held map[string]heldVersion
	// notCurrent holds, by address, the control daemons that were polled and not current
	// since one was last followed. The next poll of such a daemon waits for it to become
	// current.
	notCurrent map[string]bool
	// carriersDigests are, by failure domain, the digests of the carriers that the sink holds.
	carriersDigests map[string]uint64
	// lostAt is when the followed daemon was lost, or when Run began if none was followed
	// yet. It is zero while one is followed.
	lostAt time.Time
	// started is when Run began.
	started time.Time
	// nearerAttempts counts the attempts to follow a daemon in this failure domain since one
	// was last followed.
	nearerAttempts int
	// isWithdrawn means that this entry no longer lends connections.
	isWithdrawn atomic.Bool
}

// heldVersion identifies a version of the state of one run of a control daemon.
type heldVersion struct{ source, version uint64 }

// WithdrawCarrier makes the following polls say that this entry no longer lends connections.
// Control daemons then stop naming its carrier to other entries.
func (f *Follower) WithdrawCarrier() { f.isWithdrawn.Store(true) }

// SetSeeds sets the addresses of control daemons from the settings. They are tried when none
// of the others answers.
func (f *Follower) SetSeeds(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = slices.Clone(addresses[:min(len(addresses), maxRemembered)])
}

// applyControlDaemons applies a daemon's list of control daemons with their failure domains.
// That of a current daemon replaces what was known, so that control daemons which are gone are
// forgotten; others only add to it.
func (f *Follower) applyControlDaemons(list []*fleetpb.ControlDaemon, isCurrent bool) {
	addresses := make([]string, 0, len(list))
	for _, d := range list[:min(len(list), maxRemembered)] {
		if !slices.Contains(addresses, d.Address) {
			addresses = append(addresses, d.Address)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case isCurrent && len(addresses) > 0:
		f.members, f.learned = addresses, nil
	case !isCurrent:
		for _, a := range addresses {
			if len(f.learned) < maxRemembered && !slices.Contains(f.learned, a) && !slices.Contains(f.members, a) {
				f.learned = append(f.learned, a)
			}
		}
	}
	if f.domains == nil {
		f.domains = make(map[string]string)
	}
	for _, d := range list {
		if d.FailureDomain != "" {
			f.domains[d.Address] = d.FailureDomain
		}
	}
	known := f.addresses()
	maps.DeleteFunc(f.domains, func(address, _ string) bool { return !slices.Contains(known, address) })
}

// addresses returns the addresses of all known control daemons, each once, and at most
// maxRemembered with the seeds among them. mu must be held.
func (f *Follower) addresses() []string {
	list := slices.Concat(f.members, f.learned)
	list = list[:min(len(list), maxRemembered-len(f.seeds))]
	for _, a := range f.seeds {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// shouldTryNearer reports whether to try a control daemon in this failure domain. That is
// the case if one is known and the daemon at address, which is in another failure domain,
// has been followed for at least nearerDelay. since is when that began. It counts the
// attempt.
func (f *Follower) shouldTryNearer(address string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.domains[address] == f.FailureDomain {
		f.nearerAttempts = 0
		return false
	}
	if time.Since(since) < nearerDelay(f.nearerAttempts) {
		return false
	}
	for _, a := range f.members {
		if f.domains[a] == f.FailureDomain {
			f.nearerAttempts++
			return true
		}
	}
	return false
}

// nearerDelay returns how long a daemon in another failure domain is followed before the
// next attempt to follow a nearer one, after the given number of failed attempts.
func nearerDelay(attempts int) time.Duration {
	delay := minNearerDelay
	for range attempts {
		if delay = min(2*delay, maxNearerDelay); delay == maxNearerDelay {
			break
		}
	}
	return delay
}

// Leader returns the address of the leader as last reported, or "".
func (f *Follower) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// LostFor returns for how long no current control daemon has been followed, or 0 while one
// is followed.
func (f *Follower) LostFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAt.IsZero() {
		return 0
	}
	return time.Since(f.lostAt)
}

func (f *Follower) sinceStart() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.started)
}

// Run follows control daemons until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.started = time.Now()
	f.lostAt = f.started
	f.mu.Unlock()
	backoff := minBackoff
	for ctx.Err() == nil {
		list := f.order()
		for _, address := range list {
			if f.followDaemon(ctx, address) {
				backoff = minBackoff
			}
			if ctx.Err() != nil {
				return
			}
		}
		if len(f.order()) > len(list) {
			// A daemon named other control daemons. One of them may be current.
			continue
		}
		wait.For(ctx, backoff+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// order returns the addresses in the order in which to try them: daemons in this failure
// domain, the one followed last, the others, and last those that the last current daemon did
// not list, as they are probably gone. Daemons with equal rank are in random order.
func (f *Follower) order() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.addresses()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	rank := func(address string) int {
		switch {
		case len(f.members) > 0 && !slices.Contains(f.members, address):
			return 3
		case f.domains[address] == f.FailureDomain:
			return 0
		case address == f.followed:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(list, func(a, b string) int { return rank(a) - rank(b) })
	return list
}

// followDaemon polls one daemon until it fails, is not current, or a nearer daemon should
// be tried. It reports whether the daemon was current at least once.
func (f *Follower) followDaemon(ctx context.Context, address string) bool {
	request := f.request(address)
	wasCurrent := false
	since := time.Now()
	client := NewClient(f.HTTP, address)
	for ctx.Err() == nil {
		request.ConfigurationVersion = f.Sink.ConfigurationVersion()
		request.Carrier = f.Carrier
		if f.isWithdrawn.Load() {
			request.Carrier = ""
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+pollTimeoutMargin)
		request.Leaving = f.Sink.LeavingAges()
		sentAt := boottime.Now()
		answer, err := client.Follow(callCtx, request)
		cancel()
		if err == nil {
			err = unpack(answer)
		}
		if err != nil {
			f.noteLost(address, wasCurrent, err)
			return wasCurrent
		}
		if !answer.Current && f.sinceStart() < f.AcceptStaleAfter {
			// A daemon that is not current may hold an outdated configuration. After a
			// restart, accepting it before a current daemon was looked for would put
			// callers back to a former configuration.
			answer.Configuration = nil
		}
		leaving.AddTransit(answer, sentAt, boottime.Now())
		f.Sink.Apply(answer)
		f.applyControlDaemons(answer.Control, answer.Current)
		if !answer.Current {
			f.recordAnswer(address, answer)
			f.noteLost(address, wasCurrent, &NotCurrentError{Address: address})
			return wasCurrent
		}
		f.recordAnswer(address, answer)
		f.noteFollowed(address, answer.Leader, wasCurrent)
		if f.shouldTryNearer(address, since) {
			return true
		}
		wasCurrent = true
		request.Source, request.Version = answer.Source, answer.Version
		request.CarriersDigests = f.heldCarriersDigests()
		request.AwaitCurrent = false
		request.WaitMs = uint32(fleethub.MaxEntryWait.Milliseconds())
	}
	return wasCurrent
}

// unpack decompresses a compressed configuration update in an answer. Errors:
// *packed.Error.
func unpack(answer *fleetpb.FollowResponse) error {
	if answer.PackedConfiguration == nil {
		return nil
	}
	update := &fleetpb.ConfigurationUpdate{}
	if err := packed.Unmarshal(answer.PackedConfiguration, update); err != nil {
		return err
	}
	answer.Configuration, answer.PackedConfiguration = update, nil
	return nil
}

// request returns the request for the first poll when a daemon starts to be followed.
func (f *Follower) request(address string) *fleetpb.FollowRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &fleetpb.FollowRequest{
		Daemon: f.Name, FailureDomain: f.FailureDomain, IsEntry: true,
		Source: f.held[address].source, Version: f.held[address].version,
		CarriersDigests: maps.Clone(f.carriersDigests),
	}
	if f.notCurrent[address] {
		r.AwaitCurrent = true
		r.WaitMs = uint32(awaitCurrentWait.Milliseconds())
	}
	return r
}

// recordAnswer records the version in an answer and whether the daemon is current.
func (f *Follower) recordAnswer(address string, answer *fleetpb.FollowResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held == nil || len(f.held) >= maxRemembered {
		f.held = make(map[string]heldVersion)
	}
	f.held[address] = heldVersion{source: answer.Source, version: answer.Version}
	if answer.Current {
		f.notCurrent = nil
		f.recordCarriers(answer.Carriers)
		return
	}
	if f.notCurrent == nil || len(f.notCurrent) >= maxRemembered {
		f.notCurrent = make(map[string]bool)
	}
	f.notCurrent[address] = true
}

// recordCarriers records the digests of the carriers that a current daemon sent. mu must be
// held.
func (f *Follower) recordCarriers(list []*fleetpb.DomainCarriers) {
	if f.carriersDigests == nil {
		f.carriersDigests = make(map[string]uint64)
	}
	for _, d := range list {
		if d.Digest == 0 {
			delete(f.carriersDigests, d.FailureDomain)
			continue
		}
		f.carriersDigests[d.FailureDomain] = d.Digest
	}
}

// heldCarriersDigests returns the digests of the carriers that the sink holds.
func (f *Follower) heldCarriersDigests() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.carriersDigests)
}

// NotCurrentError reports that a control daemon has not known a leader for some time.
type NotCurrentError struct{ Address string }

func (e *NotCurrentError) Error() string { return "control daemon " + e.Address + " is not current" }

// noteFollowed records that a current daemon answered. isRepeated means that it is not
// the daemon's first answer.
func (f *Follower) noteFollowed(address, leader string, isRepeated bool) {
	f.mu.Lock()
	f.followed, f.leader, f.lostAt = address, leader, time.Time{}
	f.mu.Unlock()
	if !isRepeated {
		f.Log.Info("control daemon followed", "control", address, "leader", leader)
	}
}

// noteLost records that a daemon failed or is not current. wasFollowed means that it was
// followed before.
func (f *Follower) noteLost(address string, wasFollowed bool, err error) {
	f.mu.Lock()
	if f.followed == address {
		f.followed = ""
		f.lostAt = time.Now()
	}
	f.mu.Unlock()
	if wasFollowed {
		f.Log.Info("control daemon lost", "control", address, "error", err.Error())
	}
}

// Report reports to the control group that an endpoint does not serve. It calls the
// followed daemon and the leader, or all known daemons if either is unknown, and returns
// an error if no call succeeded. A report may get lost when the leader changes, so it must be
// repeated as long as the endpoint does not serve. Errors: those of twirp.
func (f *Follower) Report(ctx context.Context, r *fleetpb.ReportRequest) error {
	return f.callTargets(ctx, func(ctx context.Context, control fleetpb.Fleet) error {
		_, err := control.Report(ctx, r)
		return err
	})
}

// ConfirmClosed confirms to the control group that acknowledgements are closed, to the same
// daemons as Report. Errors: those of twirp.
func (f *Follower) ConfirmClosed(ctx context.Context, r *fleetpb.ConfirmClosedRequest) error {
	return f.callTargets(ctx, func(ctx context.Context, control fleetpb.Fleet) error {
		_, err := control.ConfirmClosed(ctx, r)
		return err
	})
}

// callTargets calls the daemons that reports go to and returns an error if no call succeeded.
func (f *Follower) callTargets(ctx context.Context, call func(context.Context, fleetpb.Fleet) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	addresses := f.reportTargets()
	errs := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { errs <- call(ctx, NewClient(f.HTTP, address)) }()
	}
	var last error
	succeeded := false
	for range addresses {
		if err := <-errs; err != nil {
			last = err
		} else {
			succeeded = true
		}
	}
	if succeeded {
		return nil
	}
	return last
}

// reportTargets returns the addresses of the daemons to send a report to.
func (f *Follower) reportTargets() []string {
	f.mu.Lock()
	followed, leader := f.followed, f.leader
	f.mu.Unlock()
	switch {
	case followed == "" || leader == "":
		return f.order()
	case followed == leader:
		return []string{leader}
	}
	return []string{followed, leader}
}

// Position requests the log position of a primary from the followed control daemon.
// Errors: *NoDaemonFollowedError, those of twirp.
func (f *Follower) Position(ctx context.Context, endpointID string) (logpos.Pos, error) {
	return f.position(ctx, &fleetpb.PositionRequest{EndpointId: endpointID})
}

// Received requests the end of what a replica has received from the followed control daemon.
// Errors: *NoDaemonFollowedError, those of twirp.
func (f *Follower) Received(ctx context.Context, endpointID string) (logpos.Pos, error) {
	return f.position(ctx, &fleetpb.PositionRequest{EndpointId: endpointID, Replica: true})
}

func (f *Follower) position(ctx context.Context, r *fleetpb.PositionRequest) (logpos.Pos, error) {
	f.mu.Lock()
	address := f.followed
	f.mu.Unlock()
	if address == "" {
		return logpos.Pos{}, &NoDaemonFollowedError{}
	}
	answer, err := NewClient(f.HTTP, address).Position(ctx, r)
	if err != nil {
		return logpos.Pos{}, err
	}
	return logpos.Pos{Term: answer.Term, Index: answer.Index}, nil
}

// NoDaemonFollowedError reports that no control daemon is followed because none is
// current.
type NoDaemonFollowedError struct{}

func (*NoDaemonFollowedError) Error() string { return "no current control daemon is known" }

// WithPort returns the addresses in list with their port replaced by port, or with port
// added if they have none.
func WithPort(list []string, port string) []string {
	out := make([]string, 0, len(list))
	for _, address := range list {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			host = address
		}
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}
