package spreadstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstPause and maxPause bound how long a process that failed is passed
	// over; the pause doubles with each failure in a row.
	firstPause = 5 * time.Second
	maxPause   = 40 * time.Second
	// RelayDemand is how long a daemon goes on relaying after another daemon
	// polled it.
	RelayDemand = 10 * time.Second
	// StaleAge is the age of a confirmation above which an answer counts as a
	// failure of the process that gave it.
	StaleAge = 5 * time.Second
	// maxStaleRelays bounds the relays of one failure domain that daemons turn
	// to because the first ones answer without being current. More would not
	// help a domain that is cut off, and would load control when it returns.
	maxStaleRelays = 3
)

// Member is a daemon that may relay.
type Member struct {
	Name          string
	FailureDomain string
	// Addr is host:port of its HTTP listener.
	Addr string
	// Live is what membership believes.
	Live bool
}

// Target is a process to poll.
type Target struct {
	Addr string
	// Control says that the control service at Addr is meant, not the daemon.
	Control bool
}

// Failure is why a target was of no use.
type Failure uint8

const (
	// FailureSilent is no answer, or one that cannot be used.
	FailureSilent Failure = iota
	// FailureStale is an answer of a process that cannot tell whether it is
	// current.
	FailureStale
)

// failure is the last failure of a target.
type failure struct {
	kind  Failure
	at    time.Time
	pause time.Duration
}

// Chooser decides which process a daemon polls: the relay of its failure
// domain, or control when the daemon is the relay.
//
// The relay is the live member with the highest rendezvous hash, so that the
// daemons of a domain agree on it without messages. A daemon that others poll
// acts as relay whatever it believes itself, so that disagreement between
// daemons costs a second relay and never a circle of daemons without control.
type Chooser struct {
	self         Member
	failures     map[Target]failure
	lastPolledAt time.Time
}

// NewChooser returns the chooser of the daemon self.
func NewChooser(self Member) *Chooser {
	return &Chooser{self: self, failures: make(map[Target]failure)}
}

// Polled notes that another daemon polled this one.
func (c *Chooser) Polled(now time.Time) { c.lastPolledAt = now }

// Succeeded notes that target gave an answer of use.
func (c *Chooser) Succeeded(target Target) { delete(c.failures, target) }

// Failed notes that target was of no use.
func (c *Chooser) Failed(target Target, kind Failure, now time.Time) {
	c.forget(now)
	pause := firstPause
	if last, ok := c.failures[target]; ok {
		pause = min(2*last.pause, maxPause)
	}
	c.failures[target] = failure{kind: kind, at: now, pause: pause}
}

// forget drops failures so old that another one would be the first in a row.
func (c *Chooser) forget(now time.Time) {
	for target, f := range c.failures {
		if now.Sub(f.at) > f.pause+maxPause {
			delete(c.failures, target)
		}
	}
}

// Choose returns the process to poll at now. control lists the addresses of
// the control processes. Without any candidate Addr is empty.
//
// A relay that cannot reach control follows the relays of other failure
// domains, then the next ranks of its own.
func (c *Chooser) Choose(now time.Time, control []string, members []Member) Target {
	ranked := Rank(members, c.self.FailureDomain)
	if !c.isRelay(now, ranked) {
		return c.first(now, c.targets(ranked), maxStaleRelays)
	}
	var candidates []Target
	for _, addr := range control {
		candidates = append(candidates, Target{Addr: addr, Control: true})
	}
	candidates = append(candidates, c.targets(relaysElsewhere(members, c.self.FailureDomain))...)
	candidates = append(candidates, c.targets(ranked[:min(len(ranked), maxStaleRelays)])...)
	return c.first(now, candidates, len(candidates))
}

// IsRelay reports whether this daemon has to reach control itself.
func (c *Chooser) IsRelay(now time.Time, members []Member) bool {
	return c.isRelay(now, Rank(members, c.self.FailureDomain))
}

func (c *Chooser) isRelay(now time.Time, ranked []Member) bool {
	if !c.lastPolledAt.IsZero() && now.Sub(c.lastPolledAt) < RelayDemand {
		return true
	}
	stale := 0
	for _, member := range ranked {
		target := Target{Addr: member.Addr}
		if member.Name == c.self.Name {
			return true
		}
		if !c.isPaused(target, now) {
			return false
		}
		if c.failures[target].kind == FailureStale {
			stale++
		}
		if stale == maxStaleRelays {
			return false
		}
	}
	return true
}

// first returns the first candidate that is not paused. It looks no further
// than maxStale stale ones. When all are paused it returns the one that failed
// longest ago, of those that answered if there are any.
func (c *Chooser) first(now time.Time, candidates []Target, maxStale int) Target {
	var silent, stale []Target
	for _, target := range candidates {
		if !c.isPaused(target, now) {
			return target
		}
		if c.failures[target].kind == FailureSilent {
			silent = append(silent, target)
			continue
		}
		stale = append(stale, target)
		if len(stale) == maxStale {
			break
		}
	}
	if len(stale) > 0 {
		return c.longestAgo(stale)
	}
	return c.longestAgo(silent)
}

func (c *Chooser) longestAgo(targets []Target) Target {
	if len(targets) == 0 {
		return Target{}
	}
	return slices.MinFunc(targets, func(a, b Target) int {
		return c.failures[a].at.Compare(c.failures[b].at)
	})
}

func (c *Chooser) isPaused(target Target, now time.Time) bool {
	f, ok := c.failures[target]
	return ok && now.Sub(f.at) < f.pause
}

// targets returns the members other than this daemon.
func (c *Chooser) targets(members []Member) []Target {
	var targets []Target
	for _, member := range members {
		if member.Name != c.self.Name {
			targets = append(targets, Target{Addr: member.Addr})
		}
	}
	return targets
}

// Rank returns the live members of a failure domain by falling rendezvous hash.
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

// relaysElsewhere returns the relay of each other failure domain.
func relaysElsewhere(members []Member, domain string) []Member {
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
	return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
}

func score(member Member) uint64 {
	return xxhash.Sum64String(member.FailureDomain + "\x00" + member.Name)
}
