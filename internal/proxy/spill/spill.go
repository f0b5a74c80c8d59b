// Package spill decides which share of a service's reads leaves the failure domain. Traffic
// between failure domains is slower and costs money, but a failure domain's own endpoints are
// sometimes too few.
//
// Leaving pays while a statement takes longer in the own failure domain than away, by more
// than the round trip and the cost that the operator gave. A Controller for each service moves
// the share a little with each step, in proportion to how much leaving pays and how that
// changes. All entries of a failure domain see the same loads at about the same time; the
// bounded steps keep them from moving together, and the part that follows the change keeps
// the share from swinging, because a queue goes on growing until the share is large enough.
// The package does no I/O and has no clock.
package spill

import "time"

const (
	// StepInterval is the time between two steps. Loads are told about as often.
	StepInterval = 250 * time.Millisecond
	// maxStepUp and maxStepDown bound a step.
	maxStepUp   = 0.1
	maxStepDown = 0.1
	// gain is by how much the share rises in a step for each second by which leaving pays,
	// and dampingGain for each second by which that has changed since the last step. In the
	// fluid model of the package's test this settles without swinging.
	gain        = 0.3
	dampingGain = 1
	// idleStep is by how much the share falls in a step at least while statements at home do
	// not wait: the own endpoints have room.
	idleStep = 0.05
	// hysteresis is how far from the point where leaving pays the share is left as it is.
	hysteresis = 5 * time.Millisecond
	// maxAwayWait is the wait away above which the share does not rise, and is lowered at
	// twice that: the endpoints away are then needed by their own failure domains.
	maxAwayWait = 25 * time.Millisecond
	// minShare is the share below which no read leaves.
	minShare = 0.01
	// unknownTime is how long a share is kept while a load is not known although endpoints
	// can be used: an entry may send a service only two or three reads a second.
	unknownTime = 3 * time.Second
	// probeInterval is the time between two reads that are sent away only to ask for the load
	// there. Most of an entry's reads would leave if each step sent one.
	probeInterval = time.Second
	// assumedTime bounds the statement time that is assumed away while it is not known: more
	// than usual statements take.
	assumedTime = 60 * time.Millisecond
	// maxShare keeps reads in the failure domain that show when its wait is over.
	maxShare = 0.95
)

// Side is the load in one place: that of its least loaded endpoint.
type Side struct {
	// Wait is the expected wait of a new statement, StatementTime the mean time of one.
	Wait, StatementTime time.Duration
	// RoundTrip is the time of a message and its answer.
	RoundTrip time.Duration
	// ToldAt is when the load was told.
	ToldAt time.Time
	// IsUsable is set if an endpoint there can be used, IsKnown if a carrier has told the load
	// of one recently.
	IsUsable, IsKnown bool
}

func (s Side) time() time.Duration { return s.Wait + s.StatementTime + s.RoundTrip }

// Decision is the outcome of a step.
type Decision struct {
	// Share is the share of the reads to send away.
	Share float64
	// Began and Ended are set if the share has just risen from 0 or fallen to 0.
	Began, Ended bool
	// NeedsProbe is set if leaving might pay, but the load away is not known: one read should
	// then be sent away to ask for it.
	NeedsProbe bool
}

// Controller holds the share of one service. The zero value sends nothing away. It is not safe
// for concurrent use.
type Controller struct {
	share float64
	// margin is by how much leaving paid at the last step; hasMargin is set if that is known.
	margin    time.Duration
	hasMargin bool
	// movedFor is when the load at home was told for which the share moved last. It does not
	// move twice for the same load, which does not show yet what the last step has changed.
	movedFor time.Time
	// knownAt is when both loads were last known.
	knownAt time.Time
	// probedAt is when a read was last sent away to ask for the load.
	probedAt time.Time
}

// Share returns the share of the reads to send away.
func (c *Controller) Share() float64 { return c.share }

// Reset sets the share to 0, after a pause without steps.
func (c *Controller) Reset() { *c = Controller{probedAt: c.probedAt} }

// Step updates the share. cost is the wait that the operator accepts to keep a statement in its
// own failure domain.
func (c *Controller) Step(home, away Side, cost time.Duration, now time.Time) Decision {
	before := c.share
	d := Decision{}
	switch {
	case !home.IsUsable, !away.IsUsable:
		// Without own endpoints, all reads leave without a decision of this package.
		c.Reset()
	case !home.IsKnown || !away.IsKnown:
		c.keep(now)
		d.NeedsProbe = !away.IsKnown && c.takeProbe(home, cost, now)
	default:
		c.knownAt = now
		if home.ToldAt.After(c.movedFor) {
			c.movedFor = home.ToldAt
			c.move(home, away, cost)
		}
	}
	if c.share < minShare && c.share < before {
		c.share = 0
	}
	d.Share, d.Began, d.Ended = c.share, before == 0 && c.share > 0, before > 0 && c.share == 0
	return d
}

// keep keeps the share for a while after loads were known.
func (c *Controller) keep(now time.Time) {
	c.hasMargin = false
	if now.Sub(c.knownAt) > unknownTime {
		c.Reset()
	}
}

// takeProbe reports whether a read should be sent away to ask for the load there, and counts it
// as sent.
func (c *Controller) takeProbe(home Side, cost time.Duration, now time.Time) bool {
	assumed := min(home.StatementTime, assumedTime)
	mightPay := home.IsKnown && home.Wait+home.StatementTime-assumed > cost+hysteresis
	if c.share == 0 && !mightPay || now.Sub(c.probedAt) < probeInterval {
		return false
	}
	c.probedAt = now
	return true
}

// Margin returns by how much leaving pays; it is negative where it does not.
func Margin(home, away Side, cost time.Duration) time.Duration {
	return home.time() - away.time() - cost
}

// move moves the share by how much leaving pays.
func (c *Controller) move(home, away Side, cost time.Duration) {
	margin := Margin(home, away, cost)
	change := margin - c.margin
	if !c.hasMargin {
		change = 0
	}
	c.margin, c.hasMargin = margin, true
	step := dampingGain * change.Seconds()
	if margin > hysteresis || margin < -hysteresis {
		step += gain * margin.Seconds()
	}
	if margin < -hysteresis && home.Wait == 0 {
		step = min(step, -idleStep)
	}
	switch {
	case away.Wait > 2*maxAwayWait:
		step = min(step, -maxStepDown/2)
	case away.Wait > maxAwayWait, margin < hysteresis && c.share == 0:
		step = min(step, 0)
	}
	step = min(max(step, -maxStepDown), maxStepUp)
	c.share = min(max(c.share+step, 0), maxShare)
}
