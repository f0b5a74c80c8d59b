package spreadstate

import (
	"cmp"
	"slices"
	"time"

	"hemlockmast/api/confspread"
)

const (
	// UnreachableAfter is the time without a poll after which a daemon counts as
	// unreachable.
	UnreachableAfter = 6 * time.Second
	// nonMemberRetention is how long after its last poll the status still shows
	// a daemon that membership does not list.
	nonMemberRetention = 10 * time.Minute
	// maxTrackedMembers bounds the daemons that a tracker holds.
	maxTrackedMembers = 20_000
)

// RevisionTracker records which daemon runs which revision. A relay learns this
// from the polls of its failure domain, control from the reports of the relays.
type RevisionTracker struct {
	members map[memberKey]*memberState
	// relays holds the last relay that reported, by failure domain.
	relays map[string]relayState
}

// memberKey identifies a daemon.
type memberKey struct {
	domain string
	name   string
}

type memberState struct {
	revision uint64
	mode     confspread.Mode
	seenAt   time.Time
}

type relayState struct {
	name       string
	reportedAt time.Time
}

// NewRevisionTracker returns an empty tracker.
func NewRevisionTracker() *RevisionTracker {
	return &RevisionTracker{
		members: make(map[memberKey]*memberState),
		relays:  make(map[string]relayState),
	}
}

// RecordPoll records a daemon's poll at now. It reports whether the daemon is
// new or its revision or mode changed.
func (b *RevisionTracker) RecordPoll(now time.Time, request *confspread.PollRequest) bool {
	from := request.GetFrom()
	key := memberKey{domain: from.GetFailureDomain(), name: from.GetName()}
	return b.record(now, key, request.GetInForce(), request.GetMode())
}

// Report records the report of a relay that arrived at now.
func (b *RevisionTracker) Report(now time.Time, report *confspread.DomainReport) {
	domain := report.GetFailureDomain()
	b.relays[domain] = relayState{name: report.GetRelay(), reportedAt: now}
	for _, member := range report.GetMembers() {
		age := time.Duration(member.GetAgeMs()) * time.Millisecond
		key := memberKey{domain: domain, name: member.GetName()}
		b.record(now.Add(-age), key, member.GetRevision(), member.GetMode())
	}
}

// record stores the state of a daemon unless a later one is stored, so that the
// report of a former relay does not replace that of the current one. It reports
// whether the daemon is new or its revision or mode changed.
func (b *RevisionTracker) record(seenAt time.Time, key memberKey, revision uint64, mode confspread.Mode) bool {
	old := b.members[key]
	if old == nil {
		b.evictOldest()
		b.members[key] = &memberState{revision: revision, mode: mode, seenAt: seenAt}
		return true
	}
	if seenAt.Before(old.seenAt) {
		return false
	}
	changed := old.revision != revision || old.mode != mode
	*old = memberState{revision: revision, mode: mode, seenAt: seenAt}
	return changed
}

// evictOldest drops the daemon that was seen longest ago, if the tracker is
// full.
func (b *RevisionTracker) evictOldest() {
	if len(b.members) < maxTrackedMembers {
		return
	}
	var oldest memberKey
	for key, state := range b.members {
		if b.members[oldest] == nil || state.seenAt.Before(b.members[oldest].seenAt) {
			oldest = key
		}
	}
	delete(b.members, oldest)
}

// DomainReport returns the report of the relay with the given name on its
// failure domain. It omits daemons last seen more than UnreachableAfter ago.
func (b *RevisionTracker) DomainReport(now time.Time, domain, relay string) *confspread.DomainReport {
	report := &confspread.DomainReport{FailureDomain: domain, Relay: relay}
	for key, state := range b.members {
		age := now.Sub(state.seenAt)
		if key.domain != domain || age > UnreachableAfter {
			continue
		}
		report.Members = append(report.Members, &confspread.MemberReport{
			Name: key.name, Revision: state.revision, Mode: state.mode, AgeMs: age.Milliseconds(),
		})
	}
	slices.SortFunc(report.Members, func(a, b *confspread.MemberReport) int {
		return cmp.Compare(a.Name, b.Name)
	})
	return report
}

// Status returns the status of all daemons, sorted by failure domain and name.
// Expected daemons that were never seen have an age of -1. Status drops daemons
// that are not expected and were last seen more than nonMemberRetention ago.
func (b *RevisionTracker) Status(now time.Time, expected []Member) []*confspread.DomainStatus {
	known := make(map[memberKey]bool, len(expected))
	domains := make(map[string]*confspread.DomainStatus)
	for _, member := range expected {
		key := memberKey{domain: member.FailureDomain, name: member.Name}
		known[key] = true
		if b.members[key] == nil {
			b.addStatus(domains, key, &confspread.MemberStatus{Name: member.Name, AgeMs: -1})
		}
	}
	for key, state := range b.members {
		age := now.Sub(state.seenAt)
		if age > nonMemberRetention && !known[key] {
			delete(b.members, key)
			continue
		}
		b.addStatus(domains, key, &confspread.MemberStatus{
			Name: key.name, Revision: state.revision, Mode: state.mode,
			AgeMs: age.Milliseconds(), Reachable: age <= UnreachableAfter,
		})
	}
	return sortDomains(domains)
}

func (b *RevisionTracker) addStatus(domains map[string]*confspread.DomainStatus, key memberKey, status *confspread.MemberStatus) {
	domain := domains[key.domain]
	if domain == nil {
		domain = &confspread.DomainStatus{
			FailureDomain: key.domain, Relay: b.relays[key.domain].name,
		}
		domains[key.domain] = domain
	}
	domain.Members = append(domain.Members, status)
}

func sortDomains(domains map[string]*confspread.DomainStatus) []*confspread.DomainStatus {
	out := make([]*confspread.DomainStatus, 0, len(domains))
	for _, domain := range domains {
		slices.SortFunc(domain.Members, func(a, b *confspread.MemberStatus) int {
			return cmp.Compare(a.Name, b.Name)
		})
		out = append(out, domain)
	}
	slices.SortFunc(out, func(a, b *confspread.DomainStatus) int {
		return cmp.Compare(a.FailureDomain, b.FailureDomain)
	})
	return out
}
