// Package node implements the state of one slot's endpoint: role, fence, log and
// committed tables. It follows the rules of docs/endpoint-contract.md, uses no
// network and reads no clock.
package node

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/testing/standin/disk"
	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

// Node is the state of one endpoint. All methods may be called concurrently; mu
// is acquired before the store's lock. A change is written to the disk before it
// becomes visible. Errors are *sqltext.Error or *endpoint.FencedError.
type Node struct {
	group, slot string
	disk        disk.Disk
	store       *store.Store

	mu       sync.Mutex
	meta     disk.Meta
	log      []store.Record
	applied  int           // number of log records that the store has applied
	syncedAt []time.Time   // when each record after the first applied ones was synced
	changed  chan struct{} // closed at the next change
}

// incarnationBytes is the number of random bytes in an incarnation.
const incarnationBytes = 8

// Open loads the node's state from d. With an empty disk the node is a replica in
// term 0 with a new incarnation.
func Open(group, slot string, d disk.Disk) (*Node, error) {
	meta, log, err := d.Load()
	if err != nil {
		return nil, err
	}
	n := &Node{group: group, slot: slot, disk: d, store: store.New(),
		meta: meta, log: log, changed: make(chan struct{})}
	if meta.Incarnation == "" {
		initial := disk.Meta{Incarnation: newIncarnation()}
		if err := n.saveMeta(initial); err != nil {
			return nil, err
		}
	}
	n.applyAll()
	// A crash between the two steps of a promotion leaves the log without the
	// record that starts the term.
	if n.meta.Role == endpoint.RolePrimary && n.lastPos().Term < n.meta.Term {
		return n, n.appendLocked([]store.Record{n.nextRecord(nil)})
	}
	return n, nil
}

func newIncarnation() string {
	b := make([]byte, incarnationBytes)
	rand.Read(b) // never fails, as crypto/rand documents
	return hex.EncodeToString(b)
}

// Store returns the committed tables.
func (n *Node) Store() *store.Store { return n.store }

// saveMeta writes m to the disk and makes it the current state. It is called with
// n.mu held.
func (n *Node) saveMeta(m disk.Meta) error {
	if err := n.disk.SaveMeta(m); err != nil {
		return diskError(err)
	}
	n.meta = m
	n.notify()
	return nil
}

// diskError returns the error for a failed disk, with SQLSTATE io_error.
func diskError(err error) error {
	return &sqltext.Error{Code: "58030", Message: err.Error()}
}

func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Node) lastPos() logpos.Pos {
	if len(n.log) == 0 {
		return logpos.Pos{}
	}
	return n.log[len(n.log)-1].Pos
}

func (n *Node) nextRecord(ops []store.Op) store.Record {
	return store.Record{Pos: logpos.Pos{Term: n.meta.Term, Index: uint64(len(n.log)) + 1}, Ops: ops}
}

// appendLocked makes records durable and, on a primary, visible. It is called
// with n.mu held.
func (n *Node) appendLocked(recs []store.Record) error {
	if err := n.disk.Append(recs); err != nil {
		return diskError(err)
	}
	n.log = append(n.log, recs...)
	if n.meta.Role == endpoint.RolePrimary {
		n.applyAll()
	}
	n.notify()
	return nil
}

func (n *Node) applyAll() {
	for ; n.applied < len(n.log); n.applied++ {
		n.store.Apply(n.log[n.applied])
	}
	n.syncedAt = nil
}

func (n *Node) writable() bool {
	return n.meta.Role == endpoint.RolePrimary && n.meta.FencedTerm <= n.meta.Term
}

// Writable reports whether the endpoint accepts writes.
func (n *Node) Writable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.writable()
}

// Readable reports whether the log is known to have no divergent tail. A replica
// that follows a new primary serves reads only after its log was compared with
// the primary's.
func (n *Node) Readable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.meta.Role == endpoint.RolePrimary || n.meta.VerifiedTerm == n.meta.Term
}

// Commit writes one transaction's changes as a record and makes them visible. On
// a node that is not writable it has no effect and returns SQLSTATE 25006.
func (n *Node) Commit(ops []store.Op) (logpos.Pos, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.writable() {
		return logpos.Pos{}, ReadOnlyError("COMMIT")
	}
	rec := n.nextRecord(ops)
	return rec.Pos, n.appendLocked([]store.Record{rec})
}

