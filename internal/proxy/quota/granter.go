package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// levelSlot and levelSlots are the resolution and the length of a granter's record of its
	// level. Tokens granted before that cannot be returned.
	levelSlot  = 50 * time.Millisecond
	levelSlots = 40
	// scarceDivisor bounds how many tokens are granted ahead of operations, as a part of the
	// level, so that tokens that wait at one entry are not missing at another.
	scarceDivisor = 4
	// maxRetry bounds the time after which a refused entry asks again, since tokens may become
	// free earlier than promised.
	maxRetry = time.Second
	// startBurstPart and startTokens set what a new bucket holds, within its depth: entries that all
	// restart would otherwise refuse quiet workspaces. The check allows for twice as much, that is
	// for two changes of the granter within a window.
	startBurstPart = 0.05
	startTokens    = 10
	// priorityReserve is the part of the bucket's depth that is kept back for each step of priority.
	priorityReserve = 0.1
	// unusedReset is the time without a request after which a granter of a fallback share counts
	// as not in use. It then starts anew.
	unusedReset = 12 * time.Second
)

// Request asks a granter for tokens.
type Request struct {
	// Need is the number of operations that wait. Want is the number of tokens asked for, at
	// least Need.
	Need, Want int
	// Unused is how many granted tokens expired unused. They were granted at most UnusedAge ago.
	Unused    int
	UnusedAge time.Duration
	// Admitted is how many operations were admitted from fallback shares since the last answer.
	Admitted int
	// Refused is set if the granter refused the asker lately: the workspace may be at its limit.
	Refused bool
	// Priority is that of the most urgent waiting operation, from 0 to MaxPriority. 0 goes first.
	Priority int
}

// Granter is the token bucket of one workspace. It is not safe for concurrent use.
type Granter struct {
	limit Limit
	// rate is the rate at which the bucket fills.
	rate float64
	// level is the number of tokens in the bucket at the time at. It is negative while
	// operations that were admitted from fallback shares are not made up for.
	level float64
	at    time.Duration
	// start is how many of the tokens that the bucket began with are left.
	start float64
	// promisedUntil is when the last entry that was refused is due, by priority.
	promisedUntil [MaxPriority + 1]time.Duration
	// peaks holds the highest level in each of the last levelSlots slots, by slot number modulo
	// levelSlots. peakSlot is the number of the latest slot.
	peaks    [levelSlots]float64
	peakSlot int64
}

// NewGranter returns a bucket with few tokens, since another entry may have granted all of them just
// before.
func NewGranter(limit Limit, now time.Duration) *Granter {
	start := min(limit.depth(), startBurstPart*limit.Burst+startTokens)
	g := newBucket(limit, start, now)
	g.start = start
	return g
}

// Clone returns a copy, on which a request can be tried.
func (g *Granter) Clone() *Granter {
	c := *g
	return &c
}

// newBucket returns a bucket that begins with a number of tokens.
func newBucket(limit Limit, level float64, now time.Duration) *Granter {
	g := &Granter{limit: limit, rate: limit.Rate, level: level, at: now, peakSlot: slotOf(now)}
	for i := range g.peaks {
		// What was granted before the bucket existed is not returned to it.
		g.peaks[i] = math.Inf(1)
	}
	g.peaks[g.peakSlot%levelSlots] = level
	return g
}

func slotOf(t time.Duration) int64 { return int64(t / levelSlot) }

// Advance fills the bucket up to now at the limit, of which live is granted. A changed limit
// applies to the time since the last call, a lower burst at once.
func (g *Granter) Advance(limit Limit, live float64, now time.Duration) {
	g.limit, g.rate = limit, limit.Rate*live
	if now > g.at {
		g.level += g.rate * (now - g.at).Seconds()
		g.at = now
	}
	g.level = min(g.level, limit.depth())
	g.recordPeak()
}

// recordPeak records the level in the current slot.
func (g *Granter) recordPeak() {
	slot := slotOf(g.at)
	for n := min(slot-g.peakSlot, levelSlots); n > 0; n-- {
		// The level has only risen since the last call.
		g.peaks[(slot-n+1)%levelSlots] = g.level
	}
	g.peakSlot = max(g.peakSlot, slot)
	g.peaks[g.peakSlot%levelSlots] = max(g.peaks[g.peakSlot%levelSlots], g.level)
}

