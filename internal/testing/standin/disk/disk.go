// Package disk stores the durable state of a stand-in endpoint: its incarnation,
// role and fence, and the log. A Memory disk survives Kill of an endpoint within
// one process; a File disk survives the process.
package disk

import (
	"slices"
	"sync"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/testing/standin/store"
)

// Meta is the durable state other than the log.
type Meta struct {
	Incarnation string
	Role        endpoint.Role
	// Term is the term in which the endpoint is primary, or the term of the
	// primary that it follows.
	Term uint64
	// FencedTerm is the highest term that the endpoint granted or followed, and
	// FencedBy the promoter to which it was granted.
	FencedTerm uint64
	FencedBy   string
	// Follow is the address of the primary of Term. It is empty on a primary.
	Follow string
	// VerifiedTerm is the newest term with whose primary's log this log was
	// compared and truncated where it diverged.
	VerifiedTerm uint64
}

// Disk stores a Meta and a log. Each call returns after its effect is durable.
type Disk interface {
	// Load returns the stored state. Incarnation is empty on an empty disk.
	Load() (Meta, []store.Record, error)
	// SaveMeta replaces the Meta.
	SaveMeta(Meta) error
	// Append adds records to the end of the log.
	Append([]store.Record) error
	// Truncate removes all records after the first n.
	Truncate(n int) error
	// Wipe empties the disk.
	Wipe() error
	// Close releases the disk.
	Close() error
}

// Memory is a Disk in memory. Its zero value is an empty disk.
type Memory struct {
	mu   sync.Mutex
	meta Meta
	log  []store.Record
}

// Load implements Disk.
func (m *Memory) Load() (Meta, []store.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meta, slices.Clone(m.log), nil
}

// SaveMeta implements Disk.
func (m *Memory) SaveMeta(meta Meta) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meta = meta
	return nil
}

// Append implements Disk.
func (m *Memory) Append(recs []store.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log = append(m.log, recs...)
	return nil
}

// Truncate implements Disk.
func (m *Memory) Truncate(n int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log = m.log[:min(n, len(m.log))]
	return nil
}

// Close implements Disk.
func (m *Memory) Close() error { return nil }

// Wipe implements Disk.
func (m *Memory) Wipe() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meta, m.log = Meta{}, nil
	return nil
}
