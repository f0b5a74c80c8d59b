package configstate

import (
	"fmt"

	"hemlockmast/api/configstate"
	"hemlockmast/api/service"
)

// Versions is a configuration with, for each entry, the revision that last
// changed it. From these it builds deltas without keeping older revisions. It
// is not safe for concurrent use. The configurations that it returns are shared
// and must not be modified.
type Versions struct {
	revision uint64
	// floor is the lowest revision from which a delta can be built.
	floor    uint64
	groups   table[*service.Group]
	services table[*service.Service]
	// current is the configuration of revision.
	current *service.Configuration
}

// NewVersions returns an empty configuration at revision 0.
func NewVersions() *Versions {
	return &Versions{
		groups:   newTable[*service.Group](),
		services: newTable[*service.Service](),
		current:  &service.Configuration{},
	}
}

// Revision returns the current revision.
func (v *Versions) Revision() uint64 { return v.revision }

// Configuration returns the configuration of the current revision.
func (v *Versions) Configuration() *service.Configuration { return v.current }

// Replace makes the content of cfg the next revision. It returns false and
// makes no revision when the content is equal to the current one.
func (v *Versions) Replace(cfg *service.Configuration) bool {
	if !v.groups.differsFrom(cfg.Groups) && !v.services.differsFrom(cfg.Services) {
		return false
	}
	next := v.revision + 1
	v.groups.replace(cfg.Groups, next)
	v.services.replace(cfg.Services, next)
	v.advance(next)
	return true
}

// advance sets the revision, prunes tombstones, raises the floor and rebuilds
// the current configuration.
func (v *Versions) advance(revision uint64) {
	v.revision = revision
	v.floor = max(v.floor, v.groups.pruneTombstones(), v.services.pruneTombstones())
	v.current = &service.Configuration{
		Revision: revision,
		Groups:   v.groups.values(),
		Services: v.services.values(),
	}
}

// UpdateSince returns the update that brings a follower at the given revision to
// the current one. It returns nil when the follower is at that revision or a
// later one.
func (v *Versions) UpdateSince(revision uint64) *configstate.Update {
	if revision >= v.revision {
		return nil
	}
	if revision == 0 || revision < v.floor {
		return &configstate.Update{Kind: &configstate.Update_Snapshot{Snapshot: v.current}}
	}
	return &configstate.Update{Kind: &configstate.Update_Delta{Delta: &configstate.Delta{
		FromRevision:    revision,
		ToRevision:      v.revision,
		Groups:          v.groups.changedAfter(revision),
		Services:        v.services.changedAfter(revision),
		RemovedGroups:   v.groups.removedAfter(revision),
		RemovedServices: v.services.removedAfter(revision),
	}}}
}

// Apply brings the configuration to the update's revision. It returns false
// when that revision is not later than the current one. An update that cannot
// be applied gives *GapError or *UpdateError and has no effect.
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

// applySnapshot replaces all entries. A snapshot does not tell which revision
// changed an entry, so the floor rises to the snapshot's revision.
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

// checkNames returns *UpdateError for an entry without a name and for a name
// that is used twice within groups or within services.
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
