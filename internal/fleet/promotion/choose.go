// Package promotion replaces the primary of a service whose endpoints replicate
// semi-synchronously and are promoted by the platform.
//
// A promotion never loses an acknowledged commit, for these reasons:
//
//   - An acknowledged commit is in the log of the primary and of at least one
//     synchronous replica. A paused replica receives nothing.
//   - If every replica but one is paused and that one holds what the others hold,
//     its log contains every acknowledged commit, and no later commit is acknowledged
//     before it is in this log. It can be promoted while the old primary still serves.
//   - If the old primary stepped down, no further commit is acknowledged, and its log
//     contains every acknowledged commit. A replica that has received all of it can be
//     promoted, or else the old primary itself.
//   - If all replicas are paused, no further commit is acknowledged, and the most
//     up-to-date log among them contains every acknowledged commit. The old primary
//     need not answer for this.
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
	// Dead means that the endpoint's process is known to have stopped well before the
	// primary. The other replicas are then assumed to have received everything that its
	// log holds.
	Dead bool
	// Paused means that the endpoint receives nothing from the primary.
	Paused bool
	Status stmt.Status
}

// position returns the end of the received log. Positions compare by term, then by
// index.
func (s ReplicaState) position() logpos.Pos {
	return logpos.Pos{Term: s.Status.Received.Term, Index: s.Status.Received.Index}
}

// NextTerm returns a term higher than any term that a replica has seen.
func NextTerm(replicas []ReplicaState) uint64 {
	var term uint64
	for _, s := range replicas {
		term = max(term, s.Status.Term, s.Status.PausedTerm, s.Status.Received.Term)
	}
	return term + 1
}

// MostUpToDate returns the reached replica with the most up-to-date log. Among equal
// logs it prefers a replica that is not leaving, then the lowest id, so that a retry
// chooses the same one. ok is false if no replica was reached.
func MostUpToDate(replicas []ReplicaState) (latest ReplicaState, ok bool) {
	reached := slices.DeleteFunc(slices.Clone(replicas), func(s ReplicaState) bool { return !s.Reached })
	if len(reached) == 0 {
		return ReplicaState{}, false
	}
	return slices.MaxFunc(reached, func(a, b ReplicaState) int {
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
// preferred one if it was reached and is not leaving, otherwise the most up-to-date
// one that is not leaving. ok is false if there is none.
func Successor(replicas []ReplicaState, preferred string) (ReplicaState, bool) {
	staying := slices.DeleteFunc(slices.Clone(replicas), func(s ReplicaState) bool { return s.Leaving })
	i := slices.IndexFunc(staying, func(s ReplicaState) bool { return s.ID == preferred && s.Reached })
	if i >= 0 {
		return staying[i], true
	}
	return MostUpToDate(staying)
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
func CurrentPrimary(replicas []ReplicaState) (id string, ok bool) {
	for _, s := range replicas {
		if s.Reached && s.Status.Role == stmt.Primary {
			return s.ID, true
		}
	}
	return "", false
}

// AllPaused reports whether no replica other than except can receive a commit: each is
// paused or dead.
func AllPaused(replicas []ReplicaState, except string) bool {
	for _, s := range replicas {
		if s.ID != except && !s.Paused && !s.Dead {
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
