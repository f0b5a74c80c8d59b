package promotion

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// world is one state of a small model: a primary with two replicas, commits, and
// one promotion that pauses, chooses and promotes step by step. It uses the
// package's own decisions (NextTerm, Latest, Successor, AllPaused, Covers).
type world struct {
	// logs hold, by endpoint, the numbers of the commits received.
	logs    [3]string
	leader  int
	term    int
	paused  [3]bool
	deaf    [3]bool
	down    [3]bool
	acked   string
	commits int
	// seen is what the promotion found, by replica; "" is not reached.
	seen    [3]string
	reached [3]bool
	held    [3]bool
	step    int
	chosen  int
}

func (w world) members(planned bool) []Member {
	var list []Member
	for i := 1; i < 3; i++ {
		list = append(list, Member{
			ID: fmt.Sprint(i), Reached: w.reached[i], Paused: w.held[i],
			Status: stmt.Status{Term: 1, Received: logpos.Pos{Term: 1, Index: uint64(len(w.seen[i]))}},
		})
	}
	return list
}

// next returns every state that one event leads to.
func (w world) next(planned bool) []world {
	var out []world
	add := func(change func(*world)) {
		n := w
		change(&n)
		out = append(out, n)
	}
	// The primary commits; a replica receives; the commit is acknowledged.
	if !w.down[w.leader] && w.commits < 2 {
		add(func(n *world) {
			n.commits++
			n.logs[n.leader] += fmt.Sprint(n.commits)
		})
	}
	for i := range 3 {
		canReceive := i != w.leader && !w.down[i] && !w.paused[i] && !w.deaf[i] && !w.down[w.leader]
		if canReceive && len(w.logs[i]) < len(w.logs[w.leader]) {
			add(func(n *world) {
				n.logs[i] = n.logs[n.leader][:len(n.logs[i])+1]
				received := n.logs[i][len(n.logs[i])-1:]
				if n.term == 1 && !slices.Contains([]byte(n.acked), received[0]) {
					n.acked += received
				}
			})
		}
		if i > 0 && !w.deaf[0] && !w.deaf[1] && !w.deaf[2] {
			add(func(n *world) { n.deaf[i] = true })
		}
	}
	if !planned && !w.down[0] {
		add(func(n *world) { n.down[0] = true })
	}
	if w.term == 1 {
		out = append(out, w.promotionSteps(planned)...)
	}
	return out
}

// promotionSteps does the promotion's steps 0: reach, 1: pause, 2: choose and 3:
// promote.
func (w world) promotionSteps(planned bool) []world {
	n := w
	switch w.step {
	case 0:
		for i := 1; i < 3; i++ {
			n.reached[i], n.seen[i] = true, n.logs[i]
		}
		if planned {
			successor, _ := Successor(n.members(true), "")
			n.chosen = int(successor.ID[0] - '0')
		}
		n.step = 1
	case 1:
		// One replica is paused at a time; what is received meanwhile is seen.
		for i := 1; i < 3; i++ {
			if i != n.chosen && !n.held[i] {
				n.paused[i], n.held[i] = true, true
				n.seen[i] = n.logs[i]
				return []world{n}
			}
		}
		n.step = 2
	case 2:
		if planned {
			n.seen[n.chosen] = n.logs[n.chosen]
			members := n.members(true)
			if !AllPaused(members, fmt.Sprint(n.chosen)) || !Covers(members[n.chosen-1], members) {
				return nil
			}
		} else {
			if !AllPaused(n.members(false), "") {
				return nil
			}
			latest, _ := Latest(n.members(false))
			n.chosen = int(latest.ID[0] - '0')
		}
		n.step = 3
	case 3:
		n.leader, n.term = n.chosen, 2
	}
	return []world{n}
}

// TestExplore visits every state of the model: the log that is promoted never
// lacks an acknowledged commit.
func TestExplore(t *testing.T) {
	for _, planned := range []bool{false, true} {
		seen := map[world]bool{}
		queue := []world{{}}
		promoted := 0
		for len(queue) > 0 {
			w := queue[0]
			queue = queue[1:]
			if seen[w] {
				continue
			}
			seen[w] = true
			if w.term == 0 {
				w.term = 1
			}
			if w.term == 2 {
				promoted++
				for _, c := range w.acked {
					assert.Assert(t, slices.Contains([]byte(w.logs[w.leader]), byte(c)), "planned %t: %+v", planned, w)
				}
				continue
			}
			queue = append(queue, w.next(planned)...)
		}
		t.Logf("planned %t: %d states, %d promotions", planned, len(seen), promoted)
		assert.Assert(t, promoted > 0)
	}
}
