package spreadstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialFailureBackoff and maxFailureBackoff bound how long a target is
	// skipped after a failure. The backoff doubles with each consecutive failure.
	initialFailureBackoff = 5 * time.Second
	maxFailureBackoff     = 40 * time.Second
	// RelayIdleTimeout is how long a daemon goes on relaying after the last poll
	// of another daemon.
	RelayIdleTimeout = 10 * time.Second
	// UpstreamStalenessLimit is the age of a confirmation above which a response
	// counts as a failure of the process that sent it.
	UpstreamStalenessLimit = 5 * time.Second
	// maxStaleRelays bounds the relays that the daemons of a failure domain try
	// when earlier ones respond but are stale. More relays would not help a
	// domain that is cut off, and would load control when the domain is
	// reconnected.
	maxStaleRelays = 3
)

// Member is a daemon that may relay.
type Member struct {
	Name          string
	FailureDomain string
	// Addr is host:port of its HTTP listener.
	Addr string
	// Live reports whether membership considers the daemon live.
	Live bool
}

// Target is a process to poll.
type Target struct {
	Addr string
	// Control selects the control service at Addr instead of the daemon there.
	Control bool
}

// FailureKind is the reason why polling a target failed.
type FailureKind uint8

const (
	// FailureUnresponsive means that the target sent no response, or an invalid
	// one.
	FailureUnresponsive FailureKind = iota
	// FailureStale means that the target responded but could not confirm recently
	// that its revision is current.
	FailureStale
)

// failure is the last failure of a target. The target is skipped until the
// backoff ends.
type failure struct {
	kind     FailureKind
	failedAt time.Time
	backoff  time.Duration
}

// UpstreamSelector decides which process a daemon polls: the relay of its
// failure domain, or control when the daemon is the relay.
//
// The relay is the live member with the highest rendezvous hash, so the daemons
// of a domain agree on it without messages. A daemon that others poll acts as a
// relay even if its own ranking names another one. Daemons that disagree thus
// cost a second relay, but never form a cycle that does not reach control.
type UpstreamSelector struct {
	self         Member
	failures     map[Target]failure
	lastPolledAt time.Time
}

// NewUpstreamSelector returns the selector of the daemon self.
func NewUpstreamSelector(self Member) *UpstreamSelector {
	return &UpstreamSelector{self: self, failures: make(map[Target]failure)}
}

// RecordPolled records that another daemon polled this one at now.
func (s *UpstreamSelector) RecordPolled(now time.Time) { s.lastPolledAt = now }

// RecordSuccess records a current response of target and clears its failures.
func (s *UpstreamSelector) RecordSuccess(target Target) { delete(s.failures, target) }

// RecordFailure records a failure of target at now and extends its backoff.
func (s *UpstreamSelector) RecordFailure(target Target, kind FailureKind, now time.Time) {
	s.expireFailures(now)
	backoff := initialFailureBackoff
	if last, ok := s.failures[target]; ok {
		backoff = min(2*last.backoff, maxFailureBackoff)
	}
	s.failures[target] = failure{kind: kind, failedAt: now, backoff: backoff}
}

// expireFailures drops failures whose backoff ended more than maxFailureBackoff
// ago. The next failure of such a target starts a new sequence.
func (s *UpstreamSelector) expireFailures(now time.Time) {
	for target, f := range s.failures {
		if now.Sub(f.failedAt) > f.backoff+maxFailureBackoff {
			delete(s.failures, target)
		}
	}
}

// Select returns the process to poll at now. control lists the addresses of the
// control processes, as host:port. Without a candidate, Addr is empty.
//
// A relay that cannot reach control tries the relays of other failure domains,
// then the highest ranked members of its own.
func (s *UpstreamSelector) Select(now time.Time, control []string, members []Member) Target {
	ranked := Rank(members, s.self.FailureDomain)
	if !s.isRelay(now, ranked) {
		return s.firstAvailable(now, s.targets(ranked), maxStaleRelays)
	}
	var candidates []Target
	for _, addr := range control {
		candidates = append(candidates, Target{Addr: addr, Control: true})
	}
	candidates = append(candidates, s.targets(relaysOutside(members, s.self.FailureDomain))...)
	candidates = append(candidates, s.targets(ranked[:min(len(ranked), maxStaleRelays)])...)
	return s.firstAvailable(now, candidates, len(candidates))
}

