package holder

import (
	"container/list"
	"slices"
)

// waitQueue is a queue of waiters ordered by priority, highest first, then by
// arrival.
type waitQueue struct {
	// byPriority holds one list of waiters per priority.
	byPriority map[int32]*list.List
	// priorities lists the keys of byPriority, highest first.
	priorities []int32
	// n counts the waiters.
	n int
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

// remove removes w from the queue. It does nothing if w is not queued.
func (q *waitQueue) remove(w *waiter) {
	if w.elem == nil {
		return
	}
	q.byPriority[w.priority].Remove(w.elem)
	w.elem = nil
	q.n--
}

// next returns the first waiter for which eligible is true, nil if there is
// none. A nil eligible accepts every waiter. The waiter stays in the queue.
func (q *waitQueue) next(eligible func(*waiter) bool) *waiter {
	for _, priority := range q.priorities {
		for e := q.byPriority[priority].Front(); e != nil; e = e.Next() {
			w := e.Value.(*waiter)
			if eligible == nil || eligible(w) {
				return w
			}
		}
	}
	return nil
}

func (q *waitQueue) len() int { return q.n }
