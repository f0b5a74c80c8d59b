package control

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/controlgroup/agree"
)

// replacedWithin is the time in which a group takes changes again after a loss.
const replacedWithin = 10 * time.Second

// newGroupWithSpare returns a group of founders, all started, and a member that can be
// started later to replace one.
func newGroupWithSpare(t *testing.T, founders int) (g *group, spare *member) {
	var names []string
	for i := range founders {
		names = append(names, string(rune('a'+i)))
	}
	g = newGroup(t, append(names, "spare")...)
	g.replaceSilentTicks = 60
	spare = g.member("spare")
	spare.joinsLater = true
	spare.isolated.Store(true)
	for _, m := range g.members[:founders] {
		g.start(m)
	}
	g.waitUntil("the group", g.bearsMostLosses)
	return g, spare
}

// join starts the spare member.
func (g *group) join(spare *member) {
	spare.isolated.Store(false)
	g.start(spare)
}

// living returns the members that run and are not isolated.
func (g *group) living() []*member {
	var list []*member
	for _, m := range g.members {
		if !m.isolated.Load() {
			list = append(list, m)
		}
	}
	return list
}

// lose stops a member for good.
func (g *group) lose(m *member) {
	m.isolated.Store(true)
	m.stop()
}

// wipe replaces a member's folder by an empty one.
func (g *group) wipe(m *member) {
	m.stop()
	assert.NilError(g.t, os.RemoveAll(m.dir))
	g.start(m)
}

// bearsMostLosses reports whether all members that run are members of the group, the number
// of voters is odd, and the group bears as many losses as if all members that run voted.
func (g *group) bearsMostLosses() bool {
	living := g.living()
	voters, livingVoters := 0, 0
	for i, m := range living {
		st := m.control.Status()
		known := len(agree.Voters(st.Membership))
		if st.LeaderAddress == "" || !st.Joined || i > 0 && known != voters {
			return false
		}
		voters = known
		if st.Voter {
			livingVoters++
		}
	}
	return voters%2 == 1 && livingVoters-(voters/2+1) == (len(living)-1)/2
}

// withoutRepeats returns what a member applied without the repetitions of a command that
// attempts with an unknown outcome explain.
func (g *group) withoutRepeats(applied string) string {
	var list []string
	repeats := 0
	for _, cmd := range strings.Split(applied, "\n") {
		if len(list) > 0 && cmd == list[len(list)-1] && repeats < g.unknown[cmd] {
			repeats++
			continue
		}
		list, repeats = append(list, cmd), 0
	}
	return strings.Join(list, "\n")
}

// assertLivingApplied waits until every member that runs has applied exactly these commands.
func (g *group) assertLivingApplied(want string) {
	g.t.Helper()
	for _, m := range g.living() {
		g.waitUntil(m.name+" to be up to date", func() bool { return g.withoutRepeats(m.machine.String()) == want })
	}
}

// TestReplacedVoterThenSecondLoss replaces a voter by an empty member at another address,
// which joins after the voter is gone for good or, as planned, before. Once the group bears
// a loss again, another member loses its disk or is gone for good. The group must elect a
// leader, keep what was acknowledged and take changes.
func TestReplacedVoterThenSecondLoss(t *testing.T) {
	for _, founders := range []int{3, 4, 5} {
		for _, order := range []string{"lost first", "newcomer first"} {
			for _, first := range []string{"founder", "leader"} {
				for _, second := range []string{"newcomer", "founder", "leader"} {
					for _, how := range []string{"wiped", "gone"} {
						row := replacement{founders, order == "newcomer first", first, second, how == "gone"}
						t.Run(fmt.Sprintf("%d founders/%s/%s lost/%s %s", founders, order, first, second, how), func(t *testing.T) {
							t.Parallel()
							row.test(t)
						})
					}
				}
			}
		}
	}
}

// replacement is a row of TestReplacedVoterThenSecondLoss.
type replacement struct {
	founders        int
	isNewcomerFirst bool
	// first is what is replaced, and second what is lost later.
	first, second string
	isGone        bool
}

