package admission

import (
	"slices"
	"time"
)

// waiting is queued work.
type waiting struct {
	work  Work
	since time.Time
}

// queue holds waiting work by deadline, the earliest first; equal deadlines keep
// their order of arrival.
type queue struct{ list []waiting }

func (q *queue) len() int { return len(q.list) }

func (q *queue) push(w waiting) {
	i, _ := slices.BinarySearchFunc(q.list, w, func(at, w waiting) int {
		if at.work.Deadline.After(w.work.Deadline) {
			return 1
		}
		return -1
	})
	q.list = slices.Insert(q.list, i, w)
}

// before counts the work that goes ahead of new work with the deadline.
func (q *queue) before(deadline time.Time) int {
	n := 0
	for n < len(q.list) && !q.list[n].work.Deadline.After(deadline) {
		n++
	}
	return n
}

func (q *queue) pop() waiting {
	w := q.list[0]
	q.list = slices.Delete(q.list, 0, 1)
	return w
}

// popLast removes the work with the latest deadline.
func (q *queue) popLast() waiting {
	last := len(q.list) - 1
	w := q.list[last]
	q.list = q.list[:last]
	return w
}

// cut removes the work whose deadline is before bound.
func (q *queue) cut(bound time.Time) []waiting {
	n := 0
	for n < len(q.list) && q.list[n].work.Deadline.Before(bound) {
		n++
	}
	gone := slices.Clone(q.list[:n])
	q.list = slices.Delete(q.list, 0, n)
	return gone
}

// remove removes the work of id, if it is there.
func (q *queue) remove(id WorkID) bool {
	i := slices.IndexFunc(q.list, func(w waiting) bool { return w.work.ID == id })
	if i < 0 {
		return false
	}
	q.list = slices.Delete(q.list, i, i+1)
	return true
}
