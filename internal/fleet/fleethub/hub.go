// Package fleethub distributes a control daemon's state to its followers: the
// configuration, the primaries, the endpoints and the entries. Followers are entries (the
// proxy daemons that callers connect to) and other control daemons. They long-poll with the
// version that they hold and receive the changes since.
package fleethub

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/catalog"
	"hemlockmast/internal/fleet/leaving"
	"hemlockmast/internal/fleet/registry"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/packed"
	"hemlockmast/internal/shared/wait"
)

const (
	// keptConfigurations is the number of configurations that are kept to compute updates
	// from. A follower with an older one receives the whole configuration.
	keptConfigurations = 8
	// MaxEntryWait bounds the wait of an entry's poll.
	MaxEntryWait = time.Second
	// MaxPeerWait bounds the wait of another control daemon's poll. Other control daemons
	// also learn of changes from the replicated state.
	MaxPeerWait = 5 * time.Second
	// currentCheckInterval is the interval at which a waiting poll checks whether this
	// daemon is still current. Followers leave a daemon that is not.
	currentCheckInterval = 200 * time.Millisecond
	// gatherDelay is how long an answer that contains only ready endpoints waits for
	// further changes. When the whole system starts, all endpoints announce themselves
	// within one heartbeat; without the delay, each announcement would cost an answer to
	// every follower.
	gatherDelay = 100 * time.Millisecond
)

// ReplicatedState is the part of the replicated state that the hub reads. Its methods are
// those of fleetstate.Machine.
type ReplicatedState interface {
	Configuration() (*fleetpb.Configuration, []byte)
	Primaries() []*fleetpb.Primary
	Announcements() []*fleetpb.Endpoint
}

// Daemon provides the daemon's own state for each answer.
type Daemon interface {
	// IsCurrent reports whether this daemon recently knew a leader.
	IsCurrent() bool
	// ControlDaemons returns all control daemons.
	ControlDaemons() []*fleetpb.ControlDaemon
	// Leader returns the leader's address, or "" if no leader is known.
	Leader() string
	// FailureDomain returns this daemon's failure domain.
	FailureDomain() string
}

// Hub answers the polls of followers. It is safe for concurrent use.
type Hub struct {
	// source tells the runs of a daemon apart. Versions of different runs cannot be
	// compared.
	source uint64
	state  ReplicatedState
	daemon Daemon
	now    func() time.Time

	// mu guards the fields below; nothing else is locked under it.
	mu sync.Mutex
	// version increases with each change of the endpoints, primaries or configuration.
	version uint64
	table   *registry.Table
	// announcedVersions holds the version of the last change of each announcement, or of the age in
	// leaving of its endpoint.
	announcedVersions map[registry.Key]uint64
	leaving           leaving.Ages
	primaries         map[string]*versionedPrimary
	// configs holds the newest keptConfigurations configurations, oldest first.
	configs []*fleetpb.Configuration
	// updates caches updates to the newest configuration by base version. The one for 0
	// contains the whole configuration.
	updates map[uint64]update
	entries entries
	// changed is closed and replaced to wake waiting polls.
	changed chan struct{}
}

// update is an update to the newest configuration, computed once for all followers.
type update struct {
	plain *fleetpb.ConfigurationUpdate
	// packed is the compressed form of a large update, or nil.
	packed []byte
}

// versionedPrimary is a primary record with the hub's version at which it changed.
type versionedPrimary struct {
	primary *fleetpb.Primary
	version uint64
}

// New returns a hub without endpoints or configurations. source must be different for
// each start of a daemon.
func New(source uint64, state ReplicatedState, daemon Daemon, now func() time.Time) *Hub {
	return &Hub{
		source: source, state: state, daemon: daemon, now: now,
		table:             registry.NewTable(),
		announcedVersions: make(map[registry.Key]uint64),
		primaries:         make(map[string]*versionedPrimary),
		updates:           make(map[uint64]update),
		entries:           newEntries(),
		changed:           make(chan struct{}),
	}
}

// Refresh applies changes of the replicated state. It returns the records that a change of the
// defined services changed.
func (h *Hub) Refresh() []*fleetpb.Endpoint {
	config, _ := h.state.Configuration()
	primaries := h.state.Primaries()
	announcements := h.state.Announcements()
	var changed []*fleetpb.Endpoint
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range announcements {
		h.noteChanges(h.table.Merge(e))
	}
	if newestConfig := h.newestConfig(); config.GetVersion() > newestConfig.GetVersion() {
		h.configs = append(h.configs, config)
		if extra := len(h.configs) - keptConfigurations; extra > 0 {
			h.configs = append([]*fleetpb.Configuration(nil), h.configs[extra:]...)
		}
		clear(h.updates)
		h.advanceVersion()
		changes := h.table.SetServices(config.GetServices())
		h.noteChanges(changes)
		changed = changes.Records
	}
	for _, p := range primaries {
		held := h.primaries[p.Service]
		// A new token means that a promotion has begun. Entries then hold back writes.
		if held == nil || held.primary.Number < p.Number || held.primary.Token < p.Token || held.primary.Revision < p.Revision {
			h.advanceVersion()
			h.primaries[p.Service] = &versionedPrimary{primary: p, version: h.version}
		}
	}
	return changed
}

