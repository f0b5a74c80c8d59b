package failover

import (
	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
)

// Current is the newest known primary of a group and the term's members.
type Current struct {
	Term    uint64
	Primary string
	Members []quorum.Member
}

// Correction is what an endpoint needs to be in line with the current term.
type Correction uint8

// Corrections of an endpoint.
const (
	// CorrectNothing: the endpoint is in line.
	CorrectNothing Correction = iota
	// CorrectFence: fence it at the current term first; a superseded primary
	// that came back, or an endpoint with an empty disk.
	CorrectFence
	// CorrectFollow: make it follow the current primary.
	CorrectFollow
	// CorrectTerm: only a new term brings it in line. It was fenced by an
	// attempt that went no further, or it caught up under an incarnation that
	// does not count yet, or it is the primary and no longer one.
	CorrectTerm
)

// Correct says what the endpoint with status st needs. A slot that is not
// configured needs nothing: it is not the group's.
func (c Current) Correct(st endpoint.Status) Correction {
	m, ok := c.member(st.Slot)
	switch {
	case !ok:
		return CorrectNothing
	case st.FencedTerm > c.Term:
		return CorrectTerm
	case st.Slot == c.Primary:
		return c.correctPrimary(m, st)
	case st.FencedTerm < c.Term:
		return CorrectFence
	case st.Synced.Term < c.Term:
		return CorrectFollow
	case !m.Is(st) || m.Since > c.Term:
		return CorrectTerm
	}
	return CorrectNothing
}

func (c Current) correctPrimary(m quorum.Member, st endpoint.Status) Correction {
	if m.Is(st) && st.Role == endpoint.RolePrimary && st.Synced.Term == c.Term {
		return CorrectNothing
	}
	return CorrectTerm
}

func (c Current) member(slot string) (quorum.Member, bool) {
	for _, m := range c.Members {
		if m.Slot == slot {
			return m, true
		}
	}
	return quorum.Member{}, false
}
