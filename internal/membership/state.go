package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// TickInterval is the time between calls of Tick.
	TickInterval = 100 * time.Millisecond
	// probeInterval is the time between two pings that a daemon sends.
	probeInterval = 500 * time.Millisecond
	// ackTimeout is how long a ping may go unanswered before other daemons are
	// asked to ping the target.
	ackTimeout = 200 * time.Millisecond
	// probeTimeout is how long a ping may go unanswered before its target becomes
	// a suspect.
	probeTimeout = 500 * time.Millisecond
	// suspicionTimeout is how long a suspect has to refute the suspicion.
	suspicionTimeout = 1500 * time.Millisecond
	// crossDomainInterval is the time between packets from a gateway to another
	// failure domain.
	crossDomainInterval = time.Second
	// domainTimeout is how long nothing may be heard from a failure domain before
	// its daemons count as unreachable.
	domainTimeout = 5 * time.Second
	// exchangeInterval is the time between comparisons of whole tables.
	exchangeInterval = 30 * time.Second
	// joinInterval is the time between attempts to join through a seed.
	joinInterval = time.Second
	// tombstoneRetention is how long the record of a Down or Left daemon is kept.
	tombstoneRetention = 10 * time.Minute
	// stallLimit is the time between two ticks above which this process is taken
	// to have been stopped in between.
	stallLimit = time.Second
	// relaysPerProbe is how many daemons are asked to ping one that does not answer.
	relaysPerProbe = 2
	// gatewaysPerDomain is how many daemons of a failure domain gossip with other
	// domains.
	gatewaysPerDomain = 2
)

// Config configures a State. Self's Incarnation must be above that of the
// daemon's earlier runs; the start time in nanoseconds meets this.
type Config struct {
	Self  Member
	Seeds []Member
	// Rand selects the daemons to ping, to ask and to exchange with. A fixed seed
	// makes runs repeatable.
	Rand *rand.Rand
}

// member is another daemon's record with this daemon's own notes on it.
type member struct {
	Member
	changedAt time.Time // when the record last changed here
	sendCount int       // how often it was sent since
	seed      bool      // listed in the settings
	// heard is set once the daemon itself has sent a packet or a table.
	heard bool
}

// probe is a ping that awaits its ack.
type probe struct {
	target      string
	sentAt      time.Time
	relaysAsked bool
	// requester is the name of the daemon that requested the ping, or empty;
	// requesterProbe is the Probe number of the request.
	requester      string
	requesterProbe uint64
}

// State is the membership as one daemon sees it. It is not safe for concurrent
// use. Its methods do no input or output; the runner package performs the Effects
// that they return.
type State struct {
	self    Member
	leaving bool
	rand    *rand.Rand
	members map[string]*member // all but self
	// byDomain computes domainIndex and otherDomainsCache from members. A nil
	// domainIndex means that both are out of date.
	domainIndex       map[string][]*member
	otherDomainsCache []string
	claims            map[claimKey]*claim
	slots             map[SlotID]bool
	unknownSlots      map[SlotID]unknownSlot
	namesake          *namesake
	nameConflict      *NameConflictError

	nameConflictHeardAt time.Time

	probes        map[uint64]*probe
	lastProbe     uint64
	probeOrder    []string // targets not yet pinged in this round
	domainHeardAt map[string]time.Time
	silent        map[string]bool // domains from which nothing was heard within domainTimeout

	lastTick, nextProbe, nextCrossDomain, nextJoin, nextExchange, nextClaimCheck time.Time
	rotationIndex                                                                int
}

// New returns the state of a daemon that has just started. It knows no daemons
// but its seeds.
func New(cfg Config) *State {
	s := &State{
		self: cfg.Self, rand: cfg.Rand,
		members: map[string]*member{}, claims: map[claimKey]*claim{},
		slots: map[SlotID]bool{}, unknownSlots: map[SlotID]unknownSlot{},
		probes: map[uint64]*probe{}, domainHeardAt: map[string]time.Time{}, silent: map[string]bool{},
	}
	for _, seed := range cfg.Seeds {
		if seed.Name != cfg.Self.Name {
			seed.Incarnation, seed.Version, seed.Status = 0, 0, Alive
			s.members[seed.Name] = &member{Member: seed, seed: true, sendCount: sendsExhausted}
		}
	}
	return s
}

// Self returns this daemon's record.
func (s *State) Self() Member { return s.self }

// Tick performs the periodic work that is due at now. It is called every
// TickInterval.
func (s *State) Tick(now time.Time) Effects {
	var eff Effects
	if s.lastTick.IsZero() {
		s.startTimers(now)
	}
	if gap := now.Sub(s.lastTick); gap > stallLimit {
		s.compensateStall(now, gap)
	}
	s.lastTick = now
	eff.add(s.checkProbes(now))
	eff.add(s.expireSuspects(now))
	eff.add(s.updateSilentDomains(now))
	eff.add(s.checkNamesake(now))
	if due(&s.nextClaimCheck, now, claimCheckInterval) {
		eff.add(s.expireClaims(now))
		s.removeTombstones(now)
	}
	if s.leaving {
		return eff
	}
	if due(&s.nextProbe, now, probeInterval) {
		eff.add(s.probeNext(now))
	}
	if due(&s.nextCrossDomain, now, crossDomainInterval) {
		eff.add(s.gossipAcrossDomains(now))
	}
	eff.ExchangeWith = append(eff.ExchangeWith, s.exchangeTargets(now)...)
	return eff
}