// newestConfig returns the newest configuration, or nil. mu must be held.
func (h *Hub) newestConfig() *fleetpb.Configuration {
	if len(h.configs) == 0 {
		return nil
	}
	return h.configs[len(h.configs)-1]
}

// advanceVersion starts a new version and wakes waiting polls. mu must be held.
func (h *Hub) advanceVersion() {
	h.version++
	close(h.changed)
	h.changed = make(chan struct{})
}

// Merge processes an endpoint's announcement.
func (h *Hub) Merge(e *fleetpb.Endpoint) registry.Changes {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := h.table.Merge(e)
	h.noteChanges(changes)
	return changes
}

// MergeFromPeer processes an announcement that another control daemon holds.
func (h *Hub) MergeFromPeer(e *fleetpb.Endpoint) registry.Changes {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := h.table.MergeFromPeer(e)
	h.noteChanges(changes)
	return changes
}

// MarkGone records that an endpoint has ended. bornMs is as for registry.Table.MarkGone.
func (h *Hub) MarkGone(id string, bornMs int64) registry.Changes {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := h.table.MarkGone(id, bornMs)
	h.noteChanges(changes)
	return changes
}

// noteChanges starts a new version in which announcements changed. mu must be held.
func (h *Hub) noteChanges(changes registry.Changes) {
	h.leaving.NoteChanges(changes, h.table.Defines, boottime.Now())
	if len(changes.Announced) == 0 {
		return
	}
	h.advanceVersion()
	for _, e := range changes.Announced {
		h.announcedVersions[registry.KeyOf(e)] = h.version
	}
}

// RaiseAges records for how long endpoints have been leaving, as another daemon knows it. Followers
// are told of higher ages than those known.
func (h *Hub) RaiseAges(ages []*fleetpb.LeavingAge) {
	if len(ages) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	isChanged := false
	for _, age := range ages {
		if h.leaving.Raise(age, now) {
			isChanged = true
			for _, service := range h.table.ServicesOf(age.EndpointId) {
				h.announcedVersions[registry.KeyOf(h.table.Newest(age.EndpointId, service))] = h.version + 1
			}
		}
	}
	if isChanged {
		h.advanceVersion()
	}
}

// Endpoint returns an endpoint's record, or nil. The caller must not modify it.
func (h *Hub) Endpoint(id string) *fleetpb.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Get(id)
}

// Defines reports whether the newest configuration defines a service.
func (h *Hub) Defines(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Defines(service)
}

// IsEndAnnounced is registry.Table.IsEndAnnounced.
func (h *Hub) IsEndAnnounced(e *fleetpb.Endpoint) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.IsEndAnnounced(e)
}

// Newest returns the newest announcement of an endpoint of a service, defined or not, or nil. The
// caller must not modify it.
func (h *Hub) Newest(id, service string) *fleetpb.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Newest(id, service)
}

// Endpoints returns all records, sorted by id. The caller must not modify them.
func (h *Hub) Endpoints() []*fleetpb.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.All()
}

// Wake makes waiting polls check their conditions again. It must be called when this
// daemon becomes current.
func (h *Hub) Wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}

