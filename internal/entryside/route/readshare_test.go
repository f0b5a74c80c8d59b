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

// The model has one group of three slots, nine entries in four failure domains,
// and sessions that move between entries. The slots are in three of the failure
// domains. Only replication lag and link delays are modelled. The packages under
// test make the choices.
const (
	modelDuration    = 60 * time.Second
	modelSessions    = 200
	meanThinkTime    = 200 * time.Millisecond
	modelEntries     = 9
	modelDomains     = 4
	modelWriteShare  = 0.10
	entryChangeShare = 0.20
	reportInterval   = 20 * time.Millisecond
	localLinkDelay   = 50 * time.Microsecond
	modelMaxWait     = 5 * time.Millisecond
	group            = "g"
)

// strategy is how an entry decides whether a read may go to a replica: by the
// floor from the session directory, by the floor that it knows itself, or by
// sending reads to the primary for a fixed time after the session's last write.
type strategy uint8

const (
	strategyDirectory strategy = iota
	strategyNoDirectory
	strategyFixedWindow
)

// setting is one combination of parameters of the simulation.
type setting struct {
	link, lag time.Duration
	// apart states that records are synced after one link delay and
	// applied after the lag. Otherwise both happen after the lag.
	apart    bool
	strategy strategy
}

// record is one record of the primary's log. Slot 0 is the primary. synced and
// applied are the times at the two replicas; index i stands for slot i+1.
type record struct {
	commit          time.Time
	synced, applied [2]time.Time
}

type modelSession struct {
	// nextAt is the time of the session's next statement.
	nextAt    time.Time
	id        session.ID
	entry     int
	state     *session.State
	lastWrite time.Time
}

type schedule []*modelSession

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].nextAt.Before(s[j].nextAt) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(*modelSession)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// figures are the results of one simulation. primaryLatency is the sum of the
// round trips that the same reads would take at the primary.
type figures struct {
	reads, replicaReads, replicaPossible, floorQueries, stale int
	readLatency, writeLatency                                 []time.Duration
	primaryLatency                                            time.Duration
}

type model struct {
	setting
	random          *rand.Rand
	records         []record
	directoryCopies [directory.Copies]*directory.Table
	history         age.History
	polled          time.Time
	out             figures
}

var modelStart = time.Unix(0, 0)

func simulate(s setting) figures {
	m := &model{setting: s, random: rand.New(rand.NewPCG(20261204, 1)), polled: modelStart}
	for i := range m.directoryCopies {
		m.directoryCopies[i] = directory.NewTable(uint64(i+1), directory.Limits{MaxEntries: 1 << 16, TTL: time.Hour})
	}
	var queue schedule
	for i := range modelSessions {
		sess := &modelSession{id: session.ID(fmt.Sprint("s", i)), entry: i % modelEntries, nextAt: modelStart.Add(m.think())}
		sess.state = session.New(sess.id)
		for _, c := range m.directoryCopies {
			c.Create(modelStart, sess.id)
		}
		heap.Push(&queue, sess)
	}
	for queue[0].nextAt.Sub(modelStart) < modelDuration {
		sess := heap.Pop(&queue).(*modelSession)
		m.poll(sess.nextAt)
		m.step(sess)
		sess.nextAt = sess.nextAt.Add(m.think())
		heap.Push(&queue, sess)
	}
	return m.out
}

func (m *model) think() time.Duration {
	return time.Duration(-math.Log(1-m.random.Float64()) * float64(meanThinkTime))
}

// delay returns the one-way link delay between the failure domains of an entry
// and a slot.
func (m *model) delay(entry, slot int) time.Duration {
	if entry%modelDomains == slot {
		return localLinkDelay
	}
	return m.link
}

func (m *model) poll(now time.Time) {
	for now.Sub(m.polled) >= reportInterval {
		m.polled = m.polled.Add(reportInterval)
		m.history.Observe(m.polled, m.primaryAt(m.polled))
	}
}

func (m *model) step(sess *modelSession) {
	if m.random.Float64() < entryChangeShare {
		sess.entry = m.random.IntN(modelEntries)
		if m.strategy == strategyNoDirectory {
			sess.state = session.Resume(sess.id)
		}
	}
	if m.random.Float64() < modelWriteShare {
		m.write(sess)
		return
	}
	m.read(sess)
}

