package spreadstate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
)

// start is when the followers of the tests start.
var start = time.Unix(1_000_000, 0)

// sec returns the moment s seconds after start.
func sec(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func configuration(revision uint64) *service.Configuration {
	return &service.Configuration{
		Revision: revision,
		Groups:   []*service.Group{{Name: fmt.Sprint("g", revision)}},
	}
}

// answer is an answer at revision that was confirmed age seconds before the
// end of held seconds.
func answer(revision uint64, held, age float64) *confspread.PollResponse {
	return &confspread.PollResponse{
		Revision:       revision,
		Update:         &configpb.Update{Kind: &configpb.Update_Snapshot{Snapshot: configuration(revision)}},
		HeldUs:         int64(held * 1e6),
		Confirmed:      true,
		ConfirmedAgeUs: int64(age * 1e6),
	}
}

// TestFollower gives a follower one answer after its start and looks at it
// later.
func TestFollower(t *testing.T) {
	const starting, confirmed, unconfirmed = confspread.Mode_MODE_STARTING,
		confspread.Mode_MODE_CONFIRMED, confspread.Mode_MODE_UNCONFIRMED
	unsaid := answer(7, 0, 0)
	unsaid.Confirmed = false
	withheld := answer(7, 0, 0)
	withheld.Update = nil
	cases := []struct {
		name     string
		stored   uint64
		sentAt   float64
		answer   *confspread.PollResponse
		at       float64
		revision uint64
		mode     confspread.Mode
		fails    bool
	}{
		{"no answer, no disk", 0, 0, nil, 100, 0, starting, false},
		{"no answer, stored, early", 5, 0, nil, 2.9, 5, starting, false},
		{"no answer, stored, later", 5, 0, nil, 3, 5, unconfirmed, false},
		{"confirmed", 0, 1, answer(7, 0, 0), 2, 7, confirmed, false},
		{"confirmed, then silence", 0, 1, answer(7, 0, 0), 11.1, 7, unconfirmed, false},
		{"relay confirmed before the start", 0, 1, answer(7, 0, 1.1), 2, 7, starting, false},
		{"relay confirmed before the start, stored", 5, 1, answer(7, 0, 1.1), 4, 7, unconfirmed, false},
		{"relay confirmed while it held the poll", 0, 0, answer(7, 1, 0.9), 2, 7, confirmed, false},
		{"late answer is as old as its confirmation", 0, 0, answer(7, 1, 0), 11.1, 7, unconfirmed, false},
		{"relay that never had a confirmation", 0, 1, unsaid, 100, 7, starting, false},
		{"stale relay", 9, 1, answer(7, 0, 0), 2, 9, confirmed, false},
		{"later revision withheld", 5, 1, withheld, 2, 5, starting, true},
		{"negative hold time", 5, 1, answer(7, -1, 0), 2, 5, starting, true},
		{"negative age", 5, 1, answer(7, 0, -1), 2, 5, starting, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, err := NewFollower(start, configuration(tc.stored))
			assert.NilError(t, err)
			if tc.answer != nil {
				_, err := f.Answer(sec(tc.sentAt), tc.answer)
				assert.Equal(t, err != nil, tc.fails, "%v", err)
			}
			assert.Equal(t, f.Versions().Revision(), tc.revision)
			assert.Equal(t, f.Mode(sec(tc.at)), tc.mode)
		})
	}
}

func TestOlderConfirmationDoesNotReplaceLater(t *testing.T) {
	f, err := NewFollower(start, nil)
	assert.NilError(t, err)
	for _, sentAt := range []float64{5, 2} {
		_, err := f.Answer(sec(sentAt), answer(7, 0, 0))
		assert.NilError(t, err)
	}
	assert.Equal(t, f.ConfirmedAt(), sec(5))
}

// members returns two daemons of other domains and five of domain d, these in
// the order of their rank.
func members() ([]Member, []Member) {
	var all []Member
	for i := range 7 {
		domain := "d"
		if i >= 5 {
			domain = fmt.Sprint("other", i)
		}
		name := fmt.Sprint("m", i)
		all = append(all, Member{Name: name, FailureDomain: domain, Addr: name + ":1", Live: true})
	}
	return all, Rank(all, "d")
}

