package route_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/entryside/route"
	"hemlockmast/internal/entryside/route/age"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/entryside/session/directory"
	"hemlockmast/internal/shared/logpos"
)

// The model has one group of three slots in three of four failure domains, nine
// entries, and sessions that move between them. Only replication lag and link
// delays are modelled; choices are made by the real packages.
const (
	modelTime     = 60 * time.Second
	modelSessions = 200
	modelThink    = 200 * time.Millisecond
	modelEntries  = 9
	modelDomains  = 4
	writeShare    = 0.10
	moveShare     = 0.20
	reportEvery   = 20 * time.Millisecond
	localDelay    = 50 * time.Microsecond
	modelMaxWait  = 5 * time.Millisecond
	group         = "g"
)

type router uint8

const (
	routerDirectory router = iota
	routerNoDirectory
	routerFixedTime
)

// setting is one point of the measurement.
type setting struct {
	link, lag time.Duration
	// apart says that records are synced after one link delay and applied after
	// the lag; otherwise both happen after the lag.
	apart  bool
	router router
}

type record struct {
	commit          time.Time
	synced, applied [2]time.Time
}

type modelSession struct {
	at        time.Time
	id        session.ID
	entry     int
	state     *session.State
	lastWrite time.Time
}

type schedule []*modelSession

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(*modelSession)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

type figures struct {
	reads, replica, possible, questions, stale int
	latency, acks                              []time.Duration
	direct                                     time.Duration
}

type model struct {
	setting
	random  *rand.Rand
	records []record
	copies  [directory.Copies]*directory.Table
	history age.History
	polled  time.Time
	out     figures
}

var modelStart = time.Unix(0, 0)

func measure(s setting) figures {
	m := &model{setting: s, random: rand.New(rand.NewPCG(20261204, 1)), polled: modelStart}
	for i := range m.copies {
		m.copies[i] = directory.NewTable(uint64(i+1), directory.Limits{MaxEntries: 1 << 16, TTL: time.Hour})
	}
	var queue schedule
	for i := range modelSessions {
		one := &modelSession{id: session.ID(fmt.Sprint("s", i)), entry: i % modelEntries, at: modelStart.Add(m.think())}
		one.state = session.New(one.id)
		for _, c := range m.copies {
			c.Create(modelStart, one.id)
		}
		heap.Push(&queue, one)
	}
	for queue[0].at.Sub(modelStart) < modelTime {
		one := heap.Pop(&queue).(*modelSession)
		m.poll(one.at)
		m.step(one)
		one.at = one.at.Add(m.think())
		heap.Push(&queue, one)
	}
	return m.out
}

func (m *model) think() time.Duration {
	return time.Duration(-math.Log(1-m.random.Float64()) * float64(modelThink))
}

// delay is one way between the failure domains of an entry and a slot.
func (m *model) delay(entry, slot int) time.Duration {
	if entry%modelDomains == slot {
		return localDelay
	}
	return m.link
}

func (m *model) poll(now time.Time) {
	for now.Sub(m.polled) >= reportEvery {
		m.polled = m.polled.Add(reportEvery)
		m.history.Observe(m.polled, m.primaryAt(m.polled))
	}
}

func (m *model) step(one *modelSession) {
	if m.random.Float64() < moveShare {
		one.entry = m.random.IntN(modelEntries)
		if m.router == routerNoDirectory {
			one.state = session.Resume(one.id)
		}
	}
	if m.random.Float64() < writeShare {
		m.write(one)
		return
	}
	m.read(one)
}

