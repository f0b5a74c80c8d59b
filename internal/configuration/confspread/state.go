package confspread

import (
	"sync"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/configstate"
)

// StateMachine is the configuration state machine of a control process. It is safe
// for concurrent use: the replicated log applies commands while the servers
// read.
type StateMachine struct {
	// mu guards the fields below. No other lock is taken while it is held.
	mu      sync.Mutex
	machine *configstate.Machine
	changed chan struct{}
	// cachedUpdate is the latest update that was built, from revision cachedFrom
	// to cachedTo. Many relays ask for the same update at once.
	cachedUpdate *configpb.Update
	cachedFrom   uint64
	cachedTo     uint64
}

// NewStateMachine returns the state machine before its first command.
func NewStateMachine() *StateMachine {
	return &StateMachine{machine: configstate.New(), changed: make(chan struct{})}
}

// Apply applies a command of the replicated log; see configstate.Machine.Apply.
func (p *StateMachine) Apply(index uint64, cmd []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.machine.Versions().Revision()
	result := p.machine.Apply(index, cmd)
	if p.machine.Versions().Revision() != before {
		p.notifyChanged()
	}
	return result
}

// Snapshot returns the encoded state.
func (p *StateMachine) Snapshot() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Snapshot()
}

// Restore replaces the state; see configstate.Machine.Restore.
func (p *StateMachine) Restore(data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.machine.Restore(data); err != nil {
		return err
	}
	p.cachedUpdate = nil
	p.notifyChanged()
	return nil
}

// notifyChanged wakes everyone who waits for a change. mu must be held.
func (p *StateMachine) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// current returns the configuration, the change that made it, and a channel
// that is closed at the next change.
func (p *StateMachine) current() (*service.Configuration, *configpb.Change, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Versions().Configuration(), p.machine.LastChange(), p.changed
}

// updateSince returns the current revision and the update that brings a follower
// at the given revision to it.
func (p *StateMachine) updateSince(revision uint64) (uint64, *configpb.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.machine.Versions()
	if p.cachedUpdate == nil || p.cachedFrom != revision || p.cachedTo != versions.Revision() {
		p.cachedUpdate = versions.UpdateSince(revision)
		p.cachedFrom, p.cachedTo = revision, versions.Revision()
	}
	return versions.Revision(), p.cachedUpdate
}
