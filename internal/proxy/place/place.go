// Package place chooses the endpoint for a read, where any endpoint of a service could
// serve it but some lag behind and some are slow. The package has no state and does no
// I/O.
package place

import (
	"math"
	"time"

	"hemlockmast/internal/shared/logpos"
)

const (
	// crossDomainPenalty is the cost added for an endpoint in another failure domain:
	// traffic between failure domains costs more than a round trip.
	crossDomainPenalty = 40 * time.Millisecond
	// wrongSidePenalty is the cost added for an endpoint that is not on the side that a read
	// was sent to. It only has to be larger than all other costs.
	wrongSidePenalty = time.Hour
	// PrimaryCostFactor multiplies the cost of the primary. Only the primary can run
	// writes, so a read there takes time from statements that cannot run elsewhere.
	PrimaryCostFactor = 2
	// dialPenalty is the cost of opening a connection. It delays other statements at the
	// endpoint by about as much.
	dialPenalty = 15 * time.Millisecond
	// minHedgeDelay is the minimum hedge delay: several times what the longest statements
	// take.
	minHedgeDelay = 250 * time.Millisecond
	// hedgeDelayFactor is the hedge delay as a multiple of the average statement time.
	// Where all endpoints are slow, more reads would make them slower.
	hedgeDelayFactor = 5
	// maxHedgeStatementTime is the average statement time above which an endpoint gets no
	// hedged read, because it has no room for one.
	maxHedgeStatementTime = 60 * time.Millisecond
	// defaultStatementTime is assumed for an endpoint whose statements have not been
	// measured.
	defaultStatementTime = 25 * time.Millisecond
	// freshTime is the age up to which an average statement time is taken as it is, and
	// agingTime the time in which an older one is halved.
	freshTime = time.Second
	agingTime = 2 * time.Second
)

// Candidate is an endpoint as this daemon sees it.
type Candidate struct {
	// ID is the endpoint's id.
	ID string
	// Primary is set for the service's primary.
	Primary bool
	// InSameDomain is set when the endpoint is in this daemon's failure domain.
	InSameDomain bool
	// Down is set while the endpoint is unreachable.
	Down bool
	// Busy is set while the endpoint has no room for another statement.
	Busy bool
	// HasConnection is set when a connection is available at once.
	HasConnection bool
	// KnownPos is the highest log position that the endpoint has reported.
	KnownPos logpos.Pos
	// RecentlyLagged is set when the endpoint recently lacked a requested position.
	RecentlyLagged bool
	// CrossingCost is the cost of a statement there if it is in another failure domain; 0 for a
	// fixed penalty.
	CrossingCost time.Duration
	// InFlight is the number of this daemon's statements there, waiting or running.
	InFlight int
	// Slots is how many statements the endpoint runs at once.
	Slots int
	// AvgStatementTime is the average time of a statement there; 0 when not measured.
	AvgStatementTime time.Duration
	// Avoided is set while the endpoint fails a part of its statements.
	Avoided bool
	// HasLoad is set if a carrier has told the load. Wait is then the expected wait of the
	// read, and AvgStatementTime what the carrier measured.
	HasLoad bool
	Wait    time.Duration
}

// Side is where a read should go. Endpoints elsewhere are chosen if no other can answer.
type Side int

// Sides.
const (
	// AnySide: an endpoint in another failure domain costs a fixed penalty.
	AnySide Side = iota
	// Home: the read should stay in this daemon's failure domain.
	Home
	// Away: the read should leave it.
	Away
)

// StatementTime returns the average time of a statement: what was measured, or a default.
func StatementTime(measured time.Duration) time.Duration {
	if measured == 0 {
		return defaultStatementTime
	}
	return measured
}

// AgedTime returns what an average statement time says at an age, the time since the last
// answer. An endpoint that was slow gets no reads while others are quicker, so that nothing
// shows when it is quick again. The average therefore falls with its age until the endpoint is
// tried again.
func AgedTime(avg, age time.Duration) time.Duration {
	if age <= freshTime || avg <= defaultStatementTime {
		return avg
	}
	factor := math.Exp2(-float64(age-freshTime) / float64(agingTime))
	return max(time.Duration(float64(avg)*factor), defaultStatementTime)
}

