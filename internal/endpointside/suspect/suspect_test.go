package suspect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func report(observer, domain string, level Level) Report {
	return Report{Observer: observer, Domain: domain, Slot: "a", Level: level}
}

func confirmation(domain string, level Level) Confirmation {
	return Confirmation{Domain: domain, Slot: "a", Level: level}
}

// timedEvent is an event at a time in milliseconds and the effects that it must
// cause.
type timedEvent struct {
	at    int
	event Event
	want  []Effect
}

func TestJudge(t *testing.T) {
	ask := func(domains ...string) []Effect { return []Effect{AskConfirm{Slot: "a", Except: domains}} }
	confirmed, unconfirmed := []Effect{Promote{"a", true}}, []Effect{Promote{"a", false}}
	cleared := []Effect{Cleared{"a"}}
	for _, tc := range []struct {
		name  string
		steps []timedEvent
	}{
		{"primary killed, both holders in its domain", []timedEvent{
			{0, report("x", "d1", Unreachable), nil},
			{1, report("y", "d1", Unreachable), ask("d1")},
			{3, confirmation("d2", Undialable), confirmed},
			{4, report("z", "d3", Unreachable), nil},
		}},
		{"one holder and a failed dial", []timedEvent{
			{0, report("x", "d1", Undialable), ask("d1")},
			{2, confirmation("d2", Unreachable), confirmed},
		}},
		{"failure domain cut off: holders elsewhere confirm each other", []timedEvent{
			{0, report("x", "d1", Unreachable), nil},
			{9, report("y", "d2", Unreachable), confirmed},
		}},
		{"second domain reports before the answer", []timedEvent{
			{0, report("x", "d1", Undialable), ask("d1")},
			{5, report("y", "d2", Unreachable), confirmed},
		}},
		{"a single holder that is cut off causes nothing", []timedEvent{
			{0, report("x", "d1", Unreachable), nil},
			{900, report("x", "d1", Unreachable), nil},
			{1899, Tick{}, nil},
		}},
		{"one-way partition: the other domain answers that the primary is well", []timedEvent{
			{0, report("x", "d1", Undialable), ask("d1")},
			{2, confirmation("d2", Well), nil},
			{400, report("x", "d1", Undialable), nil},
			{502, Tick{}, ask("d1")},
			{504, confirmation("d2", Well), nil},
		}},
		{"the reporting domain does not confirm itself", []timedEvent{
			{0, report("x", "d1", Undialable), ask("d1")},
			{2, confirmation("d1", Undialable), nil},
		}},
		{"partition with a majority on this side: no other domain answers", []timedEvent{
			{0, report("x", "d1", Undialable), ask("d1")},
			{249, Tick{}, nil},
			{250, Tick{}, ask("d1")},
			{500, report("x", "d1", Undialable), ask("d1")},
			{600, Tick{}, unconfirmed},
		}},
		{"primary paused and resumed before the confirmation", []timedEvent{
			{0, report("x", "d1", Unreachable), nil},
			{1, report("y", "d1", Unreachable), ask("d1")},
			{2, report("x", "d1", Well), cleared},
			{3, confirmation("d2", Undialable), nil},
		}},
		{"reports of a dead observer expire", []timedEvent{
			{0, report("x", "d1", Unreachable), nil},
			{999, Tick{}, nil},
			{1000, report("y", "d2", Unreachable), nil},
		}},
		{"no replica confirms", []timedEvent{
			{0, report("x", "d1", Stalled), nil},
			{1, report("y", "d2", Stalled), []Effect{AskConfirm{Slot: "a", Except: []string{"d1", "d2"}, Replication: true}}},
			{700, report("x", "d1", Stalled), []Effect{AskConfirm{Slot: "a", Except: []string{"d1", "d2"}, Replication: true}}},
			{710, confirmation("d3", Stalled), confirmed},
		}},
		{"report about a slot that is not the primary", []timedEvent{
			{0, Report{"x", "d1", "b", Undialable}, nil},
			{1, Confirmation{"d2", "b", Undialable}, nil},
		}},
		{"second failure right after a promotion waits for the minimum gap", []timedEvent{
			{0, PrimaryChanged{"a"}, nil},
			{50, report("x", "d1", Undialable), nil},
			{199, Tick{}, nil},
			{200, Tick{}, ask("d1")},
			{201, confirmation("d2", Undialable), confirmed},
			{300, PrimaryChanged{"a"}, nil},
			{600, report("x", "d1", Undialable), nil},
			{700, Tick{}, ask("d1")},
		}},
		{"promotion failed, primary still unreachable", []timedEvent{
			{0, report("x", "d1", Undialable), ask("d1")},
			{1, confirmation("d2", Undialable), confirmed},
			{900, report("x", "d1", Undialable), nil},
			{901, PromotionFailed{}, ask("d1")},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			j := NewJudge("a", DefaultTiming())
			for _, m := range tc.steps {
				got := j.Step(start.Add(time.Duration(m.at)*time.Millisecond), m.event)
				assert.DeepEqual(t, got, m.want)
			}
		})
	}
}