// TestChooser lets the daemon of rank self see failures and polls, and looks
// at whom it polls 20 seconds after the start.
func TestChooser(t *testing.T) {
	type event struct {
		target Target
		kind   Failure
		at     float64
	}
	all, ranked := members()
	daemon := func(rank int) Target { return Target{Addr: ranked[rank].Addr} }
	silent := func(target Target, at float64) event { return event{target, FailureSilent, at} }
	stale := func(target Target, at float64) event { return event{target, FailureStale, at} }
	c1, c2 := Target{Addr: "c1", Control: true}, Target{Addr: "c2", Control: true}
	elsewhere := relaysElsewhere(all, "d")
	e0, e1 := Target{Addr: elsewhere[0].Addr}, Target{Addr: elsewhere[1].Addr}
	notLive := func(rank int) []Member {
		out := slices.Clone(all)
		i := slices.IndexFunc(out, func(m Member) bool { return m.Name == ranked[rank].Name })
		out[i].Live = false
		return out
	}
	cases := []struct {
		name     string
		self     int
		members  []Member
		events   []event
		polledAt float64
		want     Target
	}{
		{"relay", 0, all, nil, -1, c1},
		{"daemon", 3, all, nil, -1, daemon(0)},
		{"relay not live", 3, notLive(0), nil, -1, daemon(1)},
		{"relay not live, this one next", 1, notLive(0), nil, -1, c1},
		{"relay silent", 3, all, []event{silent(daemon(0), 19)}, -1, daemon(1)},
		{"relay silent, this one next", 1, all, []event{silent(daemon(0), 19)}, -1, c1},
		{"relay stale, this one next", 1, all, []event{stale(daemon(0), 19)}, -1, c1},
		{"relay silent long ago", 3, all, []event{silent(daemon(0), 14)}, -1, daemon(0)},
		{"relay silent twice", 3, all, []event{silent(daemon(0), 6), silent(daemon(0), 14)}, -1, daemon(1)},
		{"two relays silent", 3, all, []event{silent(daemon(0), 19), silent(daemon(1), 19)}, -1, daemon(2)},
		{"three relays silent, this one next", 3, all, []event{silent(daemon(0), 19),
			silent(daemon(1), 19), silent(daemon(2), 19)}, -1, c1},
		{"three relays stale", 3, all, []event{stale(daemon(0), 19),
			stale(daemon(1), 17), stale(daemon(2), 18)}, -1, daemon(1)},
		{"not a member, others failed", 2, []Member{ranked[0], ranked[1], ranked[3]}, []event{
			silent(daemon(0), 16), stale(daemon(1), 19), silent(daemon(3), 17)}, -1, c1},
		{"control without quorum, all else silent longer ago", 0, all, []event{stale(c1, 19), stale(c2, 18),
			silent(e0, 17), silent(e1, 17), silent(daemon(1), 17), silent(daemon(2), 17)}, -1, c2},
		{"polled by another", 3, all, nil, 11, c1},
		{"polled by another long ago", 3, all, nil, 10, daemon(0)},
		{"control process silent", 0, all, []event{silent(c1, 19)}, -1, c2},
		{"control without quorum", 0, all, []event{stale(c1, 19), stale(c2, 19)}, -1, e0},
		{"daemon beside control silent", 0, all, []event{silent(Target{Addr: "c1"}, 19)}, -1, c1},
		{"control and other domains silent", 0, all, []event{silent(c1, 19), silent(c2, 19),
			silent(e0, 19), silent(e1, 19)}, -1, daemon(1)},
		{"everything silent", 0, all, []event{silent(c1, 18), silent(c2, 17), silent(e0, 19),
			silent(e1, 19), silent(daemon(1), 16), silent(daemon(2), 19)}, -1, daemon(1)},
		{"alone", 0, ranked[:1], []event{silent(c1, 19), silent(c2, 18)}, -1, c2},
		{"nobody known", 0, nil, []event{silent(c1, 19), silent(c2, 18)}, -1, c2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := NewChooser(ranked[tc.self])
			if tc.polledAt >= 0 {
				c.Polled(sec(tc.polledAt))
			}
			for _, e := range tc.events {
				c.Failed(e.target, e.kind, sec(e.at))
			}
			assert.Equal(t, c.Choose(sec(20), []string{"c1", "c2"}, tc.members), tc.want)
			for _, e := range tc.events {
				c.Succeeded(e.target)
			}
			assert.Equal(t, len(c.failures), 0)
		})
	}
	assert.Equal(t, NewChooser(ranked[0]).Choose(start, nil, nil), Target{})
}

