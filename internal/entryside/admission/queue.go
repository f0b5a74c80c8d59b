package admission

import (
	"slices"
	"time"
)

// waiting is a work item in a queue.
type waiting struct {
	work     Work
	queuedAt time.Time
}

// queue holds waiting work in order of deadline, the earliest first. Work with
// equal deadlines stays in order of arrival.
type queue struct{ list []waiting }

func (q *queue) len() int { return len(q.list) }

func (q *queue) push(w waiting) {
	i, _ := slices.BinarySearchFunc(q.list, w, func(queued, w waiting) int {
		if queued.work.Deadline.After(w.work.Deadline) {
			return 1
		}
		return -1
	})
	q.list = slices.Insert(q.list, i, w)
}

// countAhead returns the number of work items ahead of new work with the given
// deadline.
func (q *queue) countAhead(deadline time.Time) int {
	n := 0
	for n < len(q.list) && !q.list[n].work.Deadline.After(deadline) {
		n++
	}
	return n
}

func (q *queue) popFirst() waiting {
	w := q.list[0]
	q.list = slices.Delete(q.list, 0, 1)
	return w
}

// popLast removes and returns the work with the latest deadline.
func (q *queue) popLast() waiting {
	last := len(q.list) - 1
	w := q.list[last]
	q.list = q.list[:last]
	return w
}

// popBefore removes and returns the work whose deadline is before minDeadline.
func (q *queue) popBefore(minDeadline time.Time) []waiting {
	n := 0
	for n < len(q.list) && q.list[n].work.Deadline.Before(minDeadline) {
		n++
	}
	removed := slices.Clone(q.list[:n])
	q.list = slices.Delete(q.list, 0, n)
	return removed
}

// remove removes the work with the given id and reports whether it was queued.
func (q *queue) remove(id WorkID) bool {
	i := slices.IndexFunc(q.list, func(w waiting) bool { return w.work.ID == id })
	if i < 0 {
		return false
	}
	q.list = slices.Delete(q.list, i, i+1)
	return true
}
