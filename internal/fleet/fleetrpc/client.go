// Package fleetrpc follows control daemons: it keeps one poll open to a control
// daemon, moves on to another when that one fails or is not current, and
// remembers all whose addresses it has learnt.
package fleetrpc

import (
	"context"
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
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/netopt"
	"hemlockmast/internal/shared/packed"
	"hemlockmast/internal/shared/wait"
)

const (
	// pollGrace is how much longer than its wait a poll may take.
	pollGrace = 700 * time.Millisecond
	// firstPause and maxPause bound the pause after all daemons failed.
	firstPause = 50 * time.Millisecond
	maxPause   = 60 * time.Millisecond
	// nearerFirst is how long a daemon elsewhere is followed before one in this failure
	// domain is tried: after a start of all it is current as soon. The time doubles with
	// each try in vain, up to nearerAfter.
	nearerFirst = 200 * time.Millisecond
	nearerAfter = 3 * time.Second
	// firstWait is how long a daemon that knows of no current control daemon waits at one
	// for it to become current; an election takes about as long.
	firstWait = 300 * time.Millisecond
	// maxRemembered bounds the remembered addresses.
	maxRemembered = 64
	// callTimeout bounds a call that waits for nothing.
	callTimeout = time.Second
)

// NewHTTPClient returns a client for calls between daemons.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         netopt.Dialer().DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}}
}

// Client returns the service of the control daemon at address.
func Client(client *http.Client, address string) fleetpb.Fleet {
	return fleetpb.NewFleetProtobufClient("http://"+address, client)
}

// Sink takes what a control daemon tells.
type Sink interface {
	// ConfigurationVersion returns the version held; 0 asks for the whole.
	ConfigurationVersion() uint64
	// Take is called with each answer, also of a daemon that is not current.
	Take(answer *fleetpb.FollowResponse)
}

// Follower follows one control daemon at a time.
type Follower struct {
	// Name and FailureDomain are the daemon's own.
	Name          string
	FailureDomain string
	// Carrier is where this entry lends connections, "" if it does not.
	Carrier string
	Sink    Sink
	HTTP    *http.Client
	Log     logr.Logger
	// AcceptStaleAfter is how long after the start a configuration is taken only from
	// a daemon that is current.
	AcceptStaleAfter time.Duration

	// mu guards the fields below; nothing else is locked under it.
	mu        sync.Mutex
	addresses []string
	domains   map[string]string
	current   string
	leader    string
	// held is, by address, up to where this daemon knows what a control daemon told.
	held map[string]heldState
	// notCurrent are the control daemons that were not current since one was followed
	// last; one that is asked again waits until it is.
	notCurrent map[string]bool
	// carriersDigest is of the carriers that the Sink holds.
	carriersDigest uint64
	// lostAt is when the daemon followed stopped answering; zero while one does.
	lostAt  time.Time
	started time.Time
	// nearerTries counts the tries of a nearer daemon since one was followed.
	nearerTries int
	// leaving is set once the entry stops lending.
	leaving atomic.Bool
}

// heldState names a version of one run of a control daemon.
type heldState struct{ source, version uint64 }

// WithdrawCarrier makes control daemons stop telling other entries to borrow connections
// here.
func (f *Follower) WithdrawCarrier() { f.leaving.Store(true) }

// AddAddresses adds addresses of control daemons.
func (f *Follower) AddAddresses(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		if slices.Contains(f.addresses, a) {
			continue
		}
		if len(f.addresses) >= maxRemembered {
			f.addresses = f.addresses[1:]
		}
		f.addresses = append(f.addresses, a)
	}
}

func (f *Follower) learnDomains(list []*fleetpb.ControlDaemon) {
	addresses := make([]string, 0, len(list))
	f.mu.Lock()
	if f.domains == nil {
		f.domains = make(map[string]string)
	}
	for _, d := range list {
		addresses = append(addresses, d.Address)
		if d.FailureDomain != "" {
			f.domains[d.Address] = d.FailureDomain
		}
	}
	f.mu.Unlock()
	f.AddAddresses(addresses)
}

// hasNearer reports whether a control daemon in this failure domain is known
// while another one is followed. It is tried from time to time.
func (f *Follower) hasNearer(address string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.domains[address] == f.FailureDomain {
		f.nearerTries = 0
		return false
	}
	if time.Since(since) < nearerPause(f.nearerTries) {
		return false
	}
	for _, domain := range f.domains {
		if domain == f.FailureDomain {
			f.nearerTries++
			return true
		}
	}
	return false
}

// nearerPause is how long a daemon elsewhere is followed after so many tries.
func nearerPause(tries int) time.Duration {
	pause := nearerFirst
	for range tries {
		if pause = min(2*pause, nearerAfter); pause == nearerAfter {
			break
		}
	}
	return pause
}

// Leader returns the address of the leader as last told, or "".
func (f *Follower) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// LostFor returns for how long no current control daemon has answered; 0 while one
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

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.started = time.Now()
	f.lostAt = f.started
	f.mu.Unlock()
	pause := firstPause
	for ctx.Err() == nil {
		list := f.order()
		for _, address := range list {
			if f.followOne(ctx, address) {
				pause = firstPause
			}
			if ctx.Err() != nil {
				return
			}
		}
		if len(f.order()) > len(list) {
			// Others were named: one of them may be current.
			continue
		}
		wait.For(ctx, pause+rand.N(pause))
		pause = min(2*pause, maxPause)
	}
}