// TestDisagreeingDaemonsReachControl lets two daemons each take the other for
// the relay; after one poll each, both ask control.
func TestDisagreeingDaemonsReachControl(t *testing.T) {
	_, ranked := members()
	for rank, live := range [][]Member{{ranked[1]}, {ranked[0]}} {
		c := NewChooser(ranked[rank])
		assert.Equal(t, c.Choose(start, []string{"c1"}, live).Control, false)
		c.Polled(start)
		assert.Equal(t, c.Choose(start, []string{"c1"}, live).Control, true)
	}
}

func report(relay string, revision uint64, ageMs int64, names ...string) *confspread.DomainReport {
	out := &confspread.DomainReport{FailureDomain: "d", Relay: relay}
	for _, name := range names {
		out.Members = append(out.Members, &confspread.MemberReport{Name: name, Revision: revision, AgeMs: ageMs})
	}
	return out
}

// TestBoard shows what control says of daemon m0 after reports.
func TestBoard(t *testing.T) {
	all, _ := members()
	cases := []struct {
		name      string
		reports   []*confspread.DomainReport
		at        float64
		revision  uint64
		reachable bool
		ageMs     int64
	}{
		{"never heard of", nil, 1, 0, false, -1},
		{"heard of", []*confspread.DomainReport{report("r", 7, 0, "m0")}, 1, 7, true, 1000},
		{"relay went silent", []*confspread.DomainReport{report("r", 7, 0, "m0")}, 6.1, 7, false, 6100},
		{"daemon went silent", []*confspread.DomainReport{report("r", 7, 5500, "m0")}, 1, 7, false, 6500},
		{"daemon left out", []*confspread.DomainReport{report("r", 7, 0, "m0"), report("r", 8, 0)}, 7, 7, false, 7000},
		{"old relay reports after the new one", []*confspread.DomainReport{
			report("new", 8, 0, "m0"), report("old", 7, 2000, "m0")}, 1, 8, true, 1000},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := NewBoard()
			for _, r := range tc.reports {
				b.Report(start, r)
			}
			status := b.Status(sec(tc.at), all)
			assert.Equal(t, len(status), 3)
			assert.Equal(t, len(status[0].Members), 5)
			m0 := status[0].Members[0]
			assert.Equal(t, m0.Name, "m0")
			assert.Equal(t, m0.Revision, tc.revision)
			assert.Equal(t, m0.Reachable, tc.reachable)
			assert.Equal(t, m0.AgeMs, tc.ageMs)
		})
	}
}

func TestBoardIsBounded(t *testing.T) {
	b := NewBoard()
	for i := range maxBoardMembers + 5 {
		b.Report(sec(float64(i)), report("r", 1, 0, fmt.Sprint("x", i)))
	}
	assert.Equal(t, len(b.members), maxBoardMembers)
	assert.Assert(t, b.members[memberKey{"d", "x4"}] == nil)
	later := sec(maxBoardMembers + 5).Add(forgetAfter)
	assert.Equal(t, len(b.Status(later, nil)), 0)
	assert.Equal(t, len(b.members), 0)
}

// TestDomainReport shows what a relay notes and reports.
func TestDomainReport(t *testing.T) {
	b := NewBoard()
	poll := func(at float64, name string, revision uint64) bool {
		return b.Poll(sec(at), &confspread.PollRequest{InForce: revision,
			From: &confspread.Member{Name: name, FailureDomain: "d"}})
	}
	assert.Equal(t, poll(0, "m0", 7), true)
	assert.Equal(t, poll(5, "m1", 7), true)
	assert.Equal(t, poll(6, "m1", 7), false)
	assert.Equal(t, poll(7, "m1", 8), true)
	got := b.DomainReport(sec(7), "d", "r")
	assert.Equal(t, len(got.Members), 1)
	assert.Equal(t, got.Members[0].Name, "m1")
	assert.Equal(t, got.Members[0].Revision, uint64(8))
}