func (r replacement) test(t *testing.T) {
	g, newcomer := newGroupWithSpare(t, r.founders)
	g.propose("c0")
	if r.isNewcomerFirst {
		g.join(newcomer)
		g.waitUntil("the newcomer", g.bearsMostLosses)
	}
	g.lose(g.pick(r.first == "leader"))
	if !r.isNewcomerFirst {
		g.join(newcomer)
	}
	g.waitUntil("the replacement", g.bearsMostLosses)
	g.propose("c1")
	victim := newcomer
	switch r.second {
	case "founder":
		victim = g.pick(false)
	case "leader":
		victim = g.pick(true)
	}
	if r.isGone {
		g.lose(victim)
	} else {
		g.wipe(victim)
	}
	start := time.Now()
	g.propose("c2")
	assert.Assert(t, time.Since(start) < replacedWithin)
	g.assertLivingApplied(commands(0, 3))
}

// pick returns the leader, or a founder that votes and does not lead.
func (g *group) pick(isLeader bool) *member {
	leader := g.leader()
	if isLeader {
		return leader
	}
	for _, m := range g.living() {
		if m != leader && !m.joinsLater && m.control.Status().Voter {
			return m
		}
	}
	return nil
}

// TestSilentVoterStaysWithoutReplacement stops a voter for longer than ReplaceSilentTicks
// while no learner waits: it must still be a voter when it returns.
func TestSilentVoterStaysWithoutReplacement(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.replaceSilentTicks = 40
	g.startAll()
	g.waitUntil("the group", g.allVoters)
	silent := g.pick(false)
	silent.stop()
	time.Sleep(80 * testTick)
	g.propose("c0")
	g.start(silent)
	g.waitUntil("the voter's return", g.allVoters)
	g.assertApplied("c0")
}

// TestReplacedVoterReturns cuts a voter off, or pauses it, until a newcomer has its place. On
// its return it must not vote or disturb the leader. It joins again without a vote, since
// there is no room, and takes the place of the next voter that is lost.
func TestReplacedVoterReturns(t *testing.T) {
	for _, how := range []string{"cut off", "paused"} {
		for _, who := range []string{"founder", "leader"} {
			t.Run(how+" "+who, func(t *testing.T) {
				t.Parallel()
				testReplacedVoterReturns(t, how == "paused", who == "leader")
			})
		}
	}
}

func testReplacedVoterReturns(t *testing.T, isPaused, isLeader bool) {
	g, spare := newGroupWithSpare(t, 3)
	g.propose("c0")
	absent := g.pick(isLeader)
	former := absent.control.Status().Self
	absent.isolated.Store(true)
	absent.isPaused.Store(isPaused)
	g.join(spare)
	g.waitUntil("the replacement", g.bearsMostLosses)
	before := g.leader().control.Status()
	assert.Assert(t, agree.Find(before.Membership, former) == nil)
	g.propose("c1")
	absent.isPaused.Store(false)
	absent.isolated.Store(false)
	g.waitUntil("the return", g.bearsMostLosses)
	g.propose("c2")
	g.assertLivingApplied(commands(0, 3))
	st := absent.control.Status()
	assert.Assert(t, st.Self != former && st.Joined && !st.Voter)
	assert.DeepEqual(t, agree.Voters(st.Membership), agree.Voters(before.Membership))
	assert.Equal(t, st.Term, before.Term)
	g.lose(g.pick(false))
	g.waitUntil("the next replacement", g.bearsMostLosses)
	assert.Assert(t, absent.control.Status().Voter)
	g.lose(g.pick(true))
	g.propose("c3")
	g.assertLivingApplied(commands(0, 4))
}

// TestLossesWithoutReplacement loses voters that nothing replaces. Groups with an even number
// of voters, as earlier builds had, must be left with voters that bear a further loss.
func TestLossesWithoutReplacement(t *testing.T) {
	for _, names := range [][]string{{"a", "b", "c", "d"}, {"a", "b", "c", "d", "e", "f"}} {
		t.Run(fmt.Sprint(len(names)), func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, names...)
			g.startAll()
			g.waitUntil("the group", g.allVoters)
			for _, m := range g.members {
				m.stop()
			}
			g.replaceSilentTicks = 60
			g.startAll()
			g.propose("c0")
			g.lose(g.pick(false))
			g.waitUntil("an odd number of voters", g.bearsMostLosses)
			for range (len(names) - 2) / 2 {
				g.lose(g.pick(true))
			}
			g.propose("c1")
			g.assertLivingApplied(commands(0, 2))
		})
	}
}
