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
	// primaryPenalty keeps reads off the endpoint that alone can write.
	primaryPenalty = 15 * time.Millisecond
	// laggingPenalty is for an endpoint that may have to refuse.
	laggingPenalty = 25 * time.Millisecond
	// openPenalty is what a new connection takes, and about what it keeps others
	// at the endpoint waiting.
	openPenalty = 15 * time.Millisecond
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
	// HasConnection is set when a connection can be had at once.
	HasConnection bool
	// Known is the last position that the endpoint told.
	Known logpos.Pos
	// RefusedLately is set when it lacked a position a moment ago.
	RefusedLately bool
	// InFlight is the number of this daemon's statements there, waiting or running.
	InFlight int
	// Slots is how many statements the endpoint runs at once.
	Slots int
	// Time is the usual time of a statement there; 0 when not measured.
	Time time.Duration
}

// Choose returns the index of the candidate that should answer first, or -1.
// floor is the position that the read must see.
func Choose(candidates []Candidate, floor logpos.Pos, tried func(id string) bool) int {
	best := -1
	var bestCost time.Duration
	for i, c := range candidates {
		if tried(c.ID) || c.Down {
			continue
		}
		if cost := cost(c, floor); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func cost(c Candidate, floor logpos.Pos) time.Duration {
	usual := c.Time
	if usual == 0 {
		usual = usualTime
	}
	slots := max(c.Slots, 1)
	total := usual + usual*time.Duration(c.InFlight)/time.Duration(slots)
	if !c.Near {
		total += farPenalty
	}
	if c.Primary {
		total += primaryPenalty
	}
	if !c.HasConnection {
		total += openPenalty
	}
	if c.RefusedLately && c.Known.Less(floor) {
		total += laggingPenalty
	}
	return total
}