// takeBack adds tokens that were granted at most age ago and expired unused, as far as the bucket
// would have held them all the time since: the bucket must not grant more than one that never
// granted them.
func (g *Granter) takeBack(unused int, age time.Duration) {
	slots := int64(age/levelSlot) + 1
	if unused <= 0 || slots >= levelSlots {
		return
	}
	peak := math.Inf(-1)
	for n := range slots + 1 {
		peak = max(peak, g.peaks[(g.peakSlot-n+levelSlots)%levelSlots])
	}
	back := min(float64(unused), g.limit.depth()-peak)
	if back <= 0 {
		return
	}
	g.level += back
	for n := range slots + 1 {
		g.peaks[(g.peakSlot-n+levelSlots)%levelSlots] += back
	}
}

// reserve returns the part of the level that is kept back from a priority. All priorities get tokens
// of a full bucket, however small.
func (g *Granter) reserve(priority int) float64 {
	depth := g.limit.depth()
	return min(float64(priority)*priorityReserve*depth, (depth-1)/2)
}

// whole returns the whole tokens that a priority may have.
func (g *Granter) whole(priority int) int {
	return max(0, int(math.Floor(g.level-g.reserve(priority))))
}

// Grant answers a request after Advance. If no token is granted, retry is after which time the
// asker should ask again. Entries that are refused are due one after the other, so that a flood at
// many entries does not cost a request of each for every token.
func (g *Granter) Grant(r Request) (granted int, retry time.Duration) {
	g.takeBack(r.Unused, r.UnusedAge)
	if r.Admitted > 0 {
		g.level = max(g.level-float64(r.Admitted), -g.maxDebt())
	}
	if r.Refused {
		// The workspace was at its limit before the bucket began. With the tokens of the start,
		// several changes of the granter in a window would break the limit.
		g.level -= g.start
		g.start = 0
	}
	r.Priority = Priority(r.Priority)
	if whole := g.whole(r.Priority); whole >= 1 {
		// Tokens for later operations serve any priority.
		ahead := min(max(0, r.Want-r.Need), g.whole(MaxPriority)/scarceDivisor)
		granted = min(max(1, r.Need)+ahead, whole)
		g.level -= float64(granted)
		g.start = max(0, g.start-float64(granted))
		return granted, 0
	}
	return 0, g.promise(max(1, r.Want), r.Priority)
}

// maxDebt bounds the tokens that are to be made up for: those of a default window.
func (g *Granter) maxDebt() float64 {
	return g.limit.Rate*DefaultWindow.Seconds() + g.limit.depth()
}

// promise returns after which time an entry that wants tokens is due. It waits for entries of its
// priority and of more urgent ones.
func (g *Granter) promise(want, priority int) time.Duration {
	if g.rate <= 0 {
		return maxRetry
	}
	due := g.at + g.spanOf(1+g.reserve(priority)-g.level)
	if last := slices.Max(g.promisedUntil[:priority+1]); last > g.at {
		// Others wait already. Each gets room for all that it wants, which saves requests, but not
		// for so much that the bucket is full before.
		due = max(due, last+g.spanOf(min(float64(want), max(1, g.limit.depth()/2))))
	}
	due = min(due, g.at+maxRetry)
	g.promisedUntil[priority] = due
	// Rounding may make the missing part of a token 0. The asker would then ask again at once,
	// forever if it is the granter itself, since its time stands still meanwhile.
	return max(due-g.at, 1)
}

// spanOf returns the time in which the bucket gains tokens, at most maxRetry.
func (g *Granter) spanOf(tokens float64) time.Duration {
	seconds := min(tokens/g.rate, maxRetry.Seconds())
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// FallbackGranter grants the share of a failure domain while its entries do not reach the granter.
// It is not safe for concurrent use.
type FallbackGranter struct {
	bucket Granter
	// since is when the fallback began, or control was last lost for lostControlHold; usedAt is
	// when the last request came.
	since, usedAt time.Duration
}

// NewFallbackGranter returns a granter that holds one token.
func NewFallbackGranter(share Limit, now time.Duration) *FallbackGranter {
	f := &FallbackGranter{}
	f.begin(share, now)
	return f
}

func (f *FallbackGranter) begin(share Limit, now time.Duration) {
	f.bucket, f.since, f.usedAt = *newBucket(share, 1, now), now, now
}

// Grant answers a request. share is the failure domain's part of the limit, lostFor how long
// control has been lost.
func (f *FallbackGranter) Grant(share Limit, r Request, now, lostFor time.Duration) (granted int, retry time.Duration) {
	if now-f.usedAt > unusedReset {
		f.begin(share, now)
	}
	f.usedAt = now
	if lostFor > lostControlHold {
		f.since = now
	}
	f.bucket.Advance(share, caution(f.since, now), now)
	// What the fallback admitted is made up for at the workspace's granter.
	r.Admitted = 0
	return f.bucket.Grant(r)
}