// due reports whether the time next has come; if so, it sets next to interval
// after now.
func due(next *time.Time, now time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(interval)
	return true
}

// startTimers starts the timers at the first tick. Every failure domain counts as
// heard then, so that none is silent before domainTimeout has passed.
func (s *State) startTimers(now time.Time) {
	s.lastTick = now
	s.nextExchange = now.Add(exchangeInterval)
	for _, m := range s.members {
		m.changedAt = now
		s.domainHeardAt[m.FailureDomain] = now
	}
}

// compensateStall corrects the recorded times after a gap in which this process
// did not run. Otherwise the daemon would take the gap for silence of the others.
func (s *State) compensateStall(now time.Time, gap time.Duration) {
	clear(s.probes)
	for _, m := range s.members {
		m.changedAt = m.changedAt.Add(gap)
	}
	for d, at := range s.domainHeardAt {
		s.domainHeardAt[d] = at.Add(gap)
	}
	for _, c := range s.claims {
		c.heardAt = now
		if !c.announcedAt.IsZero() {
			c.announcedAt = now
		}
	}
}

func (s *State) isLocal(m Member) bool { return m.FailureDomain == s.self.FailureDomain }

// byDomain returns the other daemons by failure domain, each list in name
// order. The index is rebuilt after a daemon was added, removed or moved.
func (s *State) byDomain() map[string][]*member {
	if s.domainIndex != nil {
		return s.domainIndex
	}
	s.domainIndex = map[string][]*member{}
	for _, m := range s.members {
		s.domainIndex[m.FailureDomain] = append(s.domainIndex[m.FailureDomain], m)
	}
	s.otherDomainsCache = nil
	for d, ms := range s.domainIndex {
		slices.SortFunc(ms, func(a, b *member) int { return compareText(a.Name, b.Name) })
		if d != s.self.FailureDomain {
			s.otherDomainsCache = append(s.otherDomainsCache, d)
		}
	}
	slices.Sort(s.otherDomainsCache)
	return s.domainIndex
}

// upMembers returns a domain's members that are Alive or Suspect, in name order.
func (s *State) upMembers(domain string) []*member {
	var out []*member
	for _, m := range s.byDomain()[domain] {
		if m.Status <= Suspect {
			out = append(out, m)
		}
	}
	return out
}

// otherDomains returns the other failure domains in name order.
func (s *State) otherDomains() []string {
	s.byDomain()
	return s.otherDomainsCache
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// updateSilentDomains updates which failure domains are silent, that is not heard
// from within domainTimeout.
func (s *State) updateSilentDomains(now time.Time) Effects {
	var eff Effects
	for _, d := range s.otherDomains() {
		silent := now.Sub(s.domainHeardAt[d]) > domainTimeout
		if silent != s.silent[d] {
			s.silent[d] = silent
			eff.Changed = true
		}
	}
	return eff
}

// removeTombstones removes the records of daemons that have been Down or Left for
// longer than tombstoneRetention. Seeds stay.
func (s *State) removeTombstones(now time.Time) {
	for name, m := range s.members {
		if m.Status >= Down && !m.seed && now.Sub(m.changedAt) > tombstoneRetention {
			delete(s.members, name)
			s.domainIndex = nil
		}
	}
}

// Leave announces that this daemon stops. It pushes its record to its own failure
// domain and to one daemon of each other domain.
func (s *State) Leave(now time.Time) Effects {
	s.leaving = true
	s.self.Status = Left
	s.self.Version++
	return s.push(now, true, true)
}

// exchangeTargets returns the admin addresses of daemons to compare tables with
// now: a seed until the daemon has joined, later any reachable daemon.
func (s *State) exchangeTargets(now time.Time) []string {
	if s.isIsolated() {
		if !due(&s.nextJoin, now, joinInterval) {
			return nil
		}
		return s.pickAdminAddress(func(m *member) bool { return m.seed })
	}
	if !due(&s.nextExchange, now, exchangeInterval) {
		return nil
	}
	return s.pickAdminAddress(func(m *member) bool { return m.Status <= Suspect && !s.silent[m.FailureDomain] })
}

// isIsolated reports whether other daemons are known, but none was heard since
// the start.
func (s *State) isIsolated() bool {
	for _, m := range s.members {
		if m.heard {
			return false
		}
	}
	return len(s.members) > 0
}

// pickAdminAddress returns the admin address of a random member for which ok
// holds, or nothing if there is none.
func (s *State) pickAdminAddress(ok func(*member) bool) []string {
	var names []string
	for name, m := range s.members {
		if ok(m) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return []string{s.members[names[s.rand.IntN(len(names))]].Admin}
}
