package turn

import (
	"container/heap"
	"iter"
	"time"
)

// Ordered yields the waiting statements in the order of their turns. The queue must not change
// meanwhile, except by GiveTurn. A walk that ends early costs little, however many wait.
func (q *Queue[W]) Ordered(now time.Time) iter.Seq[W] {
	return func(yield func(W) bool) {
		cost := q.cost()
		for _, c := range q.classes {
			if !c.walk(now, cost, yield) {
				return
			}
		}
	}
}

// walk yields the statements of a class. It reports false if yield did.
func (c *class[W]) walk(now time.Time, cost time.Duration, yield func(W) bool) bool {
	rest := make(cursors[W], 0, len(c.flows))
	for _, f := range c.flows {
		if len(f.waiters) > 0 {
			rest = append(rest, cursor[W]{start: f.start, waiters: f.waiters, at: f.next(now, cost), left: len(f.waiters)})
		}
	}
	heap.Init(&rest)
	for len(rest) > 0 {
		if !yield(rest[0].next()) {
			return false
		}
		if rest[0].advance(cost); rest[0].left == 0 {
			heap.Pop(&rest)
			continue
		}
		heap.Fix(&rest, 0)
	}
	return true
}

// cursor is a walk's position in a flow. The statements that can still be answered in time come
// first, which are the last in waiters, and then the others from the start of waiters.
type cursor[W Waiter] struct {
	start   time.Duration
	waiters []W
	at      int
	left    int
}

func (c *cursor[W]) next() W { return c.waiters[c.at] }

func (c *cursor[W]) advance(cost time.Duration) {
	c.at = (c.at + 1) % len(c.waiters)
	c.start += cost
	c.left--
}

// cursors is a heap of the flows of a class, the one whose turn is next first.
type cursors[W Waiter] []cursor[W]

func (h cursors[W]) Len() int      { return len(h) }
func (h cursors[W]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h cursors[W]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].next().Place().before(h[j].next().Place())
}

// Push implements heap.Interface. A walk adds no flow.
func (h *cursors[W]) Push(x any) { *h = append(*h, x.(cursor[W])) }

// Pop implements heap.Interface.
func (h *cursors[W]) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