func TestDetector(t *testing.T) {
	steps := map[byte]func(d *Detector) bool{
		'a': func(d *Detector) bool { return d.Answered(time.Millisecond) },
		'm': (*Detector).Missed,
		'b': func(d *Detector) bool { d.Broken(); return false },
		'd': (*Detector).DialFailed,
		's': (*Detector).Stalled,
	}
	for _, tc := range []struct {
		name, events string
		want         Level
	}{
		{"one probe lost", "aama", Well},
		{"two probes lost", "aamm", Unreachable},
		{"connection broken, endpoint well", "aba", Well},
		{"connection broken, probe lost", "abm", Unreachable},
		{"probe lost after the connection was replaced", "abam", Well},
		{"dial refused", "ad", Undialable},
		{"dial refused, then no answers", "admm", Undialable},
		{"hysteresis: two answers", "ammaa", Unreachable},
		{"hysteresis: answers interrupted by a broken connection", "ammaaba", Unreachable},
		{"hysteresis: three answers", "ammaaa", Well},
		{"stalled, then no answers", "asmm", Unreachable},
	} {
		var d Detector
		before := d.Level()
		for i := range len(tc.events) {
			changed := steps[tc.events[i]](&d)
			assert.Equal(t, changed, d.Level() != before, tc.name)
			before = d.Level()
		}
		assert.Equal(t, d.Level(), tc.want, tc.name)
	}
}

func TestProbeTimeoutFollowsRoundTrips(t *testing.T) {
	var d Detector
	assert.Equal(t, d.Timeout(), minProbeTimeout)
	for range 50 {
		d.Answered(time.Millisecond)
	}
	assert.Equal(t, d.Timeout(), minProbeTimeout)
	for i := range 50 {
		d.Answered(time.Duration(100+100*(i%2)) * time.Millisecond)
	}
	assert.Assert(t, d.Timeout() > 250*time.Millisecond && d.Timeout() < 500*time.Millisecond, "%v", d.Timeout())
	for range 50 {
		d.Answered(time.Minute)
	}
	assert.Equal(t, d.Timeout(), maxProbeTimeout)
}

// TestJudgeNeverActsOnOneObserverThatCanDial checks with random events that a
// single observer whose dials succeed never causes a promotion, and that no
// promotion is requested while another is in progress.
func TestJudgeNeverActsOnOneObserverThatCanDial(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, now, promoting := NewJudge("a", DefaultTiming()), start, false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			var effects []Effect
			observers, strongest := 0, Well
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0, 1, 2:
				name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "observer")
				effects = j.Step(now, report(name, "d"+name, Level(rapid.IntRange(0, 3).Draw(t, "level"))))
			case 3:
				effects = j.Step(now, confirmation(rapid.SampledFrom([]string{"dx", "dy", "dz"}).Draw(t, "domain"), Level(rapid.IntRange(0, 3).Draw(t, "level"))))
			case 4:
				effects = j.Step(now, Tick{})
			case 5:
				if promoting {
					effects, promoting = j.Step(now, PromotionFailed{}), false
				}
			}
			for _, o := range j.reports {
				observers, strongest = observers+1, max(strongest, o.Level)
			}
			for _, e := range effects {
				if _, ok := e.(Promote); !ok {
					continue
				}
				if promoting {
					t.Fatal("a second promotion while one is in progress")
				}
				promoting = true
				if observers < 2 && strongest < Undialable {
					t.Fatalf("promotion on %d observers at level %v", observers, strongest)
				}
			}
		}
	})
}
