package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// demandSpan is the span over which an entry's demand is averaged.
	demandSpan = time.Second
	// admittedSpan is the span over which operations admitted from fallback shares are made up
	// for: half of a default window, so that a long cut is not followed by a long pause.
	admittedSpan = DefaultWindow / 2
	// aheadDivisor sets for which part of their validity tokens are requested ahead. With half,
	// tokens seldom expire unused.
	aheadDivisor = 2
)

// batch is tokens of one answer.
type batch struct {
	count     int
	requested time.Duration
	// isFallback is set for tokens of a fallback share, mayReturn for tokens of the present
	// granter.
	isFallback, mayReturn bool
}

// Account is an entry's stock of tokens of one workspace. It is not safe for concurrent use.
type Account struct {
	limit    Limit
	validity time.Duration
	// stock holds the tokens, oldest first. An entry asks only with an empty stock, so it is
	// short.
	stock []batch
	// unused counts the granter's tokens that expired unused, the oldest of which was requested
	// at unusedSince.
	unused      int
	unusedSince time.Duration
	// admitted is the number of operations admitted from fallback shares and not reported yet,
	// at the time admittedAt. It decays, since old ones are out of the window.
	admitted   float64
	admittedAt time.Duration
	// demand is the number of operations per second at the time demandAt.
	demand   float64
	demandAt time.Duration
	// retryAt is when the next token is due, by priority. It does not fall with the priority.
	retryAt [MaxPriority + 1]time.Duration
	recent  recentUse
	share   staticShare
}

// staticShare is the bucket of an entry's own part of the limit.
type staticShare struct {
	inUse bool
	level float64
	// since is as in FallbackGranter, at the time of level.
	since, at time.Duration
	// phase is the level at the start.
	phase float64
}

// NewAccount returns an account without tokens. phase, in [0, 1), is where in the interval
// between two tokens of its static share the entry starts. It should differ between entries, so
// that not all of them admit an operation at the start of a fallback.
func NewAccount(limit Limit, validity time.Duration, phase float64) *Account {
	return &Account{limit: limit, validity: validity, share: staticShare{phase: phase}}
}

// Clone returns a copy, on which decisions can be tried.
func (a *Account) Clone() *Account {
	c := *a
	c.stock = slices.Clone(a.stock)
	return &c
}

// SetLimit applies a limit. A lower burst cuts the stock at once.
func (a *Account) SetLimit(limit Limit) {
	if limit == a.limit {
		return
	}
	a.limit = limit
	room := int(limit.depth())
	for i := range a.stock {
		a.stock[i].count = min(a.stock[i].count, room)
		room -= a.stock[i].count
	}
	clear(a.retryAt[:])
}

// Arrive records an operation for the estimate of the demand.
func (a *Account) Arrive(now time.Duration) {
	a.demand = a.demandNow(now) + 1/demandSpan.Seconds()
	a.demandAt = now
}

func (a *Account) demandNow(now time.Duration) float64 {
	return a.demand * math.Exp(-(now-a.demandAt).Seconds()/demandSpan.Seconds())
}

// Take takes a token from the stock. It reports false without a valid one.
func (a *Account) Take(now time.Duration) (ok, isFallback bool) {
	a.expire(now)
	for len(a.stock) > 0 {
		b := &a.stock[0]
		if b.count > 0 {
			b.count--
			if b.isFallback {
				a.countAdmitted(now)
			} else {
				a.recent.admitted(now)
			}
			return true, b.isFallback
		}
		a.stock = a.stock[1:]
	}
	return false, false
}

func (a *Account) admittedNow(now time.Duration) float64 {
	return a.admitted * math.Exp(-(now-a.admittedAt).Seconds()/admittedSpan.Seconds())
}

func (a *Account) countAdmitted(now time.Duration) {
	a.recent.admittedSince *= math.Exp(-(now - a.admittedAt).Seconds() / admittedSpan.Seconds())
	a.admitted, a.admittedAt = a.admittedNow(now)+1, now
}

