// Package quorum defines which endpoints of a group count towards a majority.
//
// An endpoint that lost its disk has also lost its log and the terms that it had
// granted. Its new incarnation therefore counts only from a term that was
// allocated after the new incarnation was seen. No promoter with a grant from the
// lost disk can have a later term, and a log that has reached that term holds
// everything acknowledged before it.
package quorum

import "hemlockmast/internal/endpointside/endpoint"

// Member is a configured slot of a group and the incarnation of its endpoint that
// may count. A Member stays valid forever: a stale list makes fewer endpoints
// count, never more.
type Member struct {
	Slot        string
	Incarnation string
	// Since is the term that was allocated when Incarnation was recorded; 0 for
	// the incarnations with which the group started.
	Since uint64
}

// CountsIn reports whether m's endpoint may confirm commits of term.
func (m Member) CountsIn(term uint64) bool { return m.Incarnation != "" && m.Since <= term }

// Is reports whether st is the status of m's recorded incarnation.
func (m Member) Is(st endpoint.Status) bool {
	return m.Incarnation != "" && st.Incarnation == m.Incarnation
}

// CountsGrant reports whether a fence granted with st counts towards a promotion:
// st is of the recorded incarnation, and its log has reached the term Since.
func (m Member) CountsGrant(st endpoint.Status) bool {
	return m.Is(st) && st.Synced.Term >= m.Since
}

// Majority returns the smallest majority of n slots.
func Majority(n int) int { return n/2 + 1 }