// Follow answers a poll when there are changes for the follower, when the wait is over, or
// when this daemon is not current. Entries that poll a daemon which is not current are an
// exception. Their first poll is answered at once, so that they can try another daemon.
// Later polls wait for the daemon to become current if the entry sets AwaitCurrent or has no
// configuration yet; changes end this wait only for an entry with a configuration.
func (h *Hub) Follow(ctx context.Context, r *fleetpb.FollowRequest) *fleetpb.FollowResponse {
	maxWait := MaxEntryWait
	if !r.IsEntry {
		maxWait = MaxPeerWait
	}
	deadline := h.now().Add(min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	h.RaiseAges(r.Leaving)
	arrival := boottime.Now()
	var gatherStart time.Time
	for {
		answer, changed, entriesChanged := h.answer(r)
		answer.HeldMs = uint32((boottime.Now() - arrival).Milliseconds())
		hasChanges := entriesChanged || answer.Configuration != nil || len(answer.Endpoints) > 0 || len(answer.Primaries) > 0
		remaining := deadline.Sub(h.now())
		isDone := hasChanges || !answer.Current
		if !answer.Current && r.IsEntry {
			isFirst := r.Source != h.source
			if isFirst && r.ConfigurationVersion == 0 {
				// The entry may find a current daemon in the list of control daemons. The
				// rest of this daemon's state may be outdated and is not worth sending.
				answer = &fleetpb.FollowResponse{Source: answer.Source, Control: answer.Control, FailureDomain: answer.FailureDomain}
			}
			mayWait := r.AwaitCurrent || r.ConfigurationVersion == 0
			isDone = isFirst || !mayWait || hasChanges && r.ConfigurationVersion != 0
		}
		if isDone && gatherStart.IsZero() && mayGather(answer, r) && remaining > gatherDelay {
			gatherStart = h.now()
			wait.For(ctx, gatherDelay)
			continue
		}
		if isDone || remaining <= 0 || ctx.Err() != nil {
			return h.pack(answer)
		}
		timer := time.NewTimer(min(remaining, currentCheckInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// mayGather reports whether an answer may wait for further changes: this daemon is current,
// and the answer contains only ready endpoints and goes to a follower that already holds a
// version of this daemon's state.
func mayGather(answer *fleetpb.FollowResponse, r *fleetpb.FollowRequest) bool {
	if !answer.Current || r.Version == 0 || r.Source != answer.Source ||
		answer.Configuration != nil || len(answer.Primaries) > 0 {
		return false
	}
	for _, e := range answer.Endpoints {
		if e.State != fleetpb.EndpointState_ENDPOINT_STATE_READY {
			return false
		}
	}
	return true
}

// answer returns everything that the follower lacks. changed is closed at the next change.
// entriesChanged means that the information about entries is new to the follower.
func (h *Hub) answer(r *fleetpb.FollowRequest) (answer *fleetpb.FollowResponse, changed <-chan struct{}, entriesChanged bool) {
	answer = &fleetpb.FollowResponse{
		Source: h.source, Current: h.daemon.IsCurrent(),
		Control: h.daemon.ControlDaemons(), Leader: h.daemon.Leader(),
		FailureDomain: h.daemon.FailureDomain(),
	}
	since := r.Version
	if r.Source != h.source {
		since = 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	answer.Version = h.version
	entriesChanged = h.addEntries(r, answer)
	if newestConfig := h.newestConfig(); r.IsEntry && newestConfig.GetVersion() > r.ConfigurationVersion {
		answer.Configuration = h.updateFrom(r.ConfigurationVersion).plain
	}
	now := boottime.Now()
	for key, at := range h.announcedVersions {
		if at <= since {
			continue
		}
		e := h.table.Announced(key)
		if e == nil {
			// It gave way to another one.
			continue
		}
		answer.Endpoints = append(answer.Endpoints, e)
		if age := h.leaving.Message(key.Service, key.ID, now); age != nil {
			answer.Leaving = append(answer.Leaving, age)
		}
	}
	for _, p := range h.primaries {
		if r.IsEntry && p.version > since {
			answer.Primaries = append(answer.Primaries, p.primary)
		}
	}
	return answer, h.changed, entriesChanged
}

// updateFrom returns the update from a version of the configuration to the newest one. If
// that version is not kept, the update contains the whole configuration. mu must be held.
func (h *Hub) updateFrom(version uint64) update {
	base := h.keptConfig(version)
	u, isCached := h.updates[base.GetVersion()]
	if isCached {
		return u
	}
	u.plain = catalog.Diff(base, h.newestConfig())
	if proto.Size(u.plain) >= packed.MinSize {
		var err error
		if u.packed, err = packed.Marshal(u.plain); err != nil {
			// The update is sent uncompressed; encoding the answer then reports the error.
			u.packed = nil
		}
	}
	h.updates[base.GetVersion()] = u
	return u
}

// pack replaces a large configuration update in an answer with its compressed form.
func (h *Hub) pack(answer *fleetpb.FollowResponse) *fleetpb.FollowResponse {
	if answer.Configuration == nil {
		return answer
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, u := range h.updates {
		if u.plain == answer.Configuration && u.packed != nil {
			answer.Configuration, answer.PackedConfiguration = nil, u.packed
		}
	}
	return answer
}

// keptConfig returns the configuration with the given version, or nil if it is not kept.
// mu must be held.
func (h *Hub) keptConfig(version uint64) *fleetpb.Configuration {
	for _, c := range h.configs {
		if c.Version == version {
			return c
		}
	}
	return nil
}