// write commits a record at the primary. Its acknowledgement follows once the
// first replica has synced the record and the directory copies, one round trip
// away, have recorded the floor.
func (m *model) write(sess *modelSession) {
	began := sess.nextAt
	commit := began.Add(m.delay(sess.entry, 0))
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
	sess.nextAt = r.synced[first].Add(m.delay(sess.entry, first+1)).Add(2 * m.link)
	sess.lastWrite = sess.nextAt
	m.out.writeLatency = append(m.out.writeLatency, sess.nextAt.Sub(began))
	slot := slotName(first + 1)
	_ = sess.state.Raise(group, pos, slot)
	for _, c := range m.directoryCopies {
		c.Record(sess.nextAt, sess.id, sess.state.Floors())
	}
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func slotName(slot int) string { return string(rune('a' + slot)) }

// floor returns the floor that the entry knows, and the time at which it knows
// it.
func (m *model) floor(sess *modelSession) (session.GroupFloor, time.Time) {
	switch m.strategy {
	case strategyNoDirectory:
		return sess.state.Floor(group), sess.nextAt
	case strategyFixedWindow:
		return session.GroupFloor{Group: group, Settled: true}, sess.nextAt
	}
	sess.state = session.Resume(sess.id)
	known := directory.Combine(len(m.directoryCopies), []directory.Answer{
		m.directoryCopies[0].Lookup(sess.nextAt, sess.id), m.directoryCopies[1].Lookup(sess.nextAt, sess.id),
	})
	_ = sess.state.Learn(known.Floors, known.Complete)
	return sess.state.Floor(group), sess.nextAt.Add(2 * m.link)
}

func (m *model) read(sess *modelSession) {
	began := sess.nextAt
	floor, now := m.floor(sess)
	m.out.reads++
	m.out.primaryLatency += 2 * m.delay(sess.entry, 0)
	acknowledgedFloor := m.acknowledgedFloor(sess)
	if m.couldServe(sess.entry, began, acknowledgedFloor) {
		m.out.replicaPossible++
	}
	slot, end := 0, now.Add(2*m.delay(sess.entry, 0))
	if m.strategy != strategyFixedWindow || sess.lastWrite.IsZero() || now.Sub(sess.lastWrite) >= 2*m.lag {
		slot, end = m.route(sess, floor, now)
	}
	if slot != 0 {
		m.out.replicaReads++
		if m.appliedAt(slot-1, end.Add(-m.delay(sess.entry, slot))).Less(acknowledgedFloor) {
			m.out.stale++
		}
	}
	m.out.readLatency = append(m.out.readLatency, end.Sub(began))
	sess.nextAt = end
}

// acknowledgedFloor returns the position of the session's last acknowledged
// write. The directory copies hold it whether or not the entry knows it.
func (m *model) acknowledgedFloor(sess *modelSession) logpos.Pos {
	floor, _ := m.directoryCopies[0].Lookup(sess.nextAt, sess.id).Floors.Get(group)
	return floor.Pos
}

// couldServe reports whether a router that knows all current positions, and
// waits as long, could send the read to a replica.
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
// the time at which the entry receives the reply.
func (m *model) route(sess *modelSession, floor session.GroupFloor, now time.Time) (int, time.Time) {
	policy := route.Policy{Preference: route.PreferReplicas, MaxWait: modelMaxWait}
	req := route.Request{Class: route.ClassReadOnly, Floor: floor, Remaining: time.Second}
	for {
		req.FloorAge, _ = m.history.Since(now, req.Floor.Pos)
		d, err := route.Choose(req, policy, m.slotTable(sess.entry, now), m.random)
		if err != nil {
			panic(err)
		}
		slot := int(d.Slot[0] - 'a')
		oneWay := m.delay(sess.entry, slot)
		if d.Action == route.ActionAskFloor {
			m.out.floorQueries++
			_ = sess.state.Settle(group, m.primaryAt(now.Add(oneWay)))
			req.Floor = sess.state.Floor(group)
			now = now.Add(2 * oneWay)
			continue
		}
		if d.Action == route.ActionSend {
			return slot, now.Add(2 * oneWay)
		}
		ready := latest(now.Add(oneWay), m.records[d.Floor.Index-1].applied[slot-1])
		if limit := now.Add(oneWay + d.Wait); ready.After(limit) {
			now = limit.Add(oneWay)
			req.Tried = append(req.Tried, d.Slot)
			continue
		}
		return slot, ready.Add(oneWay)
	}
}

// slotTable returns what an entry knows of the slots. Reports are up to
// reportInterval old, plus the link delay.
func (m *model) slotTable(entry int, now time.Time) []route.Slot {
	slots := []route.Slot{{Name: "a", Role: endpoint.RolePrimary, Term: 1, Latency: 2 * m.delay(entry, 0)}}
	for i := range 2 {
		seen := now.Truncate(reportInterval).Add(-m.delay(entry, i+1))
		s := route.Slot{
			Name: slotName(i + 1), Role: endpoint.RoleReplica, Latency: 2 * m.delay(entry, i+1),
			ReplicationDelay: m.lag, ApplyDelay: route.MinWait, Applied: m.appliedAt(i, seen), Synced: m.syncedAt(i, seen),
		}
		if m.apart {
			s.ApplyDelay = m.lag
		}
		slots = append(slots, s)
	}
	return slots
}

func (m *model) appliedAt(replica int, now time.Time) logpos.Pos {
	return m.lastPosition(func(r record) time.Time { return r.applied[replica] }, now)
}

func (m *model) syncedAt(replica int, now time.Time) logpos.Pos {
	return m.lastPosition(func(r record) time.Time { return r.synced[replica] }, now)
}

func (m *model) primaryAt(now time.Time) logpos.Pos {
	return m.lastPosition(func(r record) time.Time { return r.commit }, now)
}

// lastPosition returns the position of the last record whose time, as given by
// when, is not after now.
func (m *model) lastPosition(when func(record) time.Time, now time.Time) logpos.Pos {
	n := sort.Search(len(m.records), func(i int) bool { return when(m.records[i]).After(now) })
	return logpos.Pos{Term: 1, Index: uint64(n)}
}

func (f figures) percent(n int) float64 { return 100 * float64(n) / float64(f.reads) }

func modelSettings(visit func(name string, s setting)) {
	routers := map[strategy]string{strategyDirectory: "directory", strategyNoDirectory: "no-directory", strategyFixedWindow: "fixed-time"}
	for _, link := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
		for _, apart := range []bool{false, true} {
			for _, lag := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second} {
				for r := range strategy(len(routers)) {
					name := fmt.Sprintf("link=%v/apart=%v/lag=%v/%s", link, apart, lag, routers[r])
					visit(name, setting{link: link, lag: lag, apart: apart, strategy: r})
				}
			}
		}
	}
}

