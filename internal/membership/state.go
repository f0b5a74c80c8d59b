package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// TickInterval is between calls of Tick.
	TickInterval = 100 * time.Millisecond
	// probeInterval is between pings of one daemon.
	probeInterval = 500 * time.Millisecond
	// ackTimeout is how long a ping may go unanswered before others are asked.
	ackTimeout = 200 * time.Millisecond
	// probeTimeout is how long a ping may go unanswered before suspicion.
	probeTimeout = 500 * time.Millisecond
	// suspicionTimeout is how long a suspect may contradict.
	suspicionTimeout = 1500 * time.Millisecond
	// summaryInterval is between packets to another failure domain.
	summaryInterval = time.Second
	// domainTimeout is how long a failure domain may be silent.
	domainTimeout = 5 * time.Second
	// exchangeInterval is between comparisons of whole tables.
	exchangeInterval = 30 * time.Second
	// joinInterval is between attempts to join through a seed.
	joinInterval = time.Second
	// forgetInterval is how long a daemon that is gone stays in the table.
	forgetInterval = 10 * time.Minute
	// stallLimit is the longest usual time between ticks.
	stallLimit = time.Second
	// relays is how many daemons are asked to ping one that does not answer.
	relays = 2
	// speakers is how many daemons of a domain talk to other domains.
	speakers = 2
)

// Config is the start of a State. Self's Incarnation must be above that of the
// daemon's earlier runs; a clock in nanoseconds does.
type Config struct {
	Self  Member
	Seeds []Member
	// Rand decides whom to ask; a fixed seed makes runs repeatable.
	Rand *rand.Rand
}

// member is one record with what this daemon adds to it.
type member struct {
	Member
	changed time.Time // when the record last changed here
	sends   int       // how often it was sent since
	seed    bool
	// heard is false for a seed of which nothing but the settings is known.
	heard bool
}

// probe is a ping on its way.
type probe struct {
	target string
	sent   time.Time
	asked  bool // relays were asked
	// relayFor is set when the ping is on behalf of another daemon.
	relayFor   string
	relayProbe uint64
}

// State is the membership as one daemon sees it. It is not safe for concurrent
// use.
type State struct {
	self    Member
	leaving bool
	rand    *rand.Rand
	members map[string]*member // all but self
	// index and others are made of members by byDomain; index is nil when stale.
	index   map[string][]*member
	others  []string
	claims  map[claimKey]*claim
	slots   map[SlotID]bool
	unknown map[SlotID]unknownSlot
	rival   *rival
	clash   *NameConflictError

	clashHeard time.Time

	probes    map[uint64]*probe
	lastProbe uint64
	order     []string // probe targets that are left in this round
	heardFrom map[string]time.Time
	silent    map[string]bool // domains, as the views show them

	lastTick, nextProbe, nextSummary, nextJoin, nextExchange, nextClaims time.Time
	summaryTurn                                                          int
}

// New returns the state of a daemon that has just started.
func New(cfg Config) *State {
	s := &State{
		self: cfg.Self, rand: cfg.Rand,
		members: map[string]*member{}, claims: map[claimKey]*claim{},
		slots: map[SlotID]bool{}, unknown: map[SlotID]unknownSlot{},
		probes: map[uint64]*probe{}, heardFrom: map[string]time.Time{}, silent: map[string]bool{},
	}
	for _, seed := range cfg.Seeds {
		if seed.Name != cfg.Self.Name {
			seed.Incarnation, seed.Version, seed.Status = 0, 0, Alive
			s.members[seed.Name] = &member{Member: seed, seed: true, sends: maxSends}
		}
	}
	return s
}

// Self returns this daemon's record.
func (s *State) Self() Member { return s.self }

// Tick does what is due at now.
func (s *State) Tick(now time.Time) Effects {
	var eff Effects
	if s.lastTick.IsZero() {
		s.start(now)
	}
	if gap := now.Sub(s.lastTick); gap > stallLimit {
		s.afterStall(now, gap)
	}
	s.lastTick = now
	eff.add(s.checkProbes(now))
	eff.add(s.checkSuspects(now))
	eff.add(s.checkDomains(now))
	eff.add(s.checkRival(now))
	if due(&s.nextClaims, now, claimInterval) {
		eff.add(s.checkClaims(now))
		s.forget(now)
	}
	if s.leaving {
		return eff
	}
	if due(&s.nextProbe, now, probeInterval) {
		eff.add(s.probeNext(now))
	}
	if due(&s.nextSummary, now, summaryInterval) {
		eff.add(s.summaries(now))
	}
	eff.Exchange = append(eff.Exchange, s.exchanges(now)...)
	return eff
}

