package pool

import "time"

// minAhead is the queue length below which no wait is estimated: the average time says
// little about a few statements.
const minAhead = 4

// Queue estimates how long a statement waits for a connection. When more statements
// arrive than an endpoint can run, those that cannot be served in time are refused at
// once instead of at their deadline, so that their callers can ask elsewhere.
type Queue struct {
	// Ahead is the number of statements that go first.
	Ahead int
	// Conns is the number of open connections.
	Conns int
	// AvgHoldTime is how long a statement holds a connection on average; 0 when not
	// measured.
	AvgHoldTime time.Duration
}

// WaitExceeds reports whether the estimated wait is longer than timeLeft. It returns false
// when there is too little to estimate from.
func (q Queue) WaitExceeds(timeLeft time.Duration) bool {
	if q.Ahead < minAhead || q.Conns <= 0 || q.AvgHoldTime == 0 {
		return false
	}
	return time.Duration(q.Ahead)*q.AvgHoldTime/time.Duration(q.Conns) > timeLeft
}