// expire removes the tokens that are no longer valid.
func (a *Account) expire(now time.Duration) {
	for len(a.stock) > 0 && now-a.stock[0].requested >= a.validity {
		b := a.stock[0]
		a.stock = a.stock[1:]
		if b.count == 0 || !b.mayReturn {
			continue
		}
		if a.unused == 0 {
			a.unusedSince = b.requested
		}
		a.unused += b.count
	}
}

// Stock returns the number of valid tokens.
func (a *Account) Stock(now time.Duration) (n int) {
	a.expire(now)
	for _, b := range a.stock {
		n += b.count
	}
	return n
}

// RetryAt returns when the next token for a priority is due. Before that, a request is useless.
func (a *Account) RetryAt(priority int) time.Duration { return a.retryAt[priority] }

// Waiting is the number of operations that wait, by priority.
type Waiting [MaxPriority + 1]int

// Before returns how many operations wait that are more urgent than a priority.
func (w *Waiting) Before(priority int) (n int) {
	for _, count := range w[:priority] {
		n += count
	}
	return n
}

// Request returns the next request, for the most urgent ones of the waiting operations.
func (a *Account) Request(waiting Waiting, now time.Duration) Request {
	a.expire(now)
	r := Request{Unused: a.unused, UnusedAge: now - a.unusedSince, Admitted: int(a.admittedNow(now)), Refused: a.recent.isRefused(now)}
	for r.Priority < MaxPriority && waiting[r.Priority] == 0 {
		r.Priority++
	}
	ahead := int(a.demandNow(now) * (a.validity / aheadDivisor).Seconds())
	// Operations that wait are in the demand already. A burst must not hold tokens for more.
	r.Need, r.Want = waiting[r.Priority], max(waiting.Before(MaxPriority+1), 1+ahead)
	return r
}

// Answered records a granter's answer to a request that was sent at sentAt. isFallback means that
// the granter of the failure domain answered.
func (a *Account) Answered(r Request, granted int, retry, sentAt, now time.Duration, isFallback bool) {
	a.share.inUse = false
	if !isFallback {
		a.unused = max(0, a.unused-r.Unused)
		a.admitted = max(0, a.admittedNow(now)-float64(r.Admitted))
		a.admittedAt, a.recent.admittedSince = now, 0
		a.recent.answered(granted, now)
	}
	if granted > 0 {
		clear(a.retryAt[:r.Priority+1])
		a.stock = append(a.stock, batch{count: granted, requested: sentAt, isFallback: isFallback, mayReturn: !isFallback})
		return
	}
	for p := r.Priority; p <= MaxPriority; p++ {
		a.retryAt[p] = max(a.retryAt[p], now+retry)
	}
}

// ForgetUnused forgets the unused tokens of a request whose outcome is not known, so that they are
// not returned twice.
func (a *Account) ForgetUnused(r Request) { a.unused = max(0, a.unused-r.Unused) }

// ChangeGranter forgets what concerns the former granter only. The bucket of the new one did not fill
// while operations were admitted at the recent rate. Tokens in stock stay valid.
func (a *Account) ChangeGranter() {
	a.unused = 0
	a.admitted = max(0, a.admitted-a.recent.admittedSince)
	a.recent.admittedSince = 0
	clear(a.retryAt[:])
	for i := range a.stock {
		a.stock[i].mayReturn = false
	}
}

// TakeShare takes a token of the entry's static share. share is the entry's part of the limit,
// lostFor how long control has been lost.
func (a *Account) TakeShare(share Limit, now, lostFor time.Duration) bool {
	s := &a.share
	if !s.inUse && (s.at == 0 || now-s.at > unusedReset) {
		s.level, s.since, s.at = s.phase, now, now
	}
	s.inUse = true
	if lostFor > lostControlHold {
		s.since = now
	}
	s.level += share.Rate * caution(s.since, now) * (now - s.at).Seconds()
	s.level = min(s.level, share.depth())
	s.at = now
	if s.level < 1 {
		return false
	}
	s.level--
	a.countAdmitted(now)
	return true
}
