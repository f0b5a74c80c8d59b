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
	// failedAt holds the time of each address's last failure.
	failedAt     map[string]time.Time
	lastPolledAt time.Time
}

// NewChooser returns the chooser of the daemon self.
func NewChooser(self Member) *Chooser {
	return &Chooser{self: self, failedAt: make(map[string]time.Time)}
}

// Polled notes that another daemon polled this one.
func (c *Chooser) Polled(now time.Time) { c.lastPolledAt = now }

// Failed notes that addr did not answer, or gave an answer of no use.
func (c *Chooser) Failed(addr string, now time.Time) { c.failedAt[addr] = now }

// Target is a process to poll.
type Target struct {
	Addr string
	// Relaying says that this daemon is the relay of its failure domain.
	Relaying bool
}

// Choose returns the process to poll at now. control lists the addresses of
// the control processes. Without any candidate Addr is empty.
func (c *Chooser) Choose(now time.Time, control []string, members []Member) Target {
	c.forget(now)
	ranked := Rank(members, c.self.FailureDomain)
	if !c.isRelay(now, ranked) {
		return Target{Addr: c.first(now, c.addrs(ranked))}
	}
	candidates := slices.Concat(control, c.addrs(ranked), c.addrs(others(members, c.self.FailureDomain)))
	return Target{Addr: c.first(now, candidates), Relaying: true}
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
		if !c.isPaused(member.Addr, now) {
			return false
		}
	}
	return true
}

// first returns the first candidate that did not fail of late, or the one
// whose failure is longest ago.
func (c *Chooser) first(now time.Time, candidates []string) string {
	for _, addr := range candidates {
		if !c.isPaused(addr, now) {
			return addr
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return slices.MinFunc(candidates, func(a, b string) int {
		return c.failedAt[a].Compare(c.failedAt[b])
	})
}

func (c *Chooser) isPaused(addr string, now time.Time) bool {
	failedAt, ok := c.failedAt[addr]
	return ok && now.Sub(failedAt) < FailurePause
}

// forget bounds the failures remembered.
func (c *Chooser) forget(now time.Time) {
	for addr := range c.failedAt {
		if !c.isPaused(addr, now) {
			delete(c.failedAt, addr)
		}
	}
}

// addrs returns the addresses of the members other than this daemon.
func (c *Chooser) addrs(members []Member) []string {
	var addrs []string
	for _, member := range members {
		if member.Name != c.self.Name {
			addrs = append(addrs, member.Addr)
		}
	}
	return addrs
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
