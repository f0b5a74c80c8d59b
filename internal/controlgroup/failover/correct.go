package failover

import (
	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
)

// Current is the latest known primary of a group, with its term and the group's
// members. Not every member counts in that term.
type Current struct {
	Term    uint64
	Primary string
	Members []quorum.Member
}

// Correction is the action that brings an endpoint in line with the current term.
// An endpoint is in line if it is the primary of that term or follows it.
type Correction uint8

// Corrections of an endpoint.
const (
	// CorrectionNone means that the endpoint is in line or not configured.
	CorrectionNone Correction = iota
	// CorrectionFence means that the endpoint has to be fenced at the current
	// term, then told to follow: it is a superseded primary that came back, or
	// it has an empty disk.
	CorrectionFence
	// CorrectionFollow means that the endpoint has to follow the current primary.
	CorrectionFollow
	// CorrectionNewTerm means that only a promotion at a new term helps: an
	// abandoned attempt fenced the endpoint, or it caught up under an
	// incarnation that does not count yet, or the current primary's slot no
	// longer acts as the primary.
	CorrectionNewTerm
)

// CorrectionFor returns the correction for the endpoint with status st. A slot
// that is not configured needs none, because it does not belong to the group.
func (c Current) CorrectionFor(st endpoint.Status) Correction {
	m, ok := c.member(st.Slot)
	switch {
	case !ok:
		return CorrectionNone
	case st.FencedTerm > c.Term:
		return CorrectionNewTerm
	case st.Slot == c.Primary:
		return c.correctionForPrimary(m, st)
	case st.FencedTerm < c.Term:
		return CorrectionFence
	case st.Synced.Term < c.Term:
		return CorrectionFollow
	case !m.Is(st) || m.Since > c.Term:
		return CorrectionNewTerm
	}
	return CorrectionNone
}

func (c Current) correctionForPrimary(m quorum.Member, st endpoint.Status) Correction {
	if m.Is(st) && st.Role == endpoint.RolePrimary && st.Synced.Term == c.Term {
		return CorrectionNone
	}
	return CorrectionNewTerm
}

func (c Current) member(slot string) (quorum.Member, bool) {
	for _, m := range c.Members {
		if m.Slot == slot {
			return m, true
		}
	}
	return quorum.Member{}, false
}
