// Package fleetstate implements the replicated state of the control group: the
// configuration, the primary and the last fencing token of each service, and the
// announced endpoints.
package fleetstate

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/registry"
	"hemlockmast/internal/shared/packed"
)

// Machine is the replicated state machine. Apply, Snapshot and Restore must be called from
// one goroutine. The other methods are safe for concurrent use.
type Machine struct {
	// onChange is called after each applied command that followers must learn of and after
	// Restore, without mu held.
	onChange func()
	// OnIgnored, if not nil, is called for each record of an endpoint that another version
	// accepted and this one ignores. It must be set before the first call of Apply or Restore,
	// and must not call methods of the machine.
	OnIgnored func(err error)

	// mu guards the fields below.
	mu        sync.Mutex
	config    *fleetpb.PutConfiguration
	primaries map[string]*fleetpb.Primary
	// endpoints are part of the replicated state so that they survive a restart of all
	// control daemons and entries need not wait for the next announcements.
	endpoints *registry.Table
	// covered holds, by endpoint, the start of its last process that ended and whose log no
	// promotion needs, in Unix milliseconds.
	covered map[endpoint]int64
	// restarted holds, by endpoint, the start of a process before which others of the endpoint
	// ended that are not covered. It may have started without their log.
	restarted map[endpoint]int64
	// attempts holds, by service, what is agreed on about attempts to replace its primary.
	attempts map[string]*fleetpb.Attempt
}

// endpoint identifies an endpoint: announcements of another writer may have the same id and another
// service. An empty service, as recorded by earlier versions, stands for all services.
type endpoint struct{ service, id string }

// New returns a machine with an empty state. onChange is called after each applied command
// that changes the configuration, a primary or an endpoint, and after Restore; it may be nil.
func New(onChange func()) *Machine {
	if onChange == nil {
		onChange = func() {}
	}
	return &Machine{
		onChange: onChange, primaries: make(map[string]*fleetpb.Primary), endpoints: registry.NewTable(),
		covered: make(map[endpoint]int64), restarted: make(map[endpoint]int64), attempts: make(map[string]*fleetpb.Attempt),
	}
}

// Encode returns the encoded command for Apply. It compresses large commands. Errors:
// those of proto and of packed.
func Encode(cmd *fleetpb.Command) ([]byte, error) {
	if proto.Size(cmd) < packed.MinSize {
		return proto.Marshal(cmd)
	}
	data, err := packed.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&fleetpb.Command{Kind: &fleetpb.Command_Packed{Packed: data}})
}

// decode reverses Encode.
func decode(data []byte) (*fleetpb.Command, error) {
	cmd := &fleetpb.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil || cmd.GetPacked() == nil {
		return cmd, err
	}
	inner := &fleetpb.Command{}
	return inner, packed.Unmarshal(cmd.GetPacked(), inner)
}

// Apply implements control.StateMachine and returns an encoded CommandResult. All members
// ignore a command that cannot be decoded; its result is nil.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	cmd, err := decode(data)
	if err != nil {
		return nil
	}
	result := m.applyCommand(cmd)
	if isVisible(cmd) {
		m.onChange()
	}
	encoded, err := proto.Marshal(result)
	if err != nil {
		// Not reached: Marshal fails only on strings that are not UTF-8, and a result has no
		// strings.
		return nil
	}
	return encoded
}

// isVisible reports whether a command changes what followers are told.
func isVisible(cmd *fleetpb.Command) bool {
	switch kind := cmd.Kind.(type) {
	case *fleetpb.Command_RecordCall:
		return kind.RecordCall.GetCloseAcknowledgements()
	case *fleetpb.Command_RecordStepDown, *fleetpb.Command_Cover:
		return false
	}
	return true
}