// obstacle is what keeps a candidate from answering now, the least serious first.
type obstacle int

const (
	none obstacle = iota
	// busy: the endpoint has no room; a slot becomes free within a statement's time.
	busy
	// avoided: the endpoint fails a part of its statements.
	avoided
	// lagging: the endpoint recently lacked the position that the read must see.
	lagging
	// down: the endpoint is unreachable.
	down
)

// String returns the obstacle's name for operators; "" for none.
func (o obstacle) String() string { return [...]string{"", "busy", "avoided", "lagging", "down"}[o] }

// Obstacle names the most serious obstacle of a candidate for a read that must see floor; "" if
// there is none.
func Obstacle(c Candidate, floor logpos.Pos) string { return obstacleOf(c, floor).String() }

// obstacleOf returns the most serious obstacle of a candidate for a read that must see
// floor.
func obstacleOf(c Candidate, floor logpos.Pos) obstacle {
	switch {
	case c.Down:
		return down
	case c.RecentlyLagged && c.KnownPos.Less(floor):
		return lagging
	case c.Avoided:
		return avoided
	case c.Busy:
		return busy
	}
	return none
}

// Choose returns the index of the candidate to send a read to, or -1 for none. floor is
// the log position that the read must see. tried reports which candidates have been tried
// already. A candidate that is down is never chosen, and any other only if no candidate,
// tried ones included, has a less serious obstacle: such an endpoint would refuse the
// read, and refusals take time from an endpoint that is full.
func Choose(candidates []Candidate, floor logpos.Pos, tried func(id string) bool) int {
	return ChooseOn(AnySide, candidates, floor, tried)
}

// ChooseOn chooses as Choose does, and prefers the endpoints of a side.
func ChooseOn(side Side, candidates []Candidate, floor logpos.Pos, tried func(id string) bool) int {
	minObstacle := down
	for _, c := range candidates {
		minObstacle = min(minObstacle, obstacleOf(c, floor))
	}
	best := -1
	var bestCost time.Duration
	for i, c := range candidates {
		if tried(c.ID) || c.Down || obstacleOf(c, floor) > minObstacle {
			continue
		}
		if cost := Cost(c, side); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// HedgeDelay returns the hedge delay: how long to wait for an endpoint's answer to a read
// before the read is also sent to another endpoint. Hedging covers an endpoint that loses
// answers or hangs while others would answer in time. avgStatementTime is the average time
// of a statement there; 0 when not measured.
func HedgeDelay(avgStatementTime time.Duration) time.Duration {
	return max(minHedgeDelay, hedgeDelayFactor*avgStatementTime)
}

// MayHedge reports whether an endpoint may get a hedged read. The read would only add
// load to an endpoint that is slow, busy, lagging or down.
func MayHedge(c Candidate, floor logpos.Pos) bool {
	return obstacleOf(c, floor) == none && c.AvgStatementTime <= maxHedgeStatementTime
}

// Cost estimates how long a read at c takes, with penalties for what the read costs
// others.
func Cost(c Candidate, side Side) time.Duration {
	avgStatementTime := StatementTime(c.AvgStatementTime)
	slots := max(c.Slots, 1)
	total := avgStatementTime + avgStatementTime*time.Duration(c.InFlight)/time.Duration(slots)
	if c.HasLoad {
		total = avgStatementTime + c.Wait
	}
	if c.Primary {
		total *= PrimaryCostFactor
	}
	switch {
	case side == Home && !c.InSameDomain, side == Away && c.InSameDomain:
		total += wrongSidePenalty
	case side == AnySide && !c.InSameDomain && c.CrossingCost > 0:
		total += c.CrossingCost
	case side == AnySide && !c.InSameDomain:
		total += crossDomainPenalty
	}
	if !c.HasConnection {
		total += dialPenalty
	}
	return total
}
