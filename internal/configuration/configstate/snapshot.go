package configstate

import (
	"cmp"
	"fmt"
	"slices"

	"hemlockmast/api/configstate"
	"hemlockmast/api/service"
)

// snapshotFormat is the version of the snapshot's encoding.
const snapshotFormat = 1

// Snapshot returns the encoded state. Equal states give equal bytes. The error
// is always nil.
func (m *Machine) Snapshot() ([]byte, error) {
	state := &configstate.State{
		Format:       snapshotFormat,
		AppliedIndex: m.applied,
		Versions:     m.versions.encode(),
		Changes:      m.changes.order,
	}
	return marshal(state), nil
}

// Restore replaces the state by one that Snapshot encoded. Data that cannot be
// restored gives *SnapshotError and leaves the state as it was.
func (m *Machine) Restore(data []byte) error {
	var state configstate.State
	if err := unmarshal(data, &state); err != nil {
		return &SnapshotError{Detail: err.Error()}
	}
	if state.GetFormat() != snapshotFormat {
		return &SnapshotError{Detail: fmt.Sprintf("format %d is not known", state.GetFormat())}
	}
	versions, err := decodeVersions(state.GetVersions())
	if err != nil {
		return &SnapshotError{Detail: err.Error()}
	}
	changes := newChangeLog()
	for _, change := range state.GetChanges() {
		changes.add(change)
	}
	*m = Machine{applied: state.GetAppliedIndex(), versions: versions, changes: changes}
	return nil
}

func (v *Versions) encode() *configstate.Versions {
	out := &configstate.Versions{
		Revision:        v.revision,
		Floor:           v.floor,
		RemovedGroups:   v.groups.encodeTombstones(),
		RemovedServices: v.services.encodeTombstones(),
	}
	for _, group := range v.groups.values() {
		revision := v.groups.entries[group.GetName()].revision
		out.Groups = append(out.Groups, &configstate.GroupVersion{Revision: revision, Group: group})
	}
	for _, svc := range v.services.values() {
		revision := v.services.entries[svc.GetName()].revision
		out.Services = append(out.Services, &configstate.ServiceVersion{Revision: revision, Service: svc})
	}
	return out
}

func (t *table[T]) encodeTombstones() []*configstate.Removal {
	var out []*configstate.Removal
	for name, revision := range t.tombstones {
		out = append(out, &configstate.Removal{Revision: revision, Name: name})
	}
	slices.SortFunc(out, func(a, b *configstate.Removal) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func decodeVersions(in *configstate.Versions) (*Versions, error) {
	v := NewVersions()
	var groups []*service.Group
	for _, g := range in.GetGroups() {
		groups = append(groups, g.GetGroup())
	}
	var services []*service.Service
	for _, s := range in.GetServices() {
		services = append(services, s.GetService())
	}
	if err := checkNames(groups, services); err != nil {
		return nil, err
	}
	for _, g := range in.GetGroups() {
		v.groups.set(g.GetGroup(), g.GetRevision())
	}
	for _, s := range in.GetServices() {
		v.services.set(s.GetService(), s.GetRevision())
	}
	for _, r := range in.GetRemovedGroups() {
		v.groups.tombstones[r.GetName()] = r.GetRevision()
	}
	for _, r := range in.GetRemovedServices() {
		v.services.tombstones[r.GetName()] = r.GetRevision()
	}
	v.floor = in.GetFloor()
	v.advance(in.GetRevision())
	return v, nil
}