// due reports whether at has come, and moves it on.
func due(at *time.Time, now time.Time, interval time.Duration) bool {
	if now.Before(*at) {
		return false
	}
	*at = now.Add(interval)
	return true
}

// start gives every failure domain the time to be heard.
func (s *State) start(now time.Time) {
	s.lastTick = now
	s.nextExchange = now.Add(exchangeInterval)
	for _, m := range s.members {
		m.changed = now
		s.heardFrom[m.FailureDomain] = now
	}
}

// afterStall discounts a time in which this process did not run: it must not
// count as the silence of others.
func (s *State) afterStall(now time.Time, gap time.Duration) {
	clear(s.probes)
	for _, m := range s.members {
		m.changed = m.changed.Add(gap)
	}
	for d, at := range s.heardFrom {
		s.heardFrom[d] = at.Add(gap)
	}
	for _, c := range s.claims {
		c.heard = now
		if !c.direct.IsZero() {
			c.direct = now
		}
	}
}

func (s *State) local(m Member) bool { return m.FailureDomain == s.self.FailureDomain }

// byDomain returns the other daemons by failure domain, each list in name
// order. The index is made again after a daemon came, went or moved.
func (s *State) byDomain() map[string][]*member {
	if s.index != nil {
		return s.index
	}
	s.index = map[string][]*member{}
	for _, m := range s.members {
		s.index[m.FailureDomain] = append(s.index[m.FailureDomain], m)
	}
	s.others = nil
	for d, ms := range s.index {
		slices.SortFunc(ms, func(a, b *member) int { return compareText(a.Name, b.Name) })
		if d != s.self.FailureDomain {
			s.others = append(s.others, d)
		}
	}
	slices.Sort(s.others)
	return s.index
}

// up returns a domain's members that may answer, in name order.
func (s *State) up(domain string) []*member {
	var out []*member
	for _, m := range s.byDomain()[domain] {
		if m.Status <= Suspect {
			out = append(out, m)
		}
	}
	return out
}

// domains returns the other failure domains in order.
func (s *State) domains() []string {
	s.byDomain()
	return s.others
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

// checkDomains notes which failure domains are silent.
func (s *State) checkDomains(now time.Time) Effects {
	var eff Effects
	for _, d := range s.domains() {
		silent := now.Sub(s.heardFrom[d]) > domainTimeout
		if silent != s.silent[d] {
			s.silent[d] = silent
			eff.Changed = true
		}
	}
	return eff
}

// forget drops daemons that are gone for long and come from no settings.
func (s *State) forget(now time.Time) {
	for name, m := range s.members {
		if m.Status >= Down && !m.seed && now.Sub(m.changed) > forgetInterval {
			delete(s.members, name)
			s.index = nil
		}
	}
}

// Leave says that this daemon stops. Its record reaches a daemon of each domain
// and all of its own.
func (s *State) Leave(now time.Time) Effects {
	s.leaving = true
	s.self.Status = Left
	s.self.Version++
	return s.push(now, true, true)
}

// exchanges returns the admin addresses of daemons to compare tables with.
func (s *State) exchanges(now time.Time) []string {
	if s.alone() {
		if !due(&s.nextJoin, now, joinInterval) {
			return nil
		}
		return s.pick(func(m *member) bool { return m.seed })
	}
	if !due(&s.nextExchange, now, exchangeInterval) {
		return nil
	}
	return s.pick(func(m *member) bool { return m.Status <= Suspect && !s.silent[m.FailureDomain] })
}

// alone reports whether no other daemon was heard since the start.
func (s *State) alone() bool {
	for _, m := range s.members {
		if m.heard {
			return false
		}
	}
	return len(s.members) > 0
}

// pick returns the admin address of one member at random.
func (s *State) pick(ok func(*member) bool) []string {
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