func (m *model) write(one *modelSession) {
	began := one.at
	commit := began.Add(m.delay(one.entry, 0))
	var previous record
	if n := len(m.records); n > 0 {
		previous = m.records[n-1]
	}
	r := record{commit: latest(commit, previous.commit)}
	for i := range r.applied {
		lag := time.Duration(float64(m.lag) * (0.5 + m.random.Float64()))
		r.applied[i] = latest(r.commit.Add(lag), previous.applied[i])
		r.synced[i] = r.applied[i]
		if m.apart {
			r.synced[i] = r.commit.Add(m.link)
		}
	}
	m.records = append(m.records, r)
	pos := logpos.Pos{Term: 1, Index: uint64(len(m.records))}
	first := 0
	if r.synced[1].Before(r.synced[0]) {
		first = 1
	}
	one.at = r.synced[first].Add(m.delay(one.entry, first+1)).Add(2 * m.link)
	one.lastWrite = one.at
	m.out.acks = append(m.out.acks, one.at.Sub(began))
	slot := slotName(first + 1)
	_ = one.state.Raise(group, pos, slot)
	for _, c := range m.copies {
		c.Record(one.at, one.id, one.state.Floors())
	}
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func slotName(slot int) string { return string(rune('a' + slot)) }

// floor returns what the entry knows, and the time at which it knows it.
func (m *model) floor(one *modelSession) (session.GroupFloor, time.Time) {
	switch m.router {
	case routerNoDirectory:
		return one.state.Floor(group), one.at
	case routerFixedTime:
		return session.GroupFloor{Group: group, Settled: true}, one.at
	}
	one.state = session.Resume(one.id)
	known := directory.Combine(len(m.copies), []directory.Answer{
		m.copies[0].Lookup(one.at, one.id), m.copies[1].Lookup(one.at, one.id),
	})
	_ = one.state.Learn(known.Floors, known.Complete)
	return one.state.Floor(group), one.at.Add(2 * m.link)
}

func (m *model) read(one *modelSession) {
	began := one.at
	floor, now := m.floor(one)
	m.out.reads++
	m.out.direct += 2 * m.delay(one.entry, 0)
	truth := m.truth(one)
	if m.couldServe(one.entry, began, truth) {
		m.out.possible++
	}
	slot, end := 0, now.Add(2*m.delay(one.entry, 0))
	if m.router != routerFixedTime || one.lastWrite.IsZero() || now.Sub(one.lastWrite) >= 2*m.lag {
		slot, end = m.route(one, floor, now)
	}
	if slot != 0 {
		m.out.replica++
		if m.appliedAt(slot-1, end.Add(-m.delay(one.entry, slot))).Less(truth) {
			m.out.stale++
		}
	}
	m.out.latency = append(m.out.latency, end.Sub(began))
	one.at = end
}

// truth is the session's last acknowledged write, which copies hold whatever the
// entry knows.
func (m *model) truth(one *modelSession) logpos.Pos {
	floor, _ := m.copies[0].Lookup(one.at, one.id).Floors.Get(group)
	return floor.Pos
}

// couldServe is what a router could do that knows all positions as they are and
// waits as long.
func (m *model) couldServe(entry int, now time.Time, floor logpos.Pos) bool {
	for i := range 2 {
		at := now.Add(m.delay(entry, i+1) + modelMaxWait)
		if !m.appliedAt(i, at).Less(floor) {
			return true
		}
	}
	return false
}

// route follows the decisions until the read is served. It returns the slot and
// when the answer is back.
func (m *model) route(one *modelSession, floor session.GroupFloor, now time.Time) (int, time.Time) {
	policy := route.Policy{Preference: route.PreferReplicas, MaxWait: modelMaxWait}
	req := route.Request{Class: route.ClassReadOnly, Floor: floor, Remaining: time.Second}
	for {
		req.FloorAge, _ = m.history.Since(now, req.Floor.Pos)
		d, err := route.Choose(req, policy, m.table(one.entry, now), m.random)
		if err != nil {
			panic(err)
		}
		slot := int(d.Slot[0] - 'a')
		way := m.delay(one.entry, slot)
		if d.Action == route.ActionAskFloor {
			m.out.questions++
			_ = one.state.Settle(group, m.primaryAt(now.Add(way)))
			req.Floor = one.state.Floor(group)
			now = now.Add(2 * way)
			continue
		}
		if d.Action == route.ActionSend {
			return slot, now.Add(2 * way)
		}
		ready := latest(now.Add(way), m.records[d.Floor.Index-1].applied[slot-1])
		if limit := now.Add(way + d.Wait); ready.After(limit) {
			now = limit.Add(way)
			req.Tried = append(req.Tried, d.Slot)
			continue
		}
		return slot, ready.Add(way)
	}
}

// table is what an entry knows: reports are up to reportEvery old, and the way
// here comes on top.
func (m *model) table(entry int, now time.Time) []route.Slot {
	slots := []route.Slot{{Name: "a", Role: endpoint.RolePrimary, Term: 1, Latency: 2 * m.delay(entry, 0)}}
	for i := range 2 {
		seen := now.Truncate(reportEvery).Add(-m.delay(entry, i+1))
		s := route.Slot{
			Name: slotName(i + 1), Role: endpoint.RoleReplica, Latency: 2 * m.delay(entry, i+1),
			Delay: m.lag, ApplyDelay: route.MinWait, Applied: m.appliedAt(i, seen), Synced: m.syncedAt(i, seen),
		}
		if m.apart {
			s.ApplyDelay = m.lag
		}
		slots = append(slots, s)
	}
	return slots
}

func (m *model) appliedAt(replica int, now time.Time) logpos.Pos {
	return m.last(func(r record) time.Time { return r.applied[replica] }, now)
}

func (m *model) syncedAt(replica int, now time.Time) logpos.Pos {
	return m.last(func(r record) time.Time { return r.synced[replica] }, now)
}

func (m *model) primaryAt(now time.Time) logpos.Pos {
	return m.last(func(r record) time.Time { return r.commit }, now)
}

// last returns the position of the last record whose time has come.
func (m *model) last(when func(record) time.Time, now time.Time) logpos.Pos {
	n := sort.Search(len(m.records), func(i int) bool { return when(m.records[i]).After(now) })
	return logpos.Pos{Term: 1, Index: uint64(n)}
}

func (f figures) percent(n int) float64 { return 100 * float64(n) / float64(f.reads) }

func modelSettings(visit func(name string, s setting)) {
	routers := map[router]string{routerDirectory: "directory", routerNoDirectory: "no-directory", routerFixedTime: "fixed-time"}
	for _, link := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
		for _, apart := range []bool{false, true} {
			for _, lag := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second} {
				for r := range router(len(routers)) {
					name := fmt.Sprintf("link=%v/apart=%v/lag=%v/%s", link, apart, lag, routers[r])
					visit(name, setting{link: link, lag: lag, apart: apart, router: r})
				}
			}
		}
	}
}

