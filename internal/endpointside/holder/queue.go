package holder

import (
	"container/list"
	"slices"
)

// waitQueue orders waiters by priority, then by arrival.
type waitQueue struct {
	// byPriority holds one list of waiters per priority.
	byPriority map[int32]*list.List
	// priorities lists the keys of byPriority, highest first.
	priorities []int32
	n          int
}

func newWaitQueue() waitQueue {
	return waitQueue{byPriority: map[int32]*list.List{}}
}

func (q *waitQueue) push(w *waiter) {
	l := q.byPriority[w.priority]
	if l == nil {
		l = list.New()
		q.byPriority[w.priority] = l
		q.priorities = append(q.priorities, w.priority)
		slices.SortFunc(q.priorities, func(a, b int32) int { return int(b - a) })
	}
	w.elem = l.PushBack(w)
	q.n++
}

// remove takes w out; it does nothing when w is not queued.
func (q *waitQueue) remove(w *waiter) {
	if w.elem == nil {
		return
	}
	q.byPriority[w.priority].Remove(w.elem)
	w.elem = nil
	q.n--
}

// next returns the first waiter that may accepts, nil if there is none. A nil
// may accepts every waiter.
func (q *waitQueue) next(may func(*waiter) bool) *waiter {
	for _, priority := range q.priorities {
		for e := q.byPriority[priority].Front(); e != nil; e = e.Next() {
			w := e.Value.(*waiter)
			if may == nil || may(w) {
				return w
			}
		}
	}
	return nil
}

func (q *waitQueue) len() int { return q.n }