// ReadOnlyError returns the error for a write that is not allowed.
func ReadOnlyError(command string) error {
	return &sqltext.Error{Code: endpoint.CodeReadOnly,
		Message: "cannot execute " + command + " in a read-only transaction"}
}

// Status returns the node's state and a channel that is closed at its next
// change. The connection counts are zero.
func (n *Node) Status() (endpoint.Status, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status(), n.changed
}

func (n *Node) status() endpoint.Status {
	s := endpoint.Status{
		Group: n.group, Slot: n.slot, Incarnation: n.meta.Incarnation,
		Role: n.meta.Role, FencedTerm: n.meta.FencedTerm, FencedBy: n.meta.FencedBy,
		Synced: n.lastPos(),
	}
	if n.applied > 0 {
		s.Applied = n.log[n.applied-1].Pos
	}
	return s
}

func (n *Node) fencedError(term uint64) error {
	return &endpoint.FencedError{Term: term, FencedTerm: n.meta.FencedTerm, FencedBy: n.meta.FencedBy}
}

// Fence grants term to promoter; see endpoint.Controller. Fencing again with the
// same term and promoter succeeds.
func (n *Node) Fence(term uint64, promoter string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term == n.meta.FencedTerm && promoter == n.meta.FencedBy && promoter != "" {
		return nil
	}
	if term <= n.meta.FencedTerm || promoter == "" {
		return n.fencedError(term)
	}
	m := n.meta
	m.FencedTerm, m.FencedBy = term, promoter
	return n.saveMeta(m)
}

// Promote makes the node the primary of a term that it granted to promoter. It
// fails on a node that already follows another primary of the term.
func (n *Node) Promote(term uint64, promoter string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term == 0 || term != n.meta.FencedTerm || promoter != n.meta.FencedBy || promoter == "" {
		return n.fencedError(term)
	}
	if n.meta.Term == term {
		if n.meta.Role == endpoint.RolePrimary {
			return nil
		}
		return n.fencedError(term)
	}
	n.applyAll()
	m := n.meta
	m.Role, m.Term, m.Follow, m.VerifiedTerm = endpoint.RolePrimary, term, "", term
	if err := n.saveMeta(m); err != nil {
		return err
	}
	return n.appendLocked([]store.Record{n.nextRecord(nil)})
}

// Follow makes the node a replica of the primary of term at addr. It fails on
// the primary of the same term, and for a term below the fence.
func (n *Node) Follow(term uint64, addr string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	sameTerm := n.meta.Term == term
	if term == 0 || term < n.meta.FencedTerm || sameTerm && n.meta.Role == endpoint.RolePrimary {
		return n.fencedError(term)
	}
	if sameTerm && n.meta.Follow == addr {
		return nil
	}
	m := n.meta
	if term > m.FencedTerm {
		m.FencedTerm, m.FencedBy = term, ""
	}
	m.Role, m.Term, m.Follow = endpoint.RoleReplica, term, addr
	return n.saveMeta(m)
}

// Upstream returns the term and address of the primary from which a replica
// copies its log, and a channel that is closed at the node's next change. The
// address is empty if there is no such primary or its term is fenced off.
func (n *Node) Upstream() (term uint64, addr string, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isFollowing(n.meta.Term) {
		addr = n.meta.Follow
	}
	return n.meta.Term, addr, n.changed
}

// isFollowing reports whether the node accepts records from the primary of term.
func (n *Node) isFollowing(term uint64) bool {
	return n.meta.Role == endpoint.RoleReplica && n.meta.Term == term && n.meta.FencedTerm <= term
}

// History returns, for each term in the log, the position of its last record.
func (n *Node) History() []logpos.Pos {
	n.mu.Lock()
	defer n.mu.Unlock()
	return history(n.log)
}

func history(log []store.Record) []logpos.Pos {
	var out []logpos.Pos
	for i := len(log); i > 0; {
		end := log[i-1].Pos
		out = append(out, end)
		i, _ = slices.BinarySearchFunc(log[:i], end.Term, func(r store.Record, term uint64) int {
			if r.Pos.Term < term {
				return -1
			}
			return 1
		})
	}
	slices.Reverse(out)
	return out
}
