package acked

import (
	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/logpos"
)

// Verdict says whether the success of a commit may be passed on to its caller.
type Verdict uint8

// Verdicts.
const (
	// Pass means that every later primary holds the commit.
	Pass Verdict = iota
	// Await means that the successor of the primary is not known to hold the commit yet.
	Await
	// Withhold means that the commit may be lost.
	Withhold
)

// Gate decides which successes of commits at a service's primaries may be passed on, as control
// closes the acknowledgements of a primary that it replaces: all of them, or those of commits
// that the primary's successor does not hold. Primaries are told apart by the numbers of their
// records. The zero value is open. Gate is not safe for concurrent use.
type Gate struct {
	// record is the newest primary record; nil before the first.
	record *fleetpb.Primary
	// closedNumber is the highest number of a record whose acknowledgements are closed, and
	// closedToken the token of the last attempt that closed any.
	closedNumber, closedToken uint64
	// successor is the endpoint that has to hold the commits of the primary with the number
	// successorNumber; held is the position up to which it does.
	successor       string
	successorNumber uint64
	held            logpos.Pos
}

// Apply applies the service's primary record. isNew reports whether acknowledgements are closed
// by an attempt that was not known.
func (g *Gate) Apply(record *fleetpb.Primary) (isNew bool) {
	if record == nil {
		return false
	}
	number := record.Number
	if g.record == nil || g.record.Number <= number {
		g.record = record
	}
	if record.ClosedToken == 0 || record.SuccessorId != "" {
		// The attempt ended without a new primary, or closes not all of them.
		if g.closedNumber == number && number > 0 {
			g.closedNumber = number - 1
		}
	} else {
		g.closedNumber = max(g.closedNumber, number)
	}
	isNew = g.closedToken < record.ClosedToken
	if isNew || g.successorNumber != number || g.successor != record.SuccessorId {
		g.setSuccessor(record)
	}
	g.closedToken = max(g.closedToken, record.ClosedToken)
	return isNew
}

// setSuccessor changes the successor. That of a former primary stays until there is another one,
// for successes that arrive late.
func (g *Gate) setSuccessor(record *fleetpb.Primary) {
	if record.SuccessorId == "" && g.successorNumber != record.Number {
		return
	}
	g.successor, g.successorNumber, g.held = record.SuccessorId, record.Number, logpos.Pos{}
}

// Successor returns the endpoint that has to hold the commits of the present primary; "" if none.
func (g *Gate) Successor() string {
	if g.successorNumber != g.record.GetNumber() {
		return ""
	}
	return g.successor
}

// NoteHeld records that an endpoint holds the log up to a position. It reports whether that is
// news about the successor.
func (g *Gate) NoteHeld(endpoint string, pos logpos.Pos) bool {
	if endpoint == "" || endpoint != g.Successor() || !g.held.Less(pos) {
		return false
	}
	g.held = pos
	return true
}

// IsClosed reports whether no success at the primary with the given number is passed on.
func (g *Gate) IsClosed(number uint64) bool { return number <= g.closedNumber }

// Check returns the verdict on a success at the primary with the given number; pos is the position
// that came with it.
func (g *Gate) Check(number uint64, pos logpos.Pos) Verdict {
	isAwaited := g.successor != "" && number == g.successorNumber
	switch {
	case g.IsClosed(number):
		return Withhold
	case isAwaited && reaches(g.held, pos):
		return Pass
	case number < g.record.GetNumber():
		// The primary has been replaced meanwhile.
		if reaches(inherited(g.record), pos) {
			return Pass
		}
		return Withhold
	case isAwaited:
		return Await
	}
	return Pass
}

// reaches reports whether a log that ends at end certainly holds the commit at pos. A log with
// entries of a later term may lack it.
func reaches(end, pos logpos.Pos) bool {
	return !pos.IsZero() && end.Term == pos.Term && end.Index >= pos.Index
}