// order lists the addresses: those in this failure domain first, then the one
// followed last, the others in random order.
func (f *Follower) order() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.Clone(f.addresses)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	rank := func(address string) int {
		switch {
		case f.domains[address] == f.FailureDomain:
			return 0
		case address == f.current:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(list, func(a, b string) int { return rank(a) - rank(b) })
	return list
}

// followOne polls one daemon until it fails or is not current; it reports
// whether any answer was good.
func (f *Follower) followOne(ctx context.Context, address string) bool {
	request := f.request(address)
	good := false
	since := time.Now()
	service := Client(f.HTTP, address)
	for ctx.Err() == nil {
		request.ConfigurationVersion = f.Sink.ConfigurationVersion()
		request.Carrier = f.Carrier
		if f.leaving.Load() {
			request.Carrier = ""
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+pollGrace)
		answer, err := service.Follow(callCtx, request)
		cancel()
		if err == nil {
			err = unpack(answer)
		}
		if err != nil {
			f.lost(address, good, err)
			return good
		}
		if !answer.Current && f.sinceStart() < f.AcceptStaleAfter {
			// Before a current daemon was looked for, an old configuration would
			// take callers back to what a restart should not bring back.
			answer.Configuration = nil
		}
		f.Sink.Take(answer)
		f.learnDomains(answer.Control)
		if !answer.Current {
			f.hold(address, answer)
			f.lost(address, good, &NotCurrentError{Address: address})
			return good
		}
		f.hold(address, answer)
		f.found(address, answer.Leader, good)
		if f.hasNearer(address, since) {
			return true
		}
		good = true
		request.Source, request.Version = answer.Source, answer.Version
		request.CarriersDigest = answer.CarriersDigest
		request.AwaitCurrent = false
		request.WaitMs = uint32(fleethub.MaxEntryWait.Milliseconds())
	}
	return good
}

// unpack restores a configuration that was packed. Errors: *packed.Error.
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

// request returns the first poll of a daemon.
func (f *Follower) request(address string) *fleetpb.FollowRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &fleetpb.FollowRequest{
		Daemon: f.Name, FailureDomain: f.FailureDomain, IsEntry: true,
		Source: f.held[address].source, Version: f.held[address].version,
		CarriersDigest: f.carriersDigest,
	}
	if f.notCurrent[address] {
		r.AwaitCurrent = true
		r.WaitMs = uint32(firstWait.Milliseconds())
	}
	return r
}

// hold notes what an answer leaves known.
func (f *Follower) hold(address string, answer *fleetpb.FollowResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.held == nil || len(f.held) >= maxRemembered {
		f.held = make(map[string]heldState)
	}
	f.held[address] = heldState{source: answer.Source, version: answer.Version}
	if answer.Current {
		f.notCurrent = nil
		f.carriersDigest = answer.CarriersDigest
		return
	}
	if f.notCurrent == nil || len(f.notCurrent) >= maxRemembered {
		f.notCurrent = make(map[string]bool)
	}
	f.notCurrent[address] = true
}

// NotCurrentError reports a control daemon that has lost its leader.
type NotCurrentError struct{ Address string }

func (e *NotCurrentError) Error() string { return "control daemon " + e.Address + " is not current" }

func (f *Follower) found(address, leader string, again bool) {
	f.mu.Lock()
	f.current, f.leader, f.lostAt = address, leader, time.Time{}
	f.mu.Unlock()
	if !again {
		f.Log.Info("control daemon followed", "control", address, "leader", leader)
	}
}

func (f *Follower) lost(address string, wasGood bool, err error) {
	f.mu.Lock()
	if f.current == address {
		f.current = ""
		f.lostAt = time.Now()
	}
	f.mu.Unlock()
	if wasGood {
		f.Log.Info("control daemon lost", "control", address, "error", err.Error())
	}
}

// Report tells control that an endpoint does not serve: the daemon that is followed and
// the leader, or, while none is followed, every known one. A report that meets a change
// of the leader is repeated as long as the endpoint does not serve. It returns an error if
// none was told.
func (f *Follower) Report(ctx context.Context, r *fleetpb.ReportRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	addresses := f.reportTo()
	errs := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() {
			_, err := Client(f.HTTP, address).Report(ctx, r)
			errs <- err
		}()
	}
	var last error
	told := false
	for range addresses {
		if err := <-errs; err != nil {
			last = err
		} else {
			told = true
		}
	}
	if told {
		return nil
	}
	return last
}

// reportTo lists the daemons that a report goes to.
func (f *Follower) reportTo() []string {
	f.mu.Lock()
	current, leader := f.current, f.leader
	f.mu.Unlock()
	switch {
	case current == "" || leader == "":
		return f.order()
	case current == leader:
		return []string{leader}
	}
	return []string{current, leader}
}

// Position asks the control daemon that is followed for the position of a primary's
// log. Errors: *NotFollowedError, twirp's.
func (f *Follower) Position(ctx context.Context, endpointID string) (logpos.Pos, error) {
	f.mu.Lock()
	address := f.current
	f.mu.Unlock()
	if address == "" {
		return logpos.Pos{}, &NotFollowedError{}
	}
	answer, err := Client(f.HTTP, address).Position(ctx, &fleetpb.PositionRequest{EndpointId: endpointID})
	if err != nil {
		return logpos.Pos{}, err
	}
	return logpos.Pos{Term: answer.Term, Index: answer.Index}, nil
}

// NotFollowedError reports that no current control daemon is known.
type NotFollowedError struct{}

func (*NotFollowedError) Error() string { return "no current control daemon is known" }

// SamePort returns addresses of the hosts of list at port.
func SamePort(list []string, port string) []string {
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
