// Package node is the state of one slot's endpoint: role, fence, log and
// committed tables, with the rules of docs/endpoint-contract.md. It has no
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

// Node is one endpoint's state. All methods may be called concurrently; mu is
// taken before the store's lock. A change reaches the disk before it shows.
type Node struct {
	group, slot string
	disk        disk.Disk
	store       *store.Store

	mu      sync.Mutex
	meta    disk.Meta
	log     []store.Record
	applied int         // records of log that the store shows
	arrived []time.Time // when each record from applied on was synced
	changed chan struct{}
}

// incarnationBytes is the length of the random part of an incarnation.
const incarnationBytes = 8

// Open loads the node's state from d. An empty disk becomes a replica in term 0
// under a new incarnation.
func Open(group, slot string, d disk.Disk) (*Node, error) {
	meta, log, err := d.Load()
	if err != nil {
		return nil, err
	}
	n := &Node{group: group, slot: slot, disk: d, store: store.New(),
		meta: meta, log: log, changed: make(chan struct{})}
	if meta.Incarnation == "" {
		next := disk.Meta{Incarnation: newIncarnation()}
		if err := n.save(next); err != nil {
			return nil, err
		}
	}
	n.applyAll()
	// A crash between the steps of a promotion leaves the start of the term out.
	if n.meta.Role == endpoint.RolePrimary && n.last().Term < n.meta.Term {
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

func (n *Node) save(m disk.Meta) error {
	if err := n.disk.SaveMeta(m); err != nil {
		return diskError(err)
	}
	n.meta = m
	n.notify()
	return nil
}

func diskError(err error) error {
	return &sqltext.Error{Code: "58030", Message: err.Error()}
}

func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Node) last() logpos.Pos {
	if len(n.log) == 0 {
		return logpos.Pos{}
	}
	return n.log[len(n.log)-1].Pos
}

func (n *Node) nextRecord(ops []store.Op) store.Record {
	return store.Record{Pos: logpos.Pos{Term: n.meta.Term, Index: uint64(len(n.log)) + 1}, Ops: ops}
}

// appendLocked makes records durable and, on a primary, visible.
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
	n.arrived = nil
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

// Readable reports whether the log is known to hold no divergent tail: a
// replica told to follow a new primary serves reads after it was compared.
func (n *Node) Readable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.meta.Role == endpoint.RolePrimary || n.meta.VerifiedTerm == n.meta.Term
}

// Commit writes one transaction's changes as a record and shows them. A node
// that may not write gives SQLSTATE 25006 and has no effect.
func (n *Node) Commit(ops []store.Op) (logpos.Pos, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.writable() {
		return logpos.Pos{}, ReadOnlyError("COMMIT")
	}
	rec := n.nextRecord(ops)
	return rec.Pos, n.appendLocked([]store.Record{rec})
}

// ReadOnlyError is the refusal of a write.
func ReadOnlyError(command string) error {
	return &sqltext.Error{Code: endpoint.CodeReadOnly,
		Message: "cannot execute " + command + " in a read-only transaction"}
}

// Status returns the node's state and a channel that is closed at its next
// change. Connection counts are left zero.
func (n *Node) Status() (endpoint.Status, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status(), n.changed
}

func (n *Node) status() endpoint.Status {
	s := endpoint.Status{
		Group: n.group, Slot: n.slot, Incarnation: n.meta.Incarnation,
		Role: n.meta.Role, FencedTerm: n.meta.FencedTerm, FencedBy: n.meta.FencedBy,
		Synced: n.last(),
	}
	if n.applied > 0 {
		s.Applied = n.log[n.applied-1].Pos
	}
	return s
}

func (n *Node) refuse(term uint64) error {
	return &endpoint.FencedError{Term: term, FencedTerm: n.meta.FencedTerm, FencedBy: n.meta.FencedBy}
}

// Fence grants term to promoter; see endpoint.Controller.
func (n *Node) Fence(term uint64, promoter string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term == n.meta.FencedTerm && promoter == n.meta.FencedBy && promoter != "" {
		return nil
	}
	if term <= n.meta.FencedTerm || promoter == "" {
		return n.refuse(term)
	}
	m := n.meta
	m.FencedTerm, m.FencedBy = term, promoter
	return n.save(m)
}

// Promote makes the node primary of a term that it granted to promoter. A node
// that already follows another primary of the term refuses.
func (n *Node) Promote(term uint64, promoter string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term == 0 || term != n.meta.FencedTerm || promoter != n.meta.FencedBy || promoter == "" {
		return n.refuse(term)
	}
	if n.meta.Term == term {
		if n.meta.Role == endpoint.RolePrimary {
			return nil
		}
		return n.refuse(term)
	}
	n.applyAll()
	m := n.meta
	m.Role, m.Term, m.Follow, m.VerifiedTerm = endpoint.RolePrimary, term, "", term
	if err := n.save(m); err != nil {
		return err
	}
	return n.appendLocked([]store.Record{n.nextRecord(nil)})
}

// Follow makes the node a replica of the primary of term at addr. The primary
// of that same term refuses.
func (n *Node) Follow(term uint64, addr string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	same := n.meta.Term == term
	if term == 0 || term < n.meta.FencedTerm || same && n.meta.Role == endpoint.RolePrimary {
		return n.refuse(term)
	}
	if same && n.meta.Follow == addr {
		return nil
	}
	m := n.meta
	if term > m.FencedTerm {
		m.FencedTerm, m.FencedBy = term, ""
	}
	m.Role, m.Term, m.Follow = endpoint.RoleReplica, term, addr
	return n.save(m)
}

// Target returns the primary that a replica should copy from, and a channel
// that is closed at the node's next change. The address is empty when there is
// none, or when a fence stops the term.
func (n *Node) Target() (term uint64, addr string, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.following(n.meta.Term) {
		addr = n.meta.Follow
	}
	return n.meta.Term, addr, n.changed
}

// following reports whether records of the primary of term may be taken.
func (n *Node) following(term uint64) bool {
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
