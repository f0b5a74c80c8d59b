// Package place chooses the endpoint for a read. It answers a load in which any
// endpoint of a service could serve, some lag behind and some are slow. It is
// pure.
package place

import (
	"time"

	"hemlockmast/internal/shared/logpos"
)

const (
	// farPenalty is what an endpoint in another failure domain has to be faster
	// by: bytes between failure domains cost more than a round trip.
	farPenalty = 40 * time.Millisecond
	// primaryFactor keeps reads off the endpoint that alone can write: time spent
	// there on a read is lost to statements that can go nowhere else.
	primaryFactor = 2
	// openPenalty is what a new connection takes, and about what it keeps others
	// at the endpoint waiting.
	openPenalty = 15 * time.Millisecond
	// leastPatience is how long an answer to a read is waited for at least before another
	// endpoint is asked too: several times what the longest statements take.
	leastPatience = 250 * time.Millisecond
	// patienceFactor is the same in times of a usual statement: where all are slow, more
	// questions would make them slower.
	patienceFactor = 5
	// quickTime is the usual time of a statement up to which an endpoint has room for a
	// read that another was given already.
	quickTime = 60 * time.Millisecond
	// usualTime stands for the time of an endpoint that was not measured yet.
	usualTime = 25 * time.Millisecond
)

// Candidate is an endpoint as this daemon sees it.
type Candidate struct {
	ID      string
	Primary bool
	// Near is set in this daemon's failure domain.
	Near bool
	// Down is set while the endpoint is not reached.
	Down bool
	// Busy is set while the endpoint has no room.
	Busy bool
	// HasConnection is set when a connection can be had at once.
	HasConnection bool
	// Known is the last position that the endpoint told.
	KnownPos logpos.Pos
	// RecentlyLagged is set when it lacked a position a moment ago.
	RecentlyLagged bool
	// InFlight is the number of this daemon's statements there, waiting or running.
	InFlight int
	// Slots is how many statements the endpoint runs at once.
	Slots int
	// Time is the usual time of a statement there; 0 when not measured.
	Time time.Duration
}

// hindrance orders candidates by what keeps them from answering now.
type hindrance int

const (
	none hindrance = iota
	// busy: it has no room; a place becomes free within a statement's time.
	busy
	// lagging: it lacked what the read must see a moment ago.
	lagging
	// down: it is not reached, or was tried.
	down
)

func hindranceOf(c Candidate, floor logpos.Pos) hindrance {
	switch {
	case c.Down:
		return down
	case c.RecentlyLagged && c.KnownPos.Less(floor):
		return lagging
	case c.Busy:
		return busy
	}
	return none
}

// Choose returns the index of the candidate that should answer first, or -1.
// floor is the position that the read must see. One that is hindered is asked only
// where all others are hindered as much: it would refuse, and a full one be kept from
// its work.
func Choose(candidates []Candidate, floor logpos.Pos, tried func(id string) bool) int {
	least := down
	for _, c := range candidates {
		least = min(least, hindranceOf(c, floor))
	}
	best := -1
	var bestCost time.Duration
	for i, c := range candidates {
		if tried(c.ID) || c.Down || hindranceOf(c, floor) > least {
			continue
		}
		if cost := cost(c); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Patience is how long an endpoint's answer to a read is waited for before another is
// asked too. It answers a load in which an endpoint loses answers, or hangs, while
// others would answer in time. usual is the time of a statement there; 0 when not measured.
func Patience(usual time.Duration) time.Duration {
	return max(leastPatience, patienceFactor*usual)
}

// MayOvertake reports whether an endpoint should be asked for a read that waits elsewhere.
// One that is slow or hindered would only have more to do.
func MayOvertake(c Candidate, floor logpos.Pos) bool {
	return hindranceOf(c, floor) == none && c.Time <= quickTime
}

func cost(c Candidate) time.Duration {
	usual := c.Time
	if usual == 0 {
		usual = usualTime
	}
	slots := max(c.Slots, 1)
	total := usual + usual*time.Duration(c.InFlight)/time.Duration(slots)
	if c.Primary {
		total *= primaryFactor
	}
	if !c.Near {
		total += farPenalty
	}
	if !c.HasConnection {
		total += openPenalty
	}
	return total
}