// BenchmarkReadShare reports the share of reads on replicas in percent, that of
// a router with perfect knowledge, and read latency in milliseconds.
func BenchmarkReadShare(b *testing.B) {
	modelSettings(func(name string, s setting) {
		b.Run(name, func(b *testing.B) {
			var f figures
			for b.Loop() {
				f = measure(s)
			}
			slices.Sort(f.latency)
			slices.Sort(f.acks)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(f.percent(f.replica), "%replica")
			b.ReportMetric(f.percent(f.possible), "%perfect")
			b.ReportMetric(f.percent(f.questions), "%questions")
			b.ReportMetric(f.percent(f.stale), "%stale")
			b.ReportMetric(f.latency[len(f.latency)/2].Seconds()*1e3, "p50ms")
			b.ReportMetric(f.latency[len(f.latency)*99/100].Seconds()*1e3, "p99ms")
			b.ReportMetric(f.acks[len(f.acks)/2].Seconds()*1e3, "write-p50ms")
			b.ReportMetric(f.direct.Seconds()*1e3/float64(f.reads), "direct-ms")
		})
	})
}

// TestReadShare holds the figures that were promised, and that no read is stale.
func TestReadShare(t *testing.T) {
	modelSettings(func(name string, s setting) {
		if s.router != routerDirectory {
			return
		}
		f := measure(s)
		if f.stale != 0 {
			t.Errorf("%s: %d stale reads", name, f.stale)
		}
		if s.lag == 50*time.Millisecond && !s.apart && f.percent(f.replica) < 97 {
			t.Errorf("%s: %.2f %% of reads on replicas", name, f.percent(f.replica))
		}
		if ratio := float64(f.replica) / float64(f.possible); ratio < 0.95 {
			t.Errorf("%s: %.3f of what perfect knowledge could send", name, ratio)
		}
	})
}
