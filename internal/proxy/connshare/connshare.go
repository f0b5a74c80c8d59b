// Package connshare decides how the connections of one pool are divided among workspaces. A
// connection belongs to one workspace, and the workspaces outnumber the connections.
//
// A statement that has its turn uses an idle connection of its workspace, or has one opened.
// When the share is used up, an idle connection of another workspace is evicted: the one that
// is least likely to be needed soon. The connections in use can't be evicted. So that a
// workspace with many open transactions does not hold all of them, Bound limits what one
// workspace may use to its fair share while others want some; without contention it may use
// all. A statement may also wait for a connection of its own workspace that is about to be
// returned, since opening one takes time and a slot at the endpoint.
//
// The package does no I/O and starts no goroutines. The caller passes the time.
package connshare

import (
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time constant of the rates: long enough to see a workspace that
	// asks every few seconds, short enough to follow a load that swings within 11 s.
	rateWindow = 10 * time.Second
	// demandHorizon is the time within which a workspace that uses no connection is expected
	// to need one. Bound leaves room for it.
	demandHorizon = time.Second
	// holdDivisor sets the moving average of hold times: a new one has the weight
	// 1/holdDivisor.
	holdDivisor = 8
	// defaultHold is the hold time assumed until one was measured.
	defaultHold = 25 * time.Millisecond
	// openCost and evictCost are the cost of opening a connection as a multiple of its time:
	// the statement waits for that long, and so does another one that would have had the
	// slot. After an eviction, the other workspace may have to open one again.
	openCost  = 2
	evictCost = 3
	// minAhead is the number of statements ahead below which no wait is estimated: the mean
	// hold time says little about a few.
	minAhead = 4
	// minUses is the number of decayed uses below which an account without connections is
	// removed.
	minUses = 0.01
	// maxAccounts is the number of accounts from which on unused ones are removed.
	maxAccounts = 128
	// namedWindow is how long after the last request of a workspace the pool still counts as
	// used by workspaces.
	namedWindow = time.Minute
)

// Book keeps what is known of each workspace's use of a pool's connections. The name "" stands
// for statements without a workspace. It is not safe for concurrent use.
type Book struct {
	accounts map[string]*account
	// lastNamed is when a workspace last asked; zero if none did.
	lastNamed time.Time
}

// account is one workspace's use.
type account struct {
	// held counts the open connections and those being opened, inUse those of them that are
	// not idle.
	held, inUse int
	// lacking counts the statements that have their turn and wait for a connection.
	lacking int
	// uses is the number of requests, decayed with rateWindow up to usedAt.
	uses   float64
	usedAt time.Time
	// hold is the moving average of the time for which a statement or transaction uses a
	// connection, pauses included; 0 when not measured.
	hold time.Duration
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{accounts: make(map[string]*account)} }

// of returns a workspace's account and creates it if needed.
func (b *Book) of(workspace string) *account {
	a := b.accounts[workspace]
	if a == nil {
		a = &account{}
		b.accounts[workspace] = a
	}
	return a
}

// Ask records that a statement or transaction of a workspace needs a connection.
func (b *Book) Ask(workspace string, now time.Time) {
	if workspace != "" {
		b.lastNamed = now
	}
	if len(b.accounts) >= maxAccounts {
		b.prune(now)
	}
	a := b.of(workspace)
	a.uses, a.usedAt = a.usesAt(now)+1, now
}

// prune removes the accounts that hold nothing and are hardly used.
func (b *Book) prune(now time.Time) {
	for name, a := range b.accounts {
		if a.held == 0 && a.inUse == 0 && a.lacking == 0 && a.usesAt(now) < minUses {
			delete(b.accounts, name)
		}
	}
}

// HasWorkspaces reports whether workspaces use the pool.
func (b *Book) HasWorkspaces(now time.Time) bool {
	return !b.lastNamed.IsZero() && now.Sub(b.lastNamed) < namedWindow
}

// Open records that a connection of a workspace is opened, Close that one was closed or could
// not be opened.
func (b *Book) Open(workspace string) { b.of(workspace).held++ }

// Close is described at Open.
func (b *Book) Close(workspace string) { b.of(workspace).held-- }

// Take records that a connection of a workspace is in use, or is opened to be used.
func (b *Book) Take(workspace string) { b.of(workspace).inUse++ }

// Return records that a connection is no longer in use. held is for how long it was; 0 if it
// was not used.
func (b *Book) Return(workspace string, held time.Duration) {
	a := b.of(workspace)
	a.inUse--
	switch {
	case held <= 0:
	case a.hold == 0:
		a.hold = held
	default:
		a.hold += (held - a.hold) / holdDivisor
	}
}

// Lack records by how much the number of statements changed that have their turn and wait for
// a connection of a workspace.
func (b *Book) Lack(workspace string, change int) { b.of(workspace).lacking += change }

// Held returns the number of connections of a workspace that are open or being opened.
func (b *Book) Held(workspace string) int {
	if a := b.accounts[workspace]; a != nil {
		return a.held
	}
	return 0
}