func (m *Machine) applyCommand(cmd *fleetpb.Command) *fleetpb.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := &fleetpb.CommandResult{}
	switch kind := cmd.Kind.(type) {
	case *fleetpb.Command_PutConfiguration:
		result.Taken = m.putConfiguration(kind.PutConfiguration)
	case *fleetpb.Command_AllocateToken:
		result.Token = m.allocateToken(kind.AllocateToken)
		result.Taken = true
	case *fleetpb.Command_SetPrimary:
		result.Taken = m.setPrimary(kind.SetPrimary)
	case *fleetpb.Command_Announce:
		result.Taken = m.announce(kind.Announce)
	case *fleetpb.Command_Cover:
		m.cover(kind.Cover)
		result.Taken = true
	case *fleetpb.Command_RecordStepDown:
		result.Taken = m.recordStepDown(kind.RecordStepDown)
	case *fleetpb.Command_RecordCall:
		result.Taken = m.recordCall(kind.RecordCall)
	case *fleetpb.Command_RecordSuccessor:
		result.Taken = m.recordSuccessor(kind.RecordSuccessor)
	case *fleetpb.Command_CloseAttempt:
		result.Taken = m.closeAttempt(kind.CloseAttempt)
	}
	result.Version = m.config.GetConfiguration().GetVersion()
	return result
}

// announce records an endpoint and reports whether its record changed.
func (m *Machine) announce(e *fleetpb.Endpoint) bool {
	held := m.endpoints.Newest(e.Id, e.Service)
	changed, ok := m.merge(e)
	if !ok {
		return false
	}
	if held != nil && held.BornMs < e.BornMs && m.coveredBornMs(e.Service, e.Id) < held.BornMs {
		m.restarted[endpoint{service: e.Service, id: e.Id}] = e.BornMs
	}
	return changed
}

// coveredBornMs returns the start of the last process of an endpoint that is covered, or 0.
func (m *Machine) coveredBornMs(service, id string) int64 {
	return max(m.covered[endpoint{service: service, id: id}], m.covered[endpoint{id: id}])
}

// merge adds a record to the endpoints and reports whether it changed them. It ignores a
// record that this version refuses, and ok is then false.
func (m *Machine) merge(e *fleetpb.Endpoint) (changed, ok bool) {
	if err := registry.Check(e); err != nil {
		if m.OnIgnored != nil {
			m.OnIgnored(err)
		}
		return false, false
	}
	return !m.endpoints.Merge(e).IsEmpty(), true
}

// putConfiguration replaces the configuration if the version is higher than the current
// one. Otherwise it changes nothing, even if the content differs.
func (m *Machine) putConfiguration(put *fleetpb.PutConfiguration) bool {
	if put.GetConfiguration().GetVersion() <= m.config.GetConfiguration().GetVersion() {
		return false
	}
	m.config = put
	m.endpoints.SetServices(put.GetConfiguration().GetServices())
	return true
}

// copyPrimary returns a copy of a service's primary record for modification, or an empty
// record if the service has none. Records in the map are shared with readers and never
// modified.
func (m *Machine) copyPrimary(service string) *fleetpb.Primary {
	if p := m.primaries[service]; p != nil {
		return proto.CloneOf(p)
	}
	return &fleetpb.Primary{Service: service}
}

// Snapshot implements control.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return proto.MarshalOptions{Deterministic: true}.Marshal(&fleetpb.AgreedState{Configuration: m.config, Primaries: m.sortedPrimaries(), Endpoints: m.endpoints.AllAnnounced(),
		Attempts: m.sortedAttempts(), CoveredProcesses: sortedProcesses(m.covered), RestartedProcesses: sortedProcesses(m.restarted)})
}

// Restore implements control.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var state fleetpb.AgreedState
	if err := proto.Unmarshal(data, &state); err != nil {
		return err
	}
	m.mu.Lock()
	m.config = state.Configuration
	m.primaries = make(map[string]*fleetpb.Primary)
	for _, p := range state.Primaries {
		m.primaries[p.Service] = p
	}
	m.endpoints = registry.NewTable()
	m.endpoints.SetServices(m.config.GetConfiguration().GetServices())
	for _, e := range state.Endpoints {
		m.merge(e)
	}
	m.covered, m.restarted = make(map[endpoint]int64), make(map[endpoint]int64)
	for _, id := range state.Covered {
		// The first versions recorded only the id, of an endpoint that had ended.
		m.covered[endpoint{id: id}] = m.newestBornMs("", id)
	}
	restoreProcesses(m.covered, state.CoveredBornMs, state.CoveredProcesses)
	restoreProcesses(m.restarted, state.RestartedBornMs, state.RestartedProcesses)
	m.attempts = make(map[string]*fleetpb.Attempt)
	for _, a := range state.Attempts {
		m.attempts[a.Service] = a
	}
	m.mu.Unlock()
	m.onChange()
	return nil
}

