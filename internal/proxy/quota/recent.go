package quota

import (
	"math"
	"time"
)

const (
	// recentSpan is the span over which the rate of admitted operations is averaged.
	recentSpan = 3 * time.Second
	// recentPart is the part of that rate that is admitted without the granter.
	recentPart = 0.75
	// recentBurstTime sets the depth of the bucket, as the time in which it fills.
	recentBurstTime = 250 * time.Millisecond
	// minRecent is the lowest rate that is used: that of one operation recentSpan ago, in operations
	// per second. Entries that were idle admit nothing, since one operation at each would break a
	// small limit.
	minRecent = 0.12
	// recentRefusalHold is how long nothing is admitted after the granter refused this entry,
	// since the workspace may be at its limit.
	recentRefusalHold = 10 * time.Second
	// maxRecentWithoutControl bounds the time from the loss of control to the beginning of the use.
	// A granter that was cut off goes on for slightly longer; its failure domain may have used the
	// whole limit meanwhile, as the other side did.
	maxRecentWithoutControl = 450 * time.Millisecond
	// recentHold is how long a recent rate is used. It ends before the granter on the other side
	// of a cut uses the share of the entries that left.
	recentHold = lostControlHold
)

// recentUse admits a part of the rate at which an entry used the granter's tokens lately. The recent
// rates of all entries add up to the workspace's, which was within its limit if nobody was refused.
type recentUse struct {
	// rate is the number of operations per second admitted with the granter's tokens, at the time
	// rateAt.
	rate   float64
	rateAt time.Duration
	// refusedAt is when the granter last refused; 0 before.
	refusedAt time.Duration
	// frozen is the rate of admission since begunAt, while inUse is set.
	inUse   bool
	frozen  float64
	begunAt time.Duration
	// level is that of the bucket at the time at; 0 before the first use.
	level float64
	at    time.Duration
	// admittedSince is the part of Account.admitted that was admitted since the granter's last
	// answer, at the time Account.admittedAt.
	admittedSince float64
}

func (r *recentUse) rateNow(now time.Duration) float64 {
	return r.rate * math.Exp(-(now-r.rateAt).Seconds()/recentSpan.Seconds())
}

// admitted records an operation that was admitted with a token of the granter.
func (r *recentUse) admitted(now time.Duration) {
	r.rate, r.rateAt = r.rateNow(now)+1/recentSpan.Seconds(), now
}

// answered records an answer of the granter, which ends the use.
func (r *recentUse) answered(granted int, now time.Duration) {
	r.inUse = false
	if granted == 0 {
		r.refusedAt = now
	}
}

// isRefused reports whether the granter refused this entry lately.
func (r *recentUse) isRefused(now time.Duration) bool {
	return r.refusedAt != 0 && now-r.refusedAt < recentRefusalHold
}

// begin freezes the rate. The bucket goes on from the last use, so that a granter that is only slow
// does not fill it with each answer.
func (r *recentUse) begin(now time.Duration) {
	r.inUse, r.begunAt = true, now
	r.frozen = recentPart * r.rateNow(now)
	if r.at == 0 {
		r.level, r.at = r.depth(), now
	}
}

func (r *recentUse) depth() float64 {
	return max(1, r.frozen*recentBurstTime.Seconds())
}

// TakeRecent admits an operation by the entry's recent use of the granter's tokens. lostFor is how
// long control has been lost.
func (a *Account) TakeRecent(now, lostFor time.Duration) bool {
	r := &a.recent
	if r.isRefused(now) {
		return false
	}
	if !r.inUse {
		r.begin(now)
	}
	if r.frozen < recentPart*minRecent || now-r.begunAt >= recentHold {
		return false
	}
	if lostFor > 0 && r.begunAt > now-lostFor+maxRecentWithoutControl {
		return false
	}
	r.level = min(r.level+r.frozen*(now-r.at).Seconds(), r.depth())
	r.at = now
	if r.level < 1 {
		return false
	}
	r.level--
	a.countAdmitted(now)
	r.admittedSince++
	return true
}
