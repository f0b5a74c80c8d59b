// Package quota decides which operations of a workspace are within its limit over all entries.
//
// One entry, the granter of the workspace, holds its token bucket and grants whole tokens on
// request. An entry takes one token from its Account for each operation. Tokens expire a short
// time after they were requested, so that no entry saves up tokens and a frozen or lost entry
// takes nothing from the others for long. An entry that gets no answer from the granter falls
// back to a part of the rate at which the granter served it lately, if the granter did not refuse
// any; then to a share of the limit: first to the granter of its failure domain, which grants the
// share of that failure domain, then to its own static share.
//
// The bucket keeps tokens back from the less urgent priorities.
//
// The package does no I/O. Times are on the clock of package boottime.
package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultWindow is the span in which a limit is checked if the settings name none.
	DefaultWindow = 5 * time.Second
	// validityDivisor sets the validity of tokens as a part of the window. The check allows for
	// 10 %.
	validityDivisor = 10
	// minDepthTime sets the smallest depth of a bucket, as the time in which it fills, and
	// maxMinDepth bounds that depth.
	minDepthTime = 100 * time.Millisecond
	maxMinDepth  = 10
	// leaveHold is how long a granter leaves the share of entries that left unused.
	leaveHold = 12 * time.Second
	// detectTime is the time from a cut until all entries have noticed it: control counts an
	// entry for 3 s after its last poll. Both sides of the cut use the limit meanwhile.
	detectTime = 3500 * time.Millisecond
	// lostControlHold is the time without control after which an entry no longer counts on the
	// granter of the other side leaving its share unused. It is shorter than leaveHold, since
	// the entry may notice the cut later than control.
	lostControlHold = 10 * time.Second
	// cautiousFactor is the part of a fallback share that is used while the other side of a cut
	// may use the whole limit. A third of a third of the entries is about the 10 % that the
	// check allows for.
	cautiousFactor = 1.0 / 3
)

// Limit is a workspace's limit over all entries. A zero Rate means that there is none.
type Limit struct {
	// Rate is in operations per second. Burst is how many may run at once beyond it.
	Rate, Burst float64
}

// depth is the depth of the bucket. It holds at least one whole token, and what arrives between
// two requests of a busy entry: a small bucket would be full for most of that time. The check
// allows for 20 operations more.
func (l Limit) depth() float64 {
	return max(1, l.Burst, min(l.Rate*minDepthTime.Seconds(), maxMinDepth))
}

// MaxPriority is the least urgent priority. 0 goes first.
const MaxPriority = 2

// Priority returns a route's priority as the package counts it.
func Priority(p int) int { return min(max(p, 0), MaxPriority) }

// Share returns a part of the limit.
func (l Limit) Share(part float64) Limit { return Limit{Rate: l.Rate * part, Burst: l.Burst * part} }

// Validity returns the validity of tokens for a window.
func Validity(window time.Duration) time.Duration { return window / validityDivisor }

// ChooseGranter returns the entry that grants the tokens of a workspace, by rendezvous hashing;
// "" without entries. When an entry joins or leaves, only the workspaces that it grants move.
func ChooseGranter(workspace string, entries []string) string {
	best, bestWeight := "", uint64(0)
	for _, e := range entries {
		weight := xxhash.Sum64String(workspace + "\x00" + e)
		if best == "" || weight > bestWeight || weight == bestWeight && e < best {
			best, bestWeight = e, weight
		}
	}
	return best
}

// ChooseFallback returns the entry that grants the share of a failure domain, given its entries;
// "" if there is none. It is not the granter, the loss of which is a reason for the fallback.
func ChooseFallback(workspace string, entries []string, granter string) string {
	others := slices.DeleteFunc(slices.Clone(entries), func(e string) bool { return e == granter })
	return ChooseGranter(workspace, others)
}

// Members tracks the number of entries. The zero value is ready for use.
type Members struct {
	count int
	// before is the number of entries before the last ones left; it applies until holdUntil.
	before    int
	holdUntil time.Duration
}

// Set records the number of entries.
func (m *Members) Set(count int, now time.Duration) {
	if now >= m.holdUntil {
		m.before = m.count
	}
	if count < m.count {
		m.holdUntil = now + leaveHold
	}
	if count >= m.before {
		m.before, m.holdUntil = count, now
	}
	m.count = count
}

// Live returns the part of the limit that the granter may grant: less than 1 for some time after
// entries left, since they may be using their fallback shares.
func (m *Members) Live(now time.Duration) float64 {
	if now >= m.holdUntil || m.before == 0 {
		return 1
	}
	return float64(m.count) / float64(m.before)
}

// Count returns the number of entries that fallback shares are computed for: the higher one for
// some time after entries left.
func (m *Members) Count(now time.Duration) int {
	if now < m.holdUntil {
		return max(m.count, m.before)
	}
	return m.count
}

// caution returns the part of a fallback share that may be used now. since is when the fallback
// began, or when control was last lost for lostControlHold.
func caution(since, now time.Duration) float64 {
	if now-since < detectTime {
		return cautiousFactor
	}
	return 1
}
