package configstate

import (
	"fmt"

	"hemlockmast/api/configstate"
	"hemlockmast/api/service"
)

// Versions is a configuration that knows which revision last changed each
// entry. It gives deltas from any revision at or above its floor, without
// keeping the revisions between. It is not safe for concurrent use; the
// configurations that it returns are shared and must not be changed.
type Versions struct {
	revision uint64
	floor    uint64
	groups   table[*service.Group]
	services table[*service.Service]
	// current is the configuration of revision.
	current *service.Configuration
}

// NewVersions returns an empty configuration of revision 0.
func NewVersions() *Versions {
	return &Versions{
		groups:   newTable[*service.Group](),
		services: newTable[*service.Service](),
		current:  &service.Configuration{},
	}
}

// Revision returns the present revision.
func (v *Versions) Revision() uint64 { return v.revision }

// Configuration returns the present configuration.
func (v *Versions) Configuration() *service.Configuration { return v.current }

// Replace makes cfg's content the next revision. Without a difference it
// changes nothing and returns false.
func (v *Versions) Replace(cfg *service.Configuration) bool {
	if !v.groups.differs(cfg.Groups) && !v.services.differs(cfg.Services) {
		return false
	}
	next := v.revision + 1
	v.groups.replace(cfg.Groups, next)
	v.services.replace(cfg.Services, next)
	v.advance(next)
	return true
}

// advance completes a change to revision.
func (v *Versions) advance(revision uint64) {
	v.revision = revision
	v.floor = max(v.floor, v.groups.trim(), v.services.trim())
	v.current = &service.Configuration{
		Revision: revision,
		Groups:   v.groups.values(),
		Services: v.services.values(),
	}
}

// Since returns what brings a follower at revision to the present one, or nil
// when the follower is there or ahead.
func (v *Versions) Since(revision uint64) *configstate.Update {
	if revision >= v.revision {
		return nil
	}
	if revision == 0 || revision < v.floor {
		return &configstate.Update{Kind: &configstate.Update_Snapshot{Snapshot: v.current}}
	}
	return &configstate.Update{Kind: &configstate.Update_Delta{Delta: &configstate.Delta{
		FromRevision:    revision,
		ToRevision:      v.revision,
		Groups:          v.groups.changed(revision),
		Services:        v.services.changed(revision),
		RemovedGroups:   v.groups.removals(revision),
		RemovedServices: v.services.removals(revision),
	}}}
}

// Apply brings the configuration to the update's revision. It returns false
// when that is not later than the present one. An update that cannot be used
// gives *GapError or *UpdateError and changes nothing.
func (v *Versions) Apply(update *configstate.Update) (bool, error) {
	switch kind := update.GetKind().(type) {
	case *configstate.Update_Delta:
		return v.applyDelta(kind.Delta)
	case *configstate.Update_Snapshot:
		return v.applySnapshot(kind.Snapshot)
	}
	return false, &UpdateError{Detail: "neither a delta nor a snapshot"}
}

func (v *Versions) applyDelta(delta *configstate.Delta) (bool, error) {
	if delta.GetToRevision() <= v.revision {
		return false, nil
	}
	if delta.GetFromRevision() > v.revision {
		return false, &GapError{Revision: v.revision, From: delta.GetFromRevision()}
	}
	if err := checkNames(delta.GetGroups(), delta.GetServices()); err != nil {
		return false, err
	}
	next := delta.GetToRevision()
	for _, group := range delta.GetGroups() {
		v.groups.set(group, next)
	}
	for _, svc := range delta.GetServices() {
		v.services.set(svc, next)
	}
	for _, name := range delta.GetRemovedGroups() {
		v.groups.remove(name, next)
	}
	for _, name := range delta.GetRemovedServices() {
		v.services.remove(name, next)
	}
	v.advance(next)
	return true, nil
}

// applySnapshot cannot tell which revision changed an entry, so that deltas
// start from the snapshot's revision.
func (v *Versions) applySnapshot(cfg *service.Configuration) (bool, error) {
	if cfg.GetRevision() <= v.revision {
		return false, nil
	}
	if err := checkNames(cfg.GetGroups(), cfg.GetServices()); err != nil {
		return false, err
	}
	next := cfg.GetRevision()
	v.groups = newTable[*service.Group]()
	v.services = newTable[*service.Service]()
	v.groups.replace(cfg.GetGroups(), next)
	v.services.replace(cfg.GetServices(), next)
	v.floor = next
	v.advance(next)
	return true, nil
}

// checkNames refuses entries without a name and names used twice.
func checkNames(groups []*service.Group, services []*service.Service) error {
	if err := checkUnique(groups); err != nil {
		return err
	}
	return checkUnique(services)
}

func checkUnique[T entry](values []T) error {
	seen := make(map[string]bool, len(values))
	for _, value := range values {
		name := value.GetName()
		if name == "" || seen[name] {
			return &UpdateError{Detail: fmt.Sprintf("name %q is empty or used twice", name)}
		}
		seen[name] = true
	}
	return nil
}
