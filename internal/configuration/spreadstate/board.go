package spreadstate

import (
	"cmp"
	"slices"
	"time"

	"hemlockmast/api/confspread"
)

const (
	// ReachTimeout is how long a daemon may be silent and still be called
	// reachable.
	ReachTimeout = 6 * time.Second
	// forgetAfter is how long a daemon that membership does not know is shown
	// after it was last heard of.
	forgetAfter = 10 * time.Minute
	// maxBoardMembers bounds the daemons on a board.
	maxBoardMembers = 20_000
)

// Board knows who runs which revision: at a relay from the polls of its
// failure domain, at control from the reports of the relays.
type Board struct {
	members map[memberKey]*memberState
	relays  map[string]relayState
}

// memberKey names a daemon.
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

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		members: make(map[memberKey]*memberState),
		relays:  make(map[string]relayState),
	}
}

// Poll notes a daemon's poll. It returns whether the daemon is new or changed
// its revision or mode.
func (b *Board) Poll(now time.Time, request *confspread.PollRequest) bool {
	from := request.GetFrom()
	key := memberKey{domain: from.GetFailureDomain(), name: from.GetName()}
	return b.note(now, key, request.GetInForce(), request.GetMode())
}

// Report notes a relay's report.
func (b *Board) Report(now time.Time, report *confspread.DomainReport) {
	domain := report.GetFailureDomain()
	b.relays[domain] = relayState{name: report.GetRelay(), reportedAt: now}
	for _, member := range report.GetMembers() {
		age := time.Duration(member.GetAgeMs()) * time.Millisecond
		key := memberKey{domain: domain, name: member.GetName()}
		b.note(now.Add(-age), key, member.GetRevision(), member.GetMode())
	}
}

// note keeps the latest of what is heard of a daemon, so that an old relay's
// report does not hide a new one's.
func (b *Board) note(seenAt time.Time, key memberKey, revision uint64, mode confspread.Mode) bool {
	old := b.members[key]
	if old == nil {
		b.makeRoom()
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

// makeRoom drops the daemon that was silent longest from a full board.
func (b *Board) makeRoom() {
	if len(b.members) < maxBoardMembers {
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

// DomainReport returns what the relay named relay reports of its domain.
// Daemons that were silent for ReachTimeout are left out.
func (b *Board) DomainReport(now time.Time, domain, relay string) *confspread.DomainReport {
	report := &confspread.DomainReport{FailureDomain: domain, Relay: relay}
	for key, state := range b.members {
		age := now.Sub(state.seenAt)
		if key.domain != domain || age > ReachTimeout {
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

// Status returns all daemons heard of, and those of expected that were not, by
// failure domain and name.
func (b *Board) Status(now time.Time, expected []Member) []*confspread.DomainStatus {
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
		if age > forgetAfter && !known[key] {
			delete(b.members, key)
			continue
		}
		b.addStatus(domains, key, &confspread.MemberStatus{
			Name: key.name, Revision: state.revision, Mode: state.mode,
			AgeMs: age.Milliseconds(), Reachable: age <= ReachTimeout,
		})
	}
	return sortedDomains(domains)
}

func (b *Board) addStatus(domains map[string]*confspread.DomainStatus, key memberKey, status *confspread.MemberStatus) {
	domain := domains[key.domain]
	if domain == nil {
		domain = &confspread.DomainStatus{
			FailureDomain: key.domain, Relay: b.relays[key.domain].name,
		}
		domains[key.domain] = domain
	}
	domain.Members = append(domain.Members, status)
}

func sortedDomains(domains map[string]*confspread.DomainStatus) []*confspread.DomainStatus {
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
