// Package promotion replaces the primary of a service whose endpoints replicate
// semi-synchronously and are promoted by the platform.
//
// A promotion never loses an acknowledged commit, for these reasons:
//
//   - An acknowledged commit is in the log of the primary and of at least one
//     synchronous replica. A paused replica receives nothing from a primary whose term is
//     lower than that of the pause.
//   - If the entries, through which every success reaches its caller, pass on only commits
//     that one replica holds, and this replica holds what they had passed on before, it can
//     be promoted while the old primary still serves. The other replicas are paused, so that
//     the primary acknowledges what this one receives.
//   - If the old primary stepped down, no further commit is acknowledged, and its log
//     contains every acknowledged commit. A replica that has received all of it can be
//     promoted, or else the old primary itself.
//   - If all replicas are paused, no further commit is acknowledged, and the most
//     up-to-date log among them contains every acknowledged commit. The old primary
//     need not answer for this.
//
// Pauses hold until the platform has carried out a promotion: no daemon ends one. The
// control group records each call to the platform before it is made, so that a later
// attempt, of any daemon, knows the calls that may still be carried out. See
// docs/decisions/0088-pauses-end-with-a-promotion.md.
package promotion

import (
	"cmp"
	"slices"
	"time"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// minReliefLag is the replication lag from which a replica may be promoted to relieve
// the primary. A replica needs about as long as its lag to apply its backlog, while a
// promotion takes less than a second: below this lag, waiting is cheaper.
const minReliefLag = 2 * time.Second

// ReplicaState is what a promotion knows of one replica.
type ReplicaState struct {
	ID string
	// Leaving means that the endpoint announced that it will shut down.
	Leaving bool
	// Reached means that the endpoint answered the last command and Status holds
	// its answer.
	Reached bool
	// Dead means that the endpoint does not run and that another replica holds every
	// acknowledged commit of its log.
	Dead bool
	// LostLog means that the endpoint was started again and does not reach the floor. It may
	// have held the only copy of a commit before.
	LostLog bool
	Status  stmt.Status
}

// Call is a call to the platform that may still be carried out.
type Call struct {
	Token      uint64
	EndpointID string
}

// position returns the end of the received log. Positions compare by term, then by
// index.
func (s ReplicaState) position() logpos.Pos { return s.Status.Received }

// isPausedFor reports whether the endpoint receives nothing from a primary of a term below
// term, as far as its last status shows.
func (s ReplicaState) isPausedFor(term uint64) bool { return s.Dead || s.Status.PausedTerm >= term }

// NextTerm returns the term to which the next promotion leads, if known is the last known term
// of a primary and no call is open.
func NextTerm(replicas []ReplicaState, known uint64) uint64 {
	for _, s := range replicas {
		known = max(known, s.Status.Term, s.Status.Received.Term)
	}
	return known + 1
}

// PauseTerm returns the term with which replicas are paused for the promotion of the endpoint
// with the given id; next is that of NextTerm. A promotion leads to the next term and ends
// the pauses. Open calls for other endpoints may lead to further terms before that, and their
// primaries must not acknowledge commits either.
func PauseTerm(next uint64, open []Call, id string) uint64 {
	changes, leader := uint64(0), ""
	for _, c := range open {
		if c.EndpointID != leader {
			changes++
		}
		leader = c.EndpointID
	}
	if changes > 0 && leader == id {
		changes--
	}
	return next + changes
}

// MostUpToDate returns the reached replica with the most up-to-date log. Among equal
// logs it prefers the endpoint of the last open call, then a replica that is not leaving,
// then the lowest id, so that a retry chooses the same one. ok is false if no replica was
// reached.
func MostUpToDate(replicas []ReplicaState, open []Call) (latest ReplicaState, ok bool) {
	reached := slices.DeleteFunc(slices.Clone(replicas), func(s ReplicaState) bool { return !s.Reached })
	if len(reached) == 0 {
		return ReplicaState{}, false
	}
	return slices.MaxFunc(reached, func(a, b ReplicaState) int {
		return cmp.Or(
			a.position().Compare(b.position()),
			compareBool(isCalled(open, a.ID), isCalled(open, b.ID)),
			-compareBool(a.Leaving, b.Leaving),
			-cmp.Compare(a.ID, b.ID),
		)
	}), true
}

// isCalled reports whether the last open call is for the endpoint.
func isCalled(open []Call, id string) bool {
	return len(open) > 0 && open[len(open)-1].EndpointID == id
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

// CalledReplicas returns the ids of the endpoints other than the primary for which calls are
// open, each once.
func CalledReplicas(open []Call, primary string) []string {
	var called []string
	for _, c := range open {
		if c.EndpointID != primary && !slices.Contains(called, c.EndpointID) {
			called = append(called, c.EndpointID)
		}
	}
	return called
}

// Successor returns the replica to promote while the primary still serves, the only one that
// will not be paused: the endpoint of the last open call, else the preferred one, else the
// most up-to-date one that is not leaving. next is that of NextTerm. ok is false if there is
// none, or if it is paused already.
func Successor(replicas []ReplicaState, open []Call, next uint64, preferred string) (ReplicaState, bool) {
	candidates := slices.DeleteFunc(slices.Clone(replicas), func(s ReplicaState) bool {
		return !s.Reached || s.Leaving || s.isPausedFor(next)
	})
	if len(open) > 0 {
		preferred = open[len(open)-1].EndpointID
	}
	i := slices.IndexFunc(candidates, func(s ReplicaState) bool { return s.ID == preferred })
	switch {
	case i >= 0:
		return candidates[i], true
	case len(open) > 0:
		return ReplicaState{}, false
	}
	return MostUpToDate(candidates, nil)
}

// ReliefCandidate returns the replica to promote when replicas have received the
// primary's log but apply it so late that only the primary can answer reads. It is the
// replica furthest behind: as primary it serves everything that it received, and the
// former primary, which is up to date, goes on answering reads as a replica. ok is false
// if no replica lags by minReliefLag or more.
func ReliefCandidate(replicas []ReplicaState) (id string, ok bool) {
	lag := minReliefLag
	for _, s := range replicas {
		if s.Reached && !s.Leaving && s.Status.Lag >= lag {
			id, ok, lag = s.ID, true, s.Status.Lag
		}
	}
	return id, ok
}

// CurrentPrimary returns the replica that reports itself as the primary. ok is false if
// none does.
func CurrentPrimary(replicas []ReplicaState) (primary ReplicaState, ok bool) {
	for _, s := range replicas {
		if s.Reached && s.Status.Role == stmt.Primary {
			return s, true
		}
	}
	return ReplicaState{}, false
}

// AllAnswer reports whether each replica was reached with its log or is dead, so that pausing
// all of them is of use.
func AllAnswer(replicas []ReplicaState) bool {
	for _, s := range replicas {
		if !s.Reached && !s.Dead || s.LostLog {
			return false
		}
	}
	return true
}

// AllPaused reports whether no replica other than except can receive a commit from a primary
// of a term below term: each is paused or dead.
func AllPaused(replicas []ReplicaState, term uint64, except string) bool {
	for _, s := range replicas {
		if s.ID != except && !s.isPausedFor(term) {
			return false
		}
	}
	return true
}

// AnyPaused reports whether a reached replica is paused for the term or a higher one.
func AnyPaused(replicas []ReplicaState, term uint64) bool {
	return slices.ContainsFunc(replicas, func(s ReplicaState) bool { return s.Reached && s.isPausedFor(term) })
}

// HasAll reports whether the log of a primary that stepped down ends no earlier than that of
// each reached replica. If not, the primary has lost its log.
func HasAll(primary stmt.Status, replicas []ReplicaState) bool {
	for _, s := range replicas {
		if s.Reached && primary.Received.Less(s.position()) {
			return false
		}
	}
	return true
}

// IsCaughtUp reports whether candidate's log contains everything that any reached
// replica received.
func IsCaughtUp(candidate ReplicaState, replicas []ReplicaState) bool {
	for _, s := range replicas {
		if s.Reached && candidate.position().Less(s.position()) {
			return false
		}
	}
	return true
}

// Sample holds the log positions of a service's endpoints at one point in time.
type Sample struct {
	Primary logpos.Pos
	// Replicas holds the positions of the replicas that answered, by id.
	Replicas map[string]logpos.Pos
}

// IsStalled reports whether no replica received anything between two samples although
// each was behind the primary in the first one. It is false if a replica is missing from
// the second sample, or if the first one has none.
func IsStalled(first, second Sample) bool {
	for id, before := range first.Replicas {
		after, ok := second.Replicas[id]
		if !ok || !before.Less(first.Primary) || after != before {
			return false
		}
	}
	return len(first.Replicas) > 0
}
