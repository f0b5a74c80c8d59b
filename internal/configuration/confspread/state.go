package confspread

import (
	"sync"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/configstate"
)

// Published is the state machine of a control process. It is safe for
// concurrent use: the agreement runner applies commands, the listeners read.
type Published struct {
	// mu guards the fields below; nothing else is locked under it.
	mu      sync.Mutex
	machine *configstate.Machine
	changed chan struct{}
	// memo is the latest update made, which many callers ask for at once.
	memo     *configpb.Update
	memoFrom uint64
	memoTo   uint64
}

// NewPublished returns the state before the first command.
func NewPublished() *Published {
	return &Published{machine: configstate.New(), changed: make(chan struct{})}
}

// Apply runs a command of the replicated log; see configstate.Machine.
func (p *Published) Apply(index uint64, cmd []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.machine.Versions().Revision()
	result := p.machine.Apply(index, cmd)
	if p.machine.Versions().Revision() != before {
		p.notify()
	}
	return result
}

// Snapshot returns the encoded state.
func (p *Published) Snapshot() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Snapshot()
}

// Restore replaces the state; see configstate.Machine.
func (p *Published) Restore(data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.machine.Restore(data); err != nil {
		return err
	}
	p.memo = nil
	p.notify()
	return nil
}

// notify must be called with mu held.
func (p *Published) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// current returns the configuration, the change that made it, and a channel
// that is closed at the next change.
func (p *Published) current() (*service.Configuration, *configpb.Change, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Versions().Configuration(), p.machine.LastChange(), p.changed
}

// since returns the present revision and the update from revision to it.
func (p *Published) since(revision uint64) (uint64, *configpb.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.machine.Versions()
	if p.memo == nil || p.memoFrom != revision || p.memoTo != versions.Revision() {
		p.memo = versions.UpdateSince(revision)
		p.memoFrom, p.memoTo = revision, versions.Revision()
	}
	return versions.Revision(), p.memo
}
