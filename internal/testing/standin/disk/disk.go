// Package disk keeps what a stand-in endpoint must not forget: its incarnation,
// role and fence, and the log. A Memory disk outlives a killed endpoint inside
// one process; a File disk outlives the process.
package disk

import (
	"slices"
	"sync"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/testing/standin/store"
)

// Meta is the durable state beside the log.
type Meta struct {
	Incarnation string
	Role        endpoint.Role
	// Term is the term in which the endpoint is primary, or whose primary it
	// follows.
	Term       uint64
	FencedTerm uint64
	FencedBy   string
	// Follow is the address of the primary of Term, for a replica.
	Follow string
	// VerifiedTerm is the newest term against whose primary the log was
	// compared, and cut where it diverged.
	VerifiedTerm uint64
}

// Disk stores a Meta and a log. A call returns after its effect is durable.
type Disk interface {
	// Load returns the stored state; Incarnation is empty on an empty disk.
	Load() (Meta, []store.Record, error)
	SaveMeta(Meta) error
	// Append adds records at the end of the log.
	Append([]store.Record) error
	// Truncate keeps the first n records.
	Truncate(n int) error
	// Wipe empties the disk.
	Wipe() error
	// Close releases the disk.
	Close() error
}

// Memory is a Disk in memory. The zero value is empty.
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
