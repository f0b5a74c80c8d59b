package node

import (
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

// streamError returns the error with which a node ends a replication stream.
func streamError(reason string) error {
	return &sqltext.Error{Code: endpoint.CodeFenced, Message: reason}
}

// CommonLength returns the number of records that this log shares with the log of
// a follower with the given history. Each term has one primary, which writes the
// term's records without a gap, so two logs that share a position are equal up to
// it.
func (n *Node) CommonLength(follower []logpos.Pos) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	mine := history(n.log)
	common := uint64(0)
	for _, f := range follower {
		for _, m := range mine {
			if m.Term == f.Term {
				common = max(common, min(m.Index, f.Index))
			}
		}
	}
	return int(common)
}

// Read returns at most limit records for a follower that has the first from
// records, and a channel that is closed at the node's next change. It fails
// unless the node is the primary of term and not fenced.
func (n *Node) Read(term uint64, from, limit int) ([]store.Record, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.writable() || n.meta.Term != term {
		return nil, nil, streamError("not the primary of the term")
	}
	if from > len(n.log) {
		return nil, nil, streamError("the follower is ahead of the primary's log")
	}
	end := min(len(n.log), from+limit)
	return n.log[from:end:end], n.changed, nil
}

// Rewind truncates the log to its first keep records, those that it shares with
// the primary of term. It fails if the node no longer follows that primary.
func (n *Node) Rewind(term uint64, keep int) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isFollowing(term) || keep < 0 || keep > len(n.log) {
		return streamError("replication from a term that is no longer followed")
	}
	if keep < len(n.log) {
		if err := n.truncate(keep); err != nil {
			return err
		}
	}
	if n.meta.VerifiedTerm == term {
		return nil
	}
	m := n.meta
	m.VerifiedTerm = term
	return n.saveMeta(m)
}

func (n *Node) truncate(keep int) error {
	if err := n.disk.Truncate(keep); err != nil {
		return diskError(err)
	}
	n.log = n.log[:keep:keep]
	if n.applied > keep {
		n.store.Rebuild(n.log)
		n.applied = keep
	}
	n.syncedAt = n.syncedAt[:len(n.log)-n.applied]
	n.notify()
	return nil
}

// Receive appends records from the primary of term. now is the time at which they
// were synced. It fails if the records do not continue the log.
func (n *Node) Receive(term uint64, recs []store.Record, now time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isFollowing(term) || n.meta.VerifiedTerm != term {
		return streamError("replication from a term that is no longer followed")
	}
	lastPos := n.lastPos()
	for _, r := range recs {
		if r.Pos.Index != lastPos.Index+1 || r.Pos.Term < lastPos.Term || r.Pos.Term > term {
			return streamError("record " + r.Pos.String() + " does not follow " + lastPos.String())
		}
		lastPos = r.Pos
	}
	if err := n.appendLocked(recs); err != nil {
		return err
	}
	for range recs {
		n.syncedAt = append(n.syncedAt, now)
	}
	return nil
}

// Apply makes the records visible that were synced at or before until. It returns
// the time at which the next record was synced, or the zero time if none is left,
// and a channel that is closed at the node's next change.
func (n *Node) Apply(until time.Time) (next time.Time, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.applied
	for n.applied < len(n.log) && !n.syncedAt[0].After(until) {
		n.store.Apply(n.log[n.applied])
		n.applied++
		n.syncedAt = n.syncedAt[1:]
	}
	if n.applied != before {
		n.notify()
	}
	if n.applied < len(n.log) {
		next = n.syncedAt[0]
	}
	return next, n.changed
}