// usesAt returns the decayed number of requests.
func (a *account) usesAt(now time.Time) float64 {
	return a.uses * math.Exp(-now.Sub(a.usedAt).Seconds()/rateWindow.Seconds())
}

// rate returns the recent number of requests per second.
func (a *account) rate(now time.Time) float64 { return a.usesAt(now) / rateWindow.Seconds() }

// meanHold returns the mean hold time.
func (a *account) meanHold() time.Duration {
	if a.hold == 0 {
		return defaultHold
	}
	return a.hold
}

// demand returns how many connections the workspace wants: those in use or waited for, or the
// probability that one is needed within demandHorizon.
func (a *account) demand(now time.Time) float64 {
	expected := 1 - math.Exp(-a.rate(now)*demandHorizon.Seconds())
	return max(float64(a.inUse+a.lacking), expected)
}

// Bound returns how many connections a workspace may use at once where the pool may open limit.
// While all demands fit, that is limit. Otherwise it is the level at which the demands, each
// cut to the level, add up to limit: max-min fairness. It is at least 1.
func (b *Book) Bound(workspace string, limit int, now time.Time) int {
	own := b.of(workspace)
	wanted := max(own.demand(now), float64(own.inUse+1))
	demands := make([]float64, 0, len(b.accounts))
	total := wanted
	for name, a := range b.accounts {
		if name == workspace {
			continue
		}
		if d := a.demand(now); d > 0 {
			demands = append(demands, d)
			total += d
		}
	}
	if total <= float64(limit) {
		return limit
	}
	return max(1, int(level(append(demands, wanted), float64(limit))))
}

// level returns the level at which the demands, each cut to it, add up to limit. The demands
// add up to more.
func level(demands []float64, limit float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		share := limit / float64(len(demands)-i)
		if d >= share {
			return share
		}
		limit -= d
	}
	return limit
}

// AtBound reports whether a workspace uses as many connections as it may.
func (b *Book) AtBound(workspace string, limit int, now time.Time) bool {
	a := b.accounts[workspace]
	return a != nil && a.inUse > 0 && a.inUse >= b.Bound(workspace, limit, now)
}

// Victim returns the index of the connection to evict: idle are the workspaces of the idle
// connections, the longest unused first. One of a workspace that holds more than its fair share
// goes first. Of equal ones, the longest unused goes. It returns -1 if there is none.
func (b *Book) Victim(idle []string, limit int, now time.Time) int {
	best, bestValue := -1, math.Inf(1)
	bound := b.Bound("", limit, now)
	values := make(map[string]float64, len(idle))
	for i, workspace := range idle {
		value, ok := values[workspace]
		if !ok {
			a := b.of(workspace)
			value = a.value(now)
			if a.held > bound {
				value = -1
			}
			values[workspace] = value
		}
		if value < bestValue {
			best, bestValue = i, value
		}
	}
	return best
}

// value returns how often per second the last of the workspace's connections is needed: the
// rate of requests that find all its others in use, if requests come at random.
func (a *account) value(now time.Time) float64 {
	rate := a.rate(now)
	load := rate * a.meanHold().Seconds()
	// term is the probability that n connections are in use.
	term, atLeast := math.Exp(-load), 1.0
	for n := range a.held - 1 {
		atLeast -= term
		term *= load / float64(n+1)
	}
	return rate * max(atLeast, 0)
}

// Opening is how a statement could get a connection of its own.
type Opening struct {
	// Time is how long opening a connection takes.
	Time time.Duration
	// Evicts is set if another workspace's connection would be closed for it.
	Evicts bool
	// Waited is how long the statement has waited for a connection since it had its turn.
	Waited time.Duration
}

// ShortWait returns how much longer a statement should wait for a connection of its workspace
// that is in use, rather than have one opened; 0 if it should not wait. The expected time until
// the next one is returned is compared with the cost of opening one. If none is returned in
// twice that time, the mean hold time is no guide, and the statement waits no longer.
func (b *Book) ShortWait(workspace string, o Opening) time.Duration {
	a := b.accounts[workspace]
	if workspace == "" || a == nil || a.inUse == 0 || a.hold == 0 {
		return 0
	}
	cost := openCost * o.Time
	if o.Evicts {
		cost = evictCost * o.Time
	}
	expected := a.hold * time.Duration(max(a.lacking, 1)) / time.Duration(a.inUse)
	if expected > cost {
		return 0
	}
	return max(0, 2*expected-o.Waited)
}

// WaitExceeds reports whether a statement that waits for a connection of its workspace, behind
// ahead others, most likely waits longer than timeLeft.
func (b *Book) WaitExceeds(workspace string, ahead int, timeLeft time.Duration) bool {
	a := b.accounts[workspace]
	if ahead < minAhead || a == nil || a.inUse == 0 || a.hold == 0 {
		return false
	}
	return time.Duration(ahead)*a.hold/time.Duration(a.inUse) > timeLeft
}

// Totals returns the numbers of connections held by workspaces and without one.
func (b *Book) Totals() (named, unnamed int) {
	for name, a := range b.accounts {
		if name == "" {
			unnamed += a.held
		} else {
			named += a.held
		}
	}
	return named, unnamed
}