// IsRelay reports whether this daemon acts as a relay and so polls control
// itself.
func (s *UpstreamSelector) IsRelay(now time.Time, members []Member) bool {
	return s.isRelay(now, Rank(members, s.self.FailureDomain))
}

func (s *UpstreamSelector) isRelay(now time.Time, ranked []Member) bool {
	if !s.lastPolledAt.IsZero() && now.Sub(s.lastPolledAt) < RelayIdleTimeout {
		return true
	}
	stale := 0
	for _, member := range ranked {
		target := Target{Addr: member.Addr}
		if member.Name == s.self.Name {
			return true
		}
		if !s.isBackedOff(target, now) {
			return false
		}
		if s.failures[target].kind == FailureStale {
			stale++
		}
		if stale == maxStaleRelays {
			return false
		}
	}
	return true
}

// firstAvailable returns the first candidate whose backoff is over. It stops
// after maxStale stale candidates. When it finds none, it returns the candidate
// that failed longest ago, preferring stale candidates over unresponsive ones.
func (s *UpstreamSelector) firstAvailable(now time.Time, candidates []Target, maxStale int) Target {
	var unresponsive, stale []Target
	for _, target := range candidates {
		if !s.isBackedOff(target, now) {
			return target
		}
		if s.failures[target].kind == FailureUnresponsive {
			unresponsive = append(unresponsive, target)
			continue
		}
		stale = append(stale, target)
		if len(stale) == maxStale {
			break
		}
	}
	if len(stale) > 0 {
		return s.oldestFailure(stale)
	}
	return s.oldestFailure(unresponsive)
}

// oldestFailure returns the target that failed longest ago, or the zero Target.
func (s *UpstreamSelector) oldestFailure(targets []Target) Target {
	if len(targets) == 0 {
		return Target{}
	}
	return slices.MinFunc(targets, func(a, b Target) int {
		return s.failures[a].failedAt.Compare(s.failures[b].failedAt)
	})
}

// isBackedOff reports whether target is to be skipped after a failure.
func (s *UpstreamSelector) isBackedOff(target Target, now time.Time) bool {
	f, ok := s.failures[target]
	return ok && now.Sub(f.failedAt) < f.backoff
}

// targets returns the members as targets, without this daemon.
func (s *UpstreamSelector) targets(members []Member) []Target {
	var targets []Target
	for _, member := range members {
		if member.Name != s.self.Name {
			targets = append(targets, Target{Addr: member.Addr})
		}
	}
	return targets
}

// Rank returns the live members of a failure domain by descending rendezvous
// hash. The first one is the relay.
func Rank(members []Member, domain string) []Member {
	var ranked []Member
	for _, member := range members {
		if member.Live && member.FailureDomain == domain {
			ranked = append(ranked, member)
		}
	}
	slices.SortFunc(ranked, compareRank)
	return ranked
}

// relaysOutside returns the relays of all failure domains but the given one.
func relaysOutside(members []Member, domain string) []Member {
	relays := make(map[string]Member)
	for _, member := range members {
		best, ok := relays[member.FailureDomain]
		if member.Live && member.FailureDomain != domain && (!ok || compareRank(member, best) < 0) {
			relays[member.FailureDomain] = member
		}
	}
	return slices.SortedFunc(maps.Values(relays), compareRank)
}

func compareRank(a, b Member) int {
	return cmp.Or(cmp.Compare(rendezvousScore(b), rendezvousScore(a)), cmp.Compare(a.Name, b.Name))
}

func rendezvousScore(member Member) uint64 {
	return xxhash.Sum64String(member.FailureDomain + "\x00" + member.Name)
}
