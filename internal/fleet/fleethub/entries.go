package fleethub

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	fleetpb "hemlockmast/api/fleet"
)

const (
	// entryTimeout is how long an entry counts as following this daemon after the start of
	// its last poll. Polls end within MaxEntryWait.
	entryTimeout = 3 * time.Second
	// maxSummaryAge is the maximum age of the summary of all entries. Computing it takes
	// time linear in their number, and every waiting poll needs it.
	maxSummaryAge = 100 * time.Millisecond
)

// entries tracks which entry follows which control daemon. It is guarded by Hub.mu.
type entries struct {
	// local holds the entries that follow this daemon, by name.
	local map[string]localEntry
	// remote holds the entries that follow other control daemons, by daemon address.
	remote map[string][]*fleetpb.EntryDaemon
	// summary is the latest summary, computed at countedAt. A zero countedAt makes count
	// compute it anew.
	summary   summary
	countedAt time.Time
}

// localEntry is an entry that follows this daemon. seen is when it last started a poll.
type localEntry struct {
	seen  time.Time
	entry *fleetpb.EntryDaemon
}

// summary summarizes all entries.
type summary struct {
	// local lists the entries that follow this daemon; localDigest is a digest of it.
	local       []*fleetpb.EntryDaemon
	localDigest uint64
	// count is the number of all entries, including those that follow other daemons, and ids
	// their ids.
	count uint32
	ids   []uint32
	// carriers holds the addresses at which entries lend connections, by failure domain.
	// Every failure domain with an entry has a key.
	carriers map[string][]string
	// digests holds a digest of the carriers, by failure domain; none for a failure domain
	// without carriers.
	digests map[string]uint64
}

// carriersSince returns the carriers of each failure domain whose digest is not the one
// held, sorted by failure domain.
func (s *summary) carriersSince(held map[string]uint64) []*fleetpb.DomainCarriers {
	var changed []*fleetpb.DomainCarriers
	for domain, digest := range s.digests {
		if held[domain] != digest {
			changed = append(changed, &fleetpb.DomainCarriers{FailureDomain: domain, Carriers: s.carriers[domain], Digest: digest})
		}
	}
	for domain := range held {
		if _, ok := s.digests[domain]; !ok {
			changed = append(changed, &fleetpb.DomainCarriers{FailureDomain: domain})
		}
	}
	slices.SortFunc(changed, func(a, b *fleetpb.DomainCarriers) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return changed
}

func newEntries() entries {
	return entries{local: make(map[string]localEntry), remote: make(map[string][]*fleetpb.EntryDaemon)}
}

// recordPoll records the entry that a poll comes from.
func (e *entries) recordPoll(r *fleetpb.FollowRequest, now time.Time) {
	held, known := e.local[r.Daemon]
	if !known || held.entry.Carrier != r.Carrier || held.entry.FailureDomain != r.FailureDomain {
		held.entry = &fleetpb.EntryDaemon{
			Id: EntryID(r.Daemon), FailureDomain: r.FailureDomain, Carrier: r.Carrier,
		}
		e.countedAt = time.Time{}
	}
	held.seen = now
	e.local[r.Daemon] = held
}

// setRemote records the entries that follow another control daemon.
func (e *entries) setRemote(address string, list []*fleetpb.EntryDaemon) {
	e.remote[address] = list
	e.countedAt = time.Time{}
}

// count returns a summary that is at most maxSummaryAge old. It drops local entries that
// have not polled for entryTimeout, and counts an entry once if it follows several
// daemons.
func (e *entries) count(now time.Time) *summary {
	if !e.countedAt.IsZero() && now.Sub(e.countedAt) < maxSummaryAge {
		return &e.summary
	}
	e.countedAt = now
	s := summary{carriers: make(map[string][]string), digests: make(map[string]uint64)}
	counted := make(map[uint32]bool)
	add := func(d *fleetpb.EntryDaemon) {
		if counted[d.Id] {
			return
		}
		counted[d.Id] = true
		s.count++
		s.ids = append(s.ids, d.Id)
		list := s.carriers[d.FailureDomain]
		if d.Carrier != "" {
			list = append(list, d.Carrier)
			s.digests[d.FailureDomain] ^= xxhash.Sum64String(d.Carrier)
		}
		s.carriers[d.FailureDomain] = list
	}
	for name, f := range e.local {
		if now.Sub(f.seen) > entryTimeout {
			delete(e.local, name)
			continue
		}
		s.local = append(s.local, f.entry)
		s.localDigest ^= xxhash.Sum64String(name + "\x00" + f.entry.Carrier)
		add(f.entry)
	}
	for _, list := range e.remote {
		for _, d := range list {
			add(d)
		}
	}
	for _, list := range s.carriers {
		slices.Sort(list)
	}
	e.summary = s
	return &e.summary
}

// SetRemoteEntries records which entries follow the control daemon at address.
func (h *Hub) SetRemoteEntries(address string, list []*fleetpb.EntryDaemon) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.setRemote(address, list)
}

// EntryIDs returns the ids of all entries that follow some control daemon, as EntryID makes
// them.
func (h *Hub) EntryIDs() []uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries.countedAt = time.Time{}
	return slices.Clone(h.entries.count(h.now()).ids)
}

// EntryID returns the id of the entry with the given name.
func EntryID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// addEntries adds to an answer what the follower does not know yet about entries, and
// reports whether there was any change. mu must be held.
func (h *Hub) addEntries(r *fleetpb.FollowRequest, answer *fleetpb.FollowResponse) (hasChanges bool) {
	now := h.now()
	if r.IsEntry {
		h.entries.recordPoll(r, now)
	}
	s := h.entries.count(now)
	if !r.IsEntry {
		answer.EntriesDigest = s.localDigest
		if hasChanges = s.localDigest != r.EntriesDigest; hasChanges {
			answer.EntryDaemons = s.local
		}
		return hasChanges
	}
	answer.Entries = s.count
	answer.EntryDomains = uint32(len(s.carriers))
	answer.Carriers = s.carriersSince(r.CarriersDigests)
	return len(answer.Carriers) > 0
}