// BenchmarkReadShare reports the percentage of reads that replicas served, that
// a router with perfect knowledge could send there (%perfect), that asked the
// primary for a floor (%questions) and that were stale. It also reports, in
// milliseconds, the latency of reads and writes, and the mean latency that the
// same reads would have at the primary (direct-ms).
func BenchmarkReadShare(b *testing.B) {
	modelSettings(func(name string, s setting) {
		b.Run(name, func(b *testing.B) {
			var f figures
			for b.Loop() {
				f = simulate(s)
			}
			slices.Sort(f.readLatency)
			slices.Sort(f.writeLatency)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(f.percent(f.replicaReads), "%replica")
			b.ReportMetric(f.percent(f.replicaPossible), "%perfect")
			b.ReportMetric(f.percent(f.floorQueries), "%questions")
			b.ReportMetric(f.percent(f.stale), "%stale")
			b.ReportMetric(f.readLatency[len(f.readLatency)/2].Seconds()*1e3, "p50ms")
			b.ReportMetric(f.readLatency[len(f.readLatency)*99/100].Seconds()*1e3, "p99ms")
			b.ReportMetric(f.writeLatency[len(f.writeLatency)/2].Seconds()*1e3, "write-p50ms")
			b.ReportMetric(f.primaryLatency.Seconds()*1e3/float64(f.reads), "direct-ms")
		})
	})
}

// TestReadShare checks the guaranteed share of reads at replicas, and that no
// read is stale.
func TestReadShare(t *testing.T) {
	modelSettings(func(name string, s setting) {
		if s.strategy != strategyDirectory {
			return
		}
		f := simulate(s)
		if f.stale != 0 {
			t.Errorf("%s: %d stale reads", name, f.stale)
		}
		if s.lag == 50*time.Millisecond && !s.apart && f.percent(f.replicaReads) < 97 {
			t.Errorf("%s: %.2f %% of reads on replicas", name, f.percent(f.replicaReads))
		}
		if ratio := float64(f.replicaReads) / float64(f.replicaPossible); ratio < 0.95 {
			t.Errorf("%s: %.3f of what perfect knowledge could send", name, ratio)
		}
	})
}
