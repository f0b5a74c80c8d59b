// Package promotion replaces the primary of a service where the endpoints
// replicate semi-synchronously and the platform carries out the promotion.
//
// What makes it safe: with sync replicas, an acknowledged commit is in the log of
// the primary and of a replica that received it. A paused replica receives
// nothing. Hence, once every replica but one is paused and that one holds what
// the others hold, each commit acknowledged from then on is in its log as well,
// and it can be promoted while the old primary still serves. Once all are
// paused, no commit is acknowledged any more, and the latest log of them holds
// every acknowledged one; this needs nothing from a primary that is dead.
package promotion

import (
	"cmp"
	"slices"
	"time"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// reliefLag is the least lag for which a replica is promoted to relieve the primary.
// What a replica has not applied takes about as long as its lag; a promotion is over
// within a second.
const reliefLag = 2 * time.Second

// Member is an endpoint of the service as a promotion found it.
type Member struct {
	ID string
	// Leaving is set when the endpoint announced its end.
	Leaving bool
	// Reached is set when Status holds its answer.
	Reached bool
	// Dead is set when the endpoint's process was proved not to run while the
	// primary went on, so that its log holds no commit that the others lack.
	Dead   bool
	Paused bool
	Status stmt.Status
}

// position orders logs: by the term of the log, then by the position received.
func (m Member) position() logpos.Pos {
	return logpos.Pos{Term: m.Status.Received.Term, Index: m.Status.Received.Index}
}

// NextTerm returns a term above every one that a member has seen.
func NextTerm(members []Member) uint64 {
	var term uint64
	for _, m := range members {
		term = max(term, m.Status.Term, m.Status.HeldTerm, m.Status.Received.Term)
	}
	return term + 1
}

// Latest returns the replica with the latest log among those reached; among
// equals one that stays, then the first by id, so that a second attempt chooses
// the same. ok is false without any.
func Latest(replicas []Member) (latest Member, ok bool) {
	reached := slices.DeleteFunc(slices.Clone(replicas), func(m Member) bool { return !m.Reached })
	if len(reached) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(reached, func(a, b Member) int {
		return cmp.Or(
			a.position().Compare(b.position()),
			-compareBool(a.Leaving, b.Leaving),
			-cmp.Compare(a.ID, b.ID),
		)
	}), true
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Successor returns the replica to promote while the primary still serves: the
// preferred one if it can be, else one that stays, with the latest log. ok is false
// without any.
func Successor(replicas []Member, preferred string) (Member, bool) {
	staying := slices.DeleteFunc(slices.Clone(replicas), func(m Member) bool { return m.Leaving })
	i := slices.IndexFunc(staying, func(m Member) bool { return m.ID == preferred && m.Reached })
	if i >= 0 {
		return staying[i], true
	}
	return Latest(staying)
}

// Relief returns the replica to promote where replicas have received the primary's
// log but apply it so late that the primary alone can answer reads: the one furthest
// behind. It leads with all that it received, while the former primary holds its own
// log and goes on answering reads as a replica. ok is false if no replica is far
// enough behind.
func Relief(replicas []Member) (id string, ok bool) {
	lag := reliefLag
	for _, m := range replicas {
		if m.Reached && !m.Leaving && m.Status.Lag >= lag {
			id, ok, lag = m.ID, true, m.Status.Lag
		}
	}
	return id, ok
}

// Leading returns the replica that says that it is the primary. ok is false without any.
func Leading(replicas []Member) (id string, ok bool) {
	for _, m := range replicas {
		if m.Reached && m.Status.Role == stmt.Primary {
			return m.ID, true
		}
	}
	return "", false
}

// AllPaused reports whether no replica other than except can receive a commit.
func AllPaused(replicas []Member, except string) bool {
	for _, m := range replicas {
		if m.ID != except && !m.Paused && !m.Dead {
			return false
		}
	}
	return true
}

// Covers reports whether candidate's log holds what every other reached replica
// received.
func Covers(candidate Member, replicas []Member) bool {
	for _, m := range replicas {
		if m.Reached && candidate.position().Less(m.position()) {
			return false
		}
	}
	return true
}

// Sample is the positions of a service's endpoints at one moment.
type Sample struct {
	Primary logpos.Pos
	// Replicas holds those that answered.
	Replicas map[string]logpos.Pos
}

// IsStalled reports whether between two samples no replica received anything,
// although each was behind what the primary held at the first.
func IsStalled(first, second Sample) bool {
	for id, before := range first.Replicas {
		after, ok := second.Replicas[id]
		if !ok || !before.Less(first.Primary) || after != before {
			return false
		}
	}
	return len(first.Replicas) > 0
}
