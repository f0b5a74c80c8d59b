package promotion

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// modelState is one state of a small model of a service: a primary with two replicas,
// commits, and one promotion that pauses, chooses and promotes step by step. The model
// decides with the package's own functions (MostUpToDate, Successor,
// AllPaused, IsCaughtUp).
type modelState struct {
	// logs holds, by endpoint, the numbers of the commits received, one digit each.
	logs    [3]string
	primary int
	term    int
	paused  [3]bool
	cutOff  [3]bool
	down    [3]bool
	acked   string
	commits int
	// seen, reached and knownPaused are what the promotion knows of each replica: its log,
	// whether it answered and whether it was paused.
	seen        [3]string
	reached     [3]bool
	knownPaused [3]bool
	step        int
	chosen      int
}

var pausedTerm = map[bool]uint64{true: 2}

func (s modelState) replicas(planned bool) []ReplicaState {
	var list []ReplicaState
	for i := 1; i < 3; i++ {
		list = append(list, ReplicaState{
			ID: fmt.Sprint(i), Reached: s.reached[i],
			Status: stmt.Status{
				Term: 1, Received: logpos.Pos{Term: 1, Index: uint64(len(s.seen[i]))}, PausedTerm: pausedTerm[s.knownPaused[i]],
			},
		})
	}
	return list
}

// next returns every state that one event can lead to.
func (s modelState) next(planned bool) []modelState {
	var out []modelState
	add := func(change func(*modelState)) {
		n := s
		change(&n)
		out = append(out, n)
	}
	// The primary commits.
	if !s.down[s.primary] && s.commits < 2 {
		add(func(n *modelState) {
			n.commits++
			n.logs[n.primary] += fmt.Sprint(n.commits)
		})
	}
	for i := range 3 {
		canReceive := i != s.primary && !s.down[i] && !s.paused[i] && !s.cutOff[i] && !s.down[s.primary]
		if canReceive && len(s.logs[i]) < len(s.logs[s.primary]) {
			add(func(n *modelState) {
				n.logs[i] = n.logs[n.primary][:len(n.logs[i])+1]
				received := n.logs[i][len(n.logs[i])-1:]
				if n.term == 1 && !slices.Contains([]byte(n.acked), received[0]) {
					n.acked += received
				}
			})
		}
		if i > 0 && !s.cutOff[0] && !s.cutOff[1] && !s.cutOff[2] {
			add(func(n *modelState) { n.cutOff[i] = true })
		}
	}
	if !planned && !s.down[0] {
		add(func(n *modelState) { n.down[0] = true })
	}
	if s.term == 1 {
		out = append(out, s.promotionSteps(planned)...)
	}
	return out
}

// promotionSteps returns the state after the next step of the promotion, or none if the
// promotion cannot go on. Steps are 0: connect, 1: pause, 2: choose and 3: promote.
func (s modelState) promotionSteps(planned bool) []modelState {
	n := s
	switch s.step {
	case 0:
		for i := 1; i < 3; i++ {
			n.reached[i], n.seen[i] = true, n.logs[i]
		}
		if planned {
			successor, _ := Successor(n.replicas(true), nil, 2, "")
			n.chosen = int(successor.ID[0] - '0')
		}
		n.step = 1
	case 1:
		// Replicas are paused one at a time. The promotion sees what a replica received
		// until it was paused.
		for i := 1; i < 3; i++ {
			if i != n.chosen && !n.knownPaused[i] {
				n.paused[i], n.knownPaused[i] = true, true
				n.seen[i] = n.logs[i]
				return []modelState{n}
			}
		}
		n.step = 2
	case 2:
		if planned {
			n.seen[n.chosen] = n.logs[n.chosen]
			replicas := n.replicas(true)
			if !AllPaused(replicas, 2, fmt.Sprint(n.chosen)) || !IsCaughtUp(replicas[n.chosen-1], replicas) {
				return nil
			}
		} else {
			if !AllPaused(n.replicas(false), 2, "") {
				return nil
			}
			latest, _ := MostUpToDate(n.replicas(false), nil)
			n.chosen = int(latest.ID[0] - '0')
		}
		n.step = 3
	case 3:
		n.primary, n.term = n.chosen, 2
	}
	return []modelState{n}
}

// TestPromotionModel visits every state of the model: the log that is promoted never
// lacks an acknowledged commit.
func TestPromotionModel(t *testing.T) {
	for _, planned := range []bool{false, true} {
		visited := map[modelState]bool{}
		queue := []modelState{{}}
		promoted := 0
		for len(queue) > 0 {
			s := queue[0]
			queue = queue[1:]
			if visited[s] {
				continue
			}
			visited[s] = true
			if s.term == 0 {
				s.term = 1
			}
			if s.term == 2 {
				promoted++
				for _, c := range s.acked {
					assert.Assert(t, slices.Contains([]byte(s.logs[s.primary]), byte(c)), "planned %t: %+v", planned, s)
				}
				continue
			}
			queue = append(queue, s.next(planned)...)
		}
		t.Logf("planned %t: %d states, %d promotions", planned, len(visited), promoted)
		assert.Assert(t, promoted > 0)
	}
}
