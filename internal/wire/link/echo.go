package link

import (
	"sync"
	"time"
)

// maxEchoes bounds the echoes remembered on either side of a watch stream.
const maxEchoes = 64

// echo is a number and when it came or was sent.
type echo struct {
	number uint64
	at     time.Time
}

// echoLog remembers the latest echoes, in order of both number and time.
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

// before returns the newest number that came before t, 0 if none is known.
func (l *echoLog) before(t time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.list) - 1; i >= 0; i-- {
		if l.list[i].at.Before(t) {
			return l.list[i].number
		}
	}
	return 0
}

// timeOf returns when number was sent; the zero time if it is forgotten.
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
