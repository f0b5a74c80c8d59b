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

func answer(domain string, level Level) Confirmation {
	return Confirmation{Domain: domain, Slot: "a", Level: level}
}

// moment is an event at a time in milliseconds and the effects it must cause.
type moment struct {
	at    int
	event Event
	want  []Effect
}

func TestJudge(t *testing.T) {
	ask := func(domains ...string) []Effect { return []Effect{AskConfirm{Slot: "a", Except: domains}} }
	lost, alone := []Effect{Promote{"a", true}}, []Effect{Promote{"a", false}}
	cleared := []Effect{Cleared{"a"}}
	for _, tc := range []struct {
		name    string
		moments []moment
	}{
		{"primary killed, both holders in its domain", []moment{
			{0, report("x", "d1", Unreachable), nil},
			{1, report("y", "d1", Unreachable), ask("d1")},
			{3, answer("d2", Undialable), lost},
			{4, report("z", "d3", Unreachable), nil},
		}},
		{"one holder and a failed dial", []moment{
			{0, report("x", "d1", Undialable), ask("d1")},
			{2, answer("d2", Unreachable), lost},
		}},
		{"failure domain cut off: holders elsewhere confirm each other", []moment{
			{0, report("x", "d1", Unreachable), nil},
			{9, report("y", "d2", Unreachable), lost},
		}},
		{"second domain reports before the answer", []moment{
			{0, report("x", "d1", Undialable), ask("d1")},
			{5, report("y", "d2", Unreachable), lost},
		}},
		{"one holder alone is cut off", []moment{
			{0, report("x", "d1", Unreachable), nil},
			{900, report("x", "d1", Unreachable), nil},
			{1899, Tick{}, nil},
		}},
		{"partition in one direction: the other domain finds it well", []moment{
			{0, report("x", "d1", Undialable), ask("d1")},
			{2, answer("d2", Well), nil},
			{400, report("x", "d1", Undialable), nil},
			{502, Tick{}, ask("d1")},
			{504, answer("d2", Well), nil},
		}},
		{"the suspected domain does not confirm itself", []moment{
			{0, report("x", "d1", Undialable), ask("d1")},
			{2, answer("d1", Undialable), nil},
		}},
		{"cut off with a majority: nobody else answers", []moment{
			{0, report("x", "d1", Undialable), ask("d1")},
			{249, Tick{}, nil},
			{250, Tick{}, ask("d1")},
			{500, report("x", "d1", Undialable), ask("d1")},
			{600, Tick{}, alone},
		}},
		{"frozen and awake before the confirmation", []moment{
			{0, report("x", "d1", Unreachable), nil},
			{1, report("y", "d1", Unreachable), ask("d1")},
			{2, report("x", "d1", Well), cleared},
			{3, answer("d2", Undialable), nil},
		}},
		{"reports of a dead observer lapse", []moment{
			{0, report("x", "d1", Unreachable), nil},
			{999, Tick{}, nil},
			{1000, report("y", "d2", Unreachable), nil},
		}},
		{"no replica confirms", []moment{
			{0, report("x", "d1", Stalled), nil},
			{1, report("y", "d2", Stalled), []Effect{AskConfirm{Slot: "a", Except: []string{"d1", "d2"}, Replication: true}}},
			{700, report("x", "d1", Stalled), []Effect{AskConfirm{Slot: "a", Except: []string{"d1", "d2"}, Replication: true}}},
			{710, answer("d3", Stalled), lost},
		}},
		{"report about a slot that is not the primary", []moment{
			{0, Report{"x", "d1", "b", Undialable}, nil},
			{1, Confirmation{"d2", "b", Undialable}, nil},
		}},
		{"second loss right after a promotion waits to settle", []moment{
			{0, PrimaryChanged{"a"}, nil},
			{50, report("x", "d1", Undialable), nil},
			{199, Tick{}, nil},
			{200, Tick{}, ask("d1")},
			{201, answer("d2", Undialable), lost},
			{300, PrimaryChanged{"a"}, nil},
			{600, report("x", "d1", Undialable), nil},
			{700, Tick{}, ask("d1")},
		}},
		{"promotion failed, primary still lost", []moment{
			{0, report("x", "d1", Undialable), ask("d1")},
			{1, answer("d2", Undialable), lost},
			{900, report("x", "d1", Undialable), nil},
			{901, PromotionFailed{}, ask("d1")},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			j := NewJudge("a", DefaultTiming())
			for _, m := range tc.moments {
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
		{"dial refused, then silence", "admm", Undialable},
		{"hysteresis: two answers", "ammaa", Unreachable},
		{"hysteresis: answers with a loss between", "ammaaba", Unreachable},
		{"hysteresis: three answers", "ammaaa", Well},
		{"stalled, then silent", "asmm", Unreachable},
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

// TestJudgeNeverActsOnOneObserverThatCanDial: whatever else is heard, a single
// observer whose dials succeed never causes a promotion, and none is asked for
// while one is in progress.
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
				effects = j.Step(now, answer(rapid.SampledFrom([]string{"dx", "dy", "dz"}).Draw(t, "domain"), Level(rapid.IntRange(0, 3).Draw(t, "level"))))
			case 4:
				effects = j.Step(now, Tick{})
			case 5:
				if promoting {
					effects, promoting = j.Step(now, PromotionFailed{}), false
				}
			}
			for _, o := range j.opinions {
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
					t.Fatalf("promotion on %d observer at level %v", observers, strongest)
				}
			}
		}
	})
}
