package node

import (
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

// stopped is the refusal to serve or take replication.
func stopped(why string) error {
	return &sqltext.Error{Code: endpoint.CodeFenced, Message: why}
}

// CommonLength returns how many records a follower with the given history
// shares with this log. A term has one primary, which writes it from one
// position on: logs that share a position share everything before it.
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

// Read returns up to limit records after the first from, for a follower, and a
// channel that is closed at the node's next change. It refuses unless the node
// is the primary of term and not fenced.
func (n *Node) Read(term uint64, from, limit int) ([]store.Record, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.writable() || n.meta.Term != term {
		return nil, nil, stopped("not the primary of the term")
	}
	if from > len(n.log) {
		return nil, nil, stopped("the follower is ahead of the primary's log")
	}
	end := min(len(n.log), from+limit)
	return n.log[from:end:end], n.changed, nil
}

// Rewind cuts the log to its first keep records, which it shares with the
// primary of term. It refuses when the term is no longer followed.
func (n *Node) Rewind(term uint64, keep int) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.following(term) || keep < 0 || keep > len(n.log) {
		return stopped("replication from a term that is no longer followed")
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
	return n.save(m)
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
	n.arrived = n.arrived[:len(n.log)-n.applied]
	n.notify()
	return nil
}

// Receive appends records from the primary of term; now is kept as the time at
// which they were synced. Records that do not follow the log are refused.
func (n *Node) Receive(term uint64, recs []store.Record, now time.Time) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.following(term) || n.meta.VerifiedTerm != term {
		return stopped("replication from a term that is no longer followed")
	}
	last := n.last()
	for _, r := range recs {
		if r.Pos.Index != last.Index+1 || r.Pos.Term < last.Term || r.Pos.Term > term {
			return stopped("record " + r.Pos.String() + " does not follow " + last.String())
		}
		last = r.Pos
	}
	if err := n.appendLocked(recs); err != nil {
		return err
	}
	for range recs {
		n.arrived = append(n.arrived, now)
	}
	return nil
}

// Apply shows the records that were synced at or before until. It returns the
// time at which the next one was synced, or zero when none is left, and a
// channel that is closed at the node's next change.
func (n *Node) Apply(until time.Time) (next time.Time, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.applied
	for n.applied < len(n.log) && !n.arrived[0].After(until) {
		n.store.Apply(n.log[n.applied])
		n.applied++
		n.arrived = n.arrived[1:]
	}
	if n.applied != before {
		n.notify()
	}
	if n.applied < len(n.log) {
		next = n.arrived[0]
	}
	return next, n.changed
}