// Configuration returns the current configuration and the bytes that the operator sent
// for it, or nil if none was published yet. The caller must not modify them.
func (m *Machine) Configuration() (*fleetpb.Configuration, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.GetConfiguration(), m.config.GetBody()
}

// Primaries returns the primary records, sorted by service. The caller must not modify
// them.
func (m *Machine) Primaries() []*fleetpb.Primary {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedPrimaries()
}

// newestBornMs returns the start of the last recorded process of an endpoint, of any service if
// service is empty, or 0.
func (m *Machine) newestBornMs(service, id string) int64 {
	if service != "" {
		return m.endpoints.Newest(id, service).GetBornMs()
	}
	newest := int64(0)
	for _, s := range m.endpoints.ServicesOf(id) {
		newest = max(newest, m.endpoints.Newest(id, s).GetBornMs())
	}
	return newest
}

// sortedProcesses returns the starts of processes by endpoint as messages.
func sortedProcesses(bornMs map[endpoint]int64) []*fleetpb.Process {
	list := make([]*fleetpb.Process, 0, len(bornMs))
	for e, at := range bornMs {
		list = append(list, &fleetpb.Process{Service: e.service, EndpointId: e.id, BornMs: at})
	}
	slices.SortFunc(list, func(a, b *fleetpb.Process) int {
		return cmp.Or(strings.Compare(a.EndpointId, b.EndpointId), strings.Compare(a.Service, b.Service))
	})
	return list
}

// restoreProcesses adds the starts of processes by endpoint from a snapshot. byID are those of an
// earlier version.
func restoreProcesses(into map[endpoint]int64, byID map[string]int64, list []*fleetpb.Process) {
	for id, bornMs := range byID {
		into[endpoint{id: id}] = bornMs
	}
	for _, p := range list {
		into[endpoint{service: p.Service, id: p.EndpointId}] = p.BornMs
	}
}

// Announcements returns the recorded announcements, also those of services that are not defined,
// sorted by id. The caller must not modify them.
func (m *Machine) Announcements() []*fleetpb.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endpoints.AllAnnounced()
}

// IsCovered reports whether the process of an endpoint that started at bornMs, in Unix
// milliseconds, is covered: it has ended and no promotion needs its log.
func (m *Machine) IsCovered(service, id string, bornMs int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.covered[endpoint{service: service, id: id}]
	_, okForAll := m.covered[endpoint{id: id}]
	return (ok || okForAll) && m.coveredBornMs(service, id) >= bornMs
}

// IsRestarted reports whether an endpoint whose process started at bornMs, in Unix
// milliseconds, had a process before that is not covered.
func (m *Machine) IsRestarted(service, id string, bornMs int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.endpoints.Newest(id, service)
	isUnrecorded := held != nil && held.BornMs < bornMs && m.coveredBornMs(service, id) < held.BornMs
	_, isRecorded := m.restarted[endpoint{service: service, id: id}]
	_, isRecordedForAll := m.restarted[endpoint{id: id}]
	return isRecorded || isRecordedForAll || isUnrecorded
}

// Primary returns a copy of a service's primary record, or an empty record if the service
// has none.
func (m *Machine) Primary(service string) *fleetpb.Primary {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copyPrimary(service)
}

func (m *Machine) sortedPrimaries() []*fleetpb.Primary {
	list := make([]*fleetpb.Primary, 0, len(m.primaries))
	for _, p := range m.primaries {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *fleetpb.Primary) int { return strings.Compare(a.Service, b.Service) })
	return list
}
