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

// start is the start time of the followers in the tests.
var start = time.Unix(1_000_000, 0)

// sec returns the time s seconds after start.
func sec(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func configuration(revision uint64) *service.Configuration {
	return &service.Configuration{
		Revision: revision,
		Groups:   []*service.Group{{Name: fmt.Sprint("g", revision)}},
	}
}

// response returns a poll response at the given revision. The responder held the
// poll for held seconds and was confirmed age seconds before the end of them.
func response(revision uint64, held, age float64) *confspread.PollResponse {
	return &confspread.PollResponse{
		Revision:       revision,
		Update:         &configpb.Update{Kind: &configpb.Update_Snapshot{Snapshot: configuration(revision)}},
		HeldUs:         int64(held * 1e6),
		Confirmed:      true,
		ConfirmedAgeUs: int64(age * 1e6),
	}
}

// TestFollower applies at most one response, sent at sentAt seconds, and checks
// revision and mode at a later time.
func TestFollower(t *testing.T) {
	const starting, confirmed, unconfirmed = confspread.Mode_MODE_STARTING,
		confspread.Mode_MODE_CONFIRMED, confspread.Mode_MODE_UNCONFIRMED
	withoutConfirmation := response(7, 0, 0)
	withoutConfirmation.Confirmed = false
	withoutUpdate := response(7, 0, 0)
	withoutUpdate.Update = nil
	cases := []struct {
		name     string
		stored   uint64
		sentAt   float64
		response *confspread.PollResponse
		at       float64
		revision uint64
		mode     confspread.Mode
		fails    bool
	}{
		{"no response, nothing stored", 0, 0, nil, 100, 0, starting, false},
		{"no response, stored, before the startup timeout", 5, 0, nil, 2.9, 5, starting, false},
		{"no response, stored, at the startup timeout", 5, 0, nil, 3, 5, unconfirmed, false},
		{"confirmed", 0, 1, response(7, 0, 0), 2, 7, confirmed, false},
		{"confirmation too old", 0, 1, response(7, 0, 0), 11.1, 7, unconfirmed, false},
		{"relay confirmed before the start", 0, 1, response(7, 0, 1.1), 2, 7, starting, false},
		{"relay confirmed before the start, stored", 5, 1, response(7, 0, 1.1), 4, 7, unconfirmed, false},
		{"relay confirmed while it held the poll", 0, 0, response(7, 1, 0.9), 2, 7, confirmed, false},
		{"age counts from the end of the hold time", 0, 0, response(7, 1, 0), 11.1, 7, unconfirmed, false},
		{"relay without a confirmation", 0, 1, withoutConfirmation, 100, 7, starting, false},
		{"stale relay", 9, 1, response(7, 0, 0), 2, 9, confirmed, false},
		{"later revision without an update", 5, 1, withoutUpdate, 2, 5, starting, true},
		{"negative hold time", 5, 1, response(7, -1, 0), 2, 5, starting, true},
		{"negative age", 5, 1, response(7, 0, -1), 2, 5, starting, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, err := NewFollower(start, configuration(tc.stored))
			assert.NilError(t, err)
			if tc.response != nil {
				_, err := f.ApplyResponse(sec(tc.sentAt), tc.response)
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
		_, err := f.ApplyResponse(sec(sentAt), response(7, 0, 0))
		assert.NilError(t, err)
	}
	assert.Equal(t, f.ConfirmedAt(), sec(5))
}

// members returns all seven daemons, of which two are of other domains, and the
// five of domain d by rank.
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

// TestUpstreamSelector records failures and polls at the daemon of rank self and
// checks which process it selects 20 seconds after the start.
func TestUpstreamSelector(t *testing.T) {
	type event struct {
		target Target
		kind   FailureKind
		at     float64
	}
	all, ranked := members()
	daemon := func(rank int) Target { return Target{Addr: ranked[rank].Addr} }
	unresponsive := func(target Target, at float64) event { return event{target, FailureUnresponsive, at} }
	stale := func(target Target, at float64) event { return event{target, FailureStale, at} }
	c1, c2 := Target{Addr: "c1", Control: true}, Target{Addr: "c2", Control: true}
	otherRelays := relaysOutside(all, "d")
	e0, e1 := Target{Addr: otherRelays[0].Addr}, Target{Addr: otherRelays[1].Addr}
	withNotLive := func(rank int) []Member {
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
		{"relay not live", 3, withNotLive(0), nil, -1, daemon(1)},
		{"relay not live, this one next", 1, withNotLive(0), nil, -1, c1},
		{"relay unresponsive", 3, all, []event{unresponsive(daemon(0), 19)}, -1, daemon(1)},
		{"relay unresponsive, this one next", 1, all, []event{unresponsive(daemon(0), 19)}, -1, c1},
		{"relay stale, this one next", 1, all, []event{stale(daemon(0), 19)}, -1, c1},
		{"relay unresponsive, backoff over", 3, all, []event{unresponsive(daemon(0), 14)}, -1, daemon(0)},
		{"relay unresponsive twice", 3, all, []event{unresponsive(daemon(0), 6), unresponsive(daemon(0), 14)}, -1, daemon(1)},
		{"two relays unresponsive", 3, all, []event{unresponsive(daemon(0), 19), unresponsive(daemon(1), 19)}, -1, daemon(2)},
		{"three relays unresponsive, this one next", 3, all, []event{unresponsive(daemon(0), 19),
			unresponsive(daemon(1), 19), unresponsive(daemon(2), 19)}, -1, c1},
		{"three relays stale", 3, all, []event{stale(daemon(0), 19),
			stale(daemon(1), 17), stale(daemon(2), 18)}, -1, daemon(1)},
		{"not a member, others failed", 2, []Member{ranked[0], ranked[1], ranked[3]}, []event{
			unresponsive(daemon(0), 16), stale(daemon(1), 19), unresponsive(daemon(3), 17)}, -1, c1},
		{"control stale, all else unresponsive longer ago", 0, all, []event{stale(c1, 19), stale(c2, 18),
			unresponsive(e0, 17), unresponsive(e1, 17), unresponsive(daemon(1), 17), unresponsive(daemon(2), 17)}, -1, c2},
		{"polled by another", 3, all, nil, 11, c1},
		{"polled by another, idle timeout over", 3, all, nil, 10, daemon(0)},
		{"control process unresponsive", 0, all, []event{unresponsive(c1, 19)}, -1, c2},
		{"control stale", 0, all, []event{stale(c1, 19), stale(c2, 19)}, -1, e0},
		{"daemon at a control address unresponsive", 0, all, []event{unresponsive(Target{Addr: "c1"}, 19)}, -1, c1},
		{"control and other domains unresponsive", 0, all, []event{unresponsive(c1, 19), unresponsive(c2, 19),
			unresponsive(e0, 19), unresponsive(e1, 19)}, -1, daemon(1)},
		{"everything unresponsive", 0, all, []event{unresponsive(c1, 18), unresponsive(c2, 17), unresponsive(e0, 19),
			unresponsive(e1, 19), unresponsive(daemon(1), 16), unresponsive(daemon(2), 19)}, -1, daemon(1)},
		{"only member", 0, ranked[:1], []event{unresponsive(c1, 19), unresponsive(c2, 18)}, -1, c2},
		{"no members known", 0, nil, []event{unresponsive(c1, 19), unresponsive(c2, 18)}, -1, c2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			selector := NewUpstreamSelector(ranked[tc.self])
			if tc.polledAt >= 0 {
				selector.RecordPolled(sec(tc.polledAt))
			}
			for _, e := range tc.events {
				selector.RecordFailure(e.target, e.kind, sec(e.at))
			}
			assert.Equal(t, selector.Select(sec(20), []string{"c1", "c2"}, tc.members), tc.want)
			for _, e := range tc.events {
				selector.RecordSuccess(e.target)
			}
			assert.Equal(t, len(selector.failures), 0)
		})
	}
	assert.Equal(t, NewUpstreamSelector(ranked[0]).Select(start, nil, nil), Target{})
}

// TestDisagreeingDaemonsReachControl has two daemons that each take the other
// for the relay. Without the rule that a polled daemon relays, they would poll
// each other and never reach control.
func TestDisagreeingDaemonsReachControl(t *testing.T) {
	_, ranked := members()
	for rank, live := range [][]Member{{ranked[1]}, {ranked[0]}} {
		selector := NewUpstreamSelector(ranked[rank])
		assert.Equal(t, selector.Select(start, []string{"c1"}, live).Control, false)
		selector.RecordPolled(start)
		assert.Equal(t, selector.Select(start, []string{"c1"}, live).Control, true)
	}
}

func report(relay string, revision uint64, ageMs int64, names ...string) *confspread.DomainReport {
	out := &confspread.DomainReport{FailureDomain: "d", Relay: relay}
	for _, name := range names {
		out.Members = append(out.Members, &confspread.MemberReport{Name: name, Revision: revision, AgeMs: ageMs})
	}
	return out
}

// TestRevisionTracker checks the status of daemon m0 at control after reports.
func TestRevisionTracker(t *testing.T) {
	all, _ := members()
	cases := []struct {
		name      string
		reports   []*confspread.DomainReport
		at        float64
		revision  uint64
		reachable bool
		ageMs     int64
	}{
		{"never seen", nil, 1, 0, false, -1},
		{"seen", []*confspread.DomainReport{report("r", 7, 0, "m0")}, 1, 7, true, 1000},
		{"relay stopped reporting", []*confspread.DomainReport{report("r", 7, 0, "m0")}, 6.1, 7, false, 6100},
		{"daemon stopped polling", []*confspread.DomainReport{report("r", 7, 5500, "m0")}, 1, 7, false, 6500},
		{"daemon omitted from a later report", []*confspread.DomainReport{report("r", 7, 0, "m0"), report("r", 8, 0)}, 7, 7, false, 7000},
		{"former relay reports after the current one", []*confspread.DomainReport{
			report("new", 8, 0, "m0"), report("old", 7, 2000, "m0")}, 1, 8, true, 1000},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tracker := NewRevisionTracker()
			for _, r := range tc.reports {
				tracker.Report(start, r)
			}
			status := tracker.Status(sec(tc.at), all)
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

func TestRevisionTrackerIsBounded(t *testing.T) {
	tracker := NewRevisionTracker()
	for i := range maxTrackedMembers + 5 {
		tracker.Report(sec(float64(i)), report("r", 1, 0, fmt.Sprint("x", i)))
	}
	assert.Equal(t, len(tracker.members), maxTrackedMembers)
	assert.Assert(t, tracker.members[memberKey{"d", "x4"}] == nil)
	later := sec(maxTrackedMembers + 5).Add(nonMemberRetention)
	assert.Equal(t, len(tracker.Status(later, nil)), 0)
	assert.Equal(t, len(tracker.members), 0)
}

// TestDomainReport checks which polls count as changes, and that the report
// omits a daemon that stopped polling.
func TestDomainReport(t *testing.T) {
	tracker := NewRevisionTracker()
	poll := func(at float64, name string, revision uint64) bool {
		return tracker.RecordPoll(sec(at), &confspread.PollRequest{InForce: revision,
			From: &confspread.Member{Name: name, FailureDomain: "d"}})
	}
	assert.Equal(t, poll(0, "m0", 7), true)
	assert.Equal(t, poll(5, "m1", 7), true)
	assert.Equal(t, poll(6, "m1", 7), false)
	assert.Equal(t, poll(7, "m1", 8), true)
	got := tracker.DomainReport(sec(7), "d", "r")
	assert.Equal(t, len(got.Members), 1)
	assert.Equal(t, got.Members[0].Name, "m1")
	assert.Equal(t, got.Members[0].Revision, uint64(8))
}
