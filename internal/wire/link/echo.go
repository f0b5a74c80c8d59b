package link

import (
	"sync"
	"time"
)

// maxEchoes is the number of echoes that each side of a watch stream keeps.
const maxEchoes = 64

// echo is the number of an echo and the time at which it was sent or received.
type echo struct {
	number uint64
	at     time.Time
}

// echoLog holds the latest echoes in ascending order of number and time.
type echoLog struct {
	// mu guards list.
	mu   sync.Mutex
	list []echo
}

func (l *echoLog) add(number uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) == maxEchoes {
		l.list = append(l.list[:0], l.list[1:]...)
	}
	l.list = append(l.list, echo{number, at})
}

// lastBefore returns the number of the newest echo before t, or 0 if there is
// none.
func (l *echoLog) lastBefore(t time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.list) - 1; i >= 0; i-- {
		if l.list[i].at.Before(t) {
			return l.list[i].number
		}
	}
	return 0
}

// timeOf returns the time of the echo with the given number. It returns the zero
// time if the log no longer holds it.
func (l *echoLog) timeOf(number uint64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.list {
		if e.number == number {
			return e.at
		}
	}
	return time.Time{}
}
