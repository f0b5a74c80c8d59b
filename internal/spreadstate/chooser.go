package spreadstate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// FailurePause is how long a process that failed is passed over.
	FailurePause = 5 * time.Second
	// RelayDemand is how long a daemon goes on relaying after another daemon
	// polled it.
	RelayDemand = 10 * time.Second
	// StaleAge is the age of a confirmation above which an answer counts as a
	// failure of the process that gave it.
	StaleAge = 5 * time.Second
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

// Chooser decides which process a daemon polls: the relay of its failure
// domain, or control when the daemon is the relay.
//
// The relay is the live member with the highest rendezvous hash, so that the
// daemons of a domain agree on it without messages. A daemon that others poll
// acts as relay whatever it believes itself, so that disagreement between
// daemons costs a second relay and never a circle of daemons without control.
type Chooser struct {
	self Member
	// failedAt holds the time of each target's last failure.
	failedAt     map[Target]time.Time
	lastPolledAt time.Time
}

// NewChooser returns the chooser of the daemon self.
func NewChooser(self Member) *Chooser {
	return &Chooser{self: self, failedAt: make(map[Target]time.Time)}
}

// Polled notes that another daemon polled this one.
func (c *Chooser) Polled(now time.Time) { c.lastPolledAt = now }

// Failed notes that target did not answer, or gave an answer of no use.
func (c *Chooser) Failed(target Target, now time.Time) { c.failedAt[target] = now }

// Target is a process to poll.
type Target struct {
	Addr string
	// Control says that the control service at Addr is meant, not the daemon.
	Control bool
}

// Choose returns the process to poll at now. control lists the addresses of
// the control processes. Without any candidate Addr is empty.
//
// A relay goes back to control as soon as one of its processes was not tried
// for FailurePause; meanwhile it follows daemons, of its own domain first.
func (c *Chooser) Choose(now time.Time, control []string, members []Member) Target {
	c.forget(now)
	ranked := Rank(members, c.self.FailureDomain)
	if !c.isRelay(now, ranked) {
		return c.first(now, c.targets(ranked))
	}
	var candidates []Target
	for _, addr := range control {
		candidates = append(candidates, Target{Addr: addr, Control: true})
	}
	candidates = append(candidates, c.targets(ranked)...)
	candidates = append(candidates, c.targets(others(members, c.self.FailureDomain))...)
	return c.first(now, candidates)
}

// isRelay reports whether this daemon has to reach control itself.
func (c *Chooser) isRelay(now time.Time, ranked []Member) bool {
	if !c.lastPolledAt.IsZero() && now.Sub(c.lastPolledAt) < RelayDemand {
		return true
	}
	for _, member := range ranked {
		if member.Name == c.self.Name {
			return true
		}
		if !c.isPaused(Target{Addr: member.Addr}, now) {
			return false
		}
	}
	return true
}

// first returns the first candidate that did not fail of late, or the one
// whose failure is longest ago.
func (c *Chooser) first(now time.Time, candidates []Target) Target {
	for _, target := range candidates {
		if !c.isPaused(target, now) {
			return target
		}
	}
	if len(candidates) == 0 {
		return Target{}
	}
	return slices.MinFunc(candidates, func(a, b Target) int {
		return c.failedAt[a].Compare(c.failedAt[b])
	})
}

func (c *Chooser) isPaused(target Target, now time.Time) bool {
	failedAt, ok := c.failedAt[target]
	return ok && now.Sub(failedAt) < FailurePause
}

// forget bounds the failures remembered.
func (c *Chooser) forget(now time.Time) {
	for target := range c.failedAt {
		if !c.isPaused(target, now) {
			delete(c.failedAt, target)
		}
	}
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

// others returns the live members of the other failure domains.
func others(members []Member, domain string) []Member {
	var out []Member
	for _, member := range members {
		if member.Live && member.FailureDomain != domain {
			out = append(out, member)
		}
	}
	slices.SortFunc(out, compareRank)
	return out
}

func compareRank(a, b Member) int {
	return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
}

func score(member Member) uint64 {
	return xxhash.Sum64String(member.FailureDomain + "\x00" + member.Name)
}
