// Package acked finds acknowledged commits that a new primary lacks. It does no I/O.
package acked

import (
	"cmp"
	"slices"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/logpos"
)

// maxTerms bounds the terms whose acknowledged positions are kept. The oldest are dropped
// beyond that.
const maxTerms = 4

// Commits holds the positions of acknowledged commits of one service, and the record of its
// primary. The zero value is empty. Commits is not safe for concurrent use.
type Commits struct {
	// positions holds the highest position of each term, sorted by term.
	positions []logpos.Pos
	// record is the newest primary record; nil before the first. isReported is set when it
	// has been found to lack a commit.
	record     *fleetpb.Primary
	isReported bool
}

// Missing is an acknowledged commit that a primary lacks.
type Missing struct {
	// Record names the primary.
	Record *fleetpb.Primary
	// Acknowledged is the highest position that the primary lacks.
	Acknowledged logpos.Pos
	// Inherited is the end of the log with which the primary began to lead.
	Inherited logpos.Pos
}

// Acknowledge adds the position that came with the answer to a successful commit. It reports
// whether the recorded primary leads a later term and lacks the commit, once for each record.
func (c *Commits) Acknowledge(pos logpos.Pos) (Missing, bool) {
	if pos.IsZero() {
		return Missing{}, false
	}
	i, found := slices.BinarySearchFunc(c.positions, pos.Term, func(p logpos.Pos, term uint64) int { return cmp.Compare(p.Term, term) })
	if found {
		c.positions[i] = logpos.Max(c.positions[i], pos)
	} else {
		c.positions = slices.Insert(c.positions, i, pos)
	}
	if len(c.positions) > maxTerms {
		c.positions = slices.Delete(c.positions, 0, 1)
	}
	return c.check()
}

// Highest returns the highest position of an acknowledged commit; zero if there is none.
func (c *Commits) Highest() logpos.Pos {
	if len(c.positions) == 0 {
		return logpos.Pos{}
	}
	return c.positions[len(c.positions)-1]
}

// Apply applies the service's primary record. It reports whether the primary lacks an
// acknowledged commit, once for each record number.
func (c *Commits) Apply(record *fleetpb.Primary) (Missing, bool) {
	switch {
	case record.GetNumber() != c.record.GetNumber():
		c.isReported = false
	case c.record.GetInherited() != nil:
		// The endpoint may have been promoted again, and holds its own commits.
		return Missing{}, false
	}
	c.record = record
	return c.check()
}

// check reports whether the recorded primary lacks an acknowledged commit. What it lacks is
// removed, so that later primaries are not blamed for it.
func (c *Commits) check() (Missing, bool) {
	var highest logpos.Pos
	c.positions = slices.DeleteFunc(c.positions, func(p logpos.Pos) bool {
		if !isLacking(c.record, p) {
			return false
		}
		highest = logpos.Max(highest, p)
		return true
	})
	if highest.IsZero() || c.isReported {
		return Missing{}, false
	}
	c.isReported = true
	return Missing{Record: c.record, Acknowledged: highest, Inherited: inherited(c.record)}, true
}

// isLacking reports whether the recorded primary certainly lacks the commit at pos. Commits of
// its own term or a later one are not in the log that it began with and do not count.
func isLacking(record *fleetpb.Primary, pos logpos.Pos) bool {
	if record.GetInherited() == nil || pos.Term >= record.Term {
		return false
	}
	// Neither terms nor indexes decrease along a log.
	end := inherited(record)
	return pos.Term > end.Term || pos.Index > end.Index
}

func inherited(record *fleetpb.Primary) logpos.Pos {
	return logpos.Pos{Term: record.GetInherited().GetTerm(), Index: record.GetInherited().GetIndex()}
}
