package suspect

import "time"

const (
	// ProbeInterval is the pause between probes of an endpoint.
	ProbeInterval = 200 * time.Millisecond
	// minProbeTimeout and maxProbeTimeout bound the adaptive probe timeout.
	minProbeTimeout = 100 * time.Millisecond
	maxProbeTimeout = time.Second
	// missesToRaise is the number of consecutive unanswered probes after which
	// an endpoint counts as unreachable. After an error on the data path one is
	// enough.
	missesToRaise = 2
	// answersToClear is the number of consecutive answers that return the level
	// to Well.
	answersToClear = 3
)

// Detector is one observer's failure detector for one endpoint. It is not safe
// for concurrent use.
type Detector struct {
	level              Level
	consecutiveMisses  int
	consecutiveAnswers int
	dataPathFailed     bool // since the last answer
	// smoothedRTT and rttDeviation estimate the round-trip time as TCP does for
	// its retransmission timeout.
	smoothedRTT, rttDeviation time.Duration
}

// Level returns the current level of the endpoint.
func (d *Detector) Level() Level { return d.level }

// Timeout returns how long to wait for the answer to the next probe: the
// smoothed round-trip time plus four times its deviation, within fixed bounds.
func (d *Detector) Timeout() time.Duration {
	return min(max(d.smoothedRTT+4*d.rttDeviation, minProbeTimeout), maxProbeTimeout)
}

// Answered records an answer on the probe path or the data path and reports
// whether the level changed. rtt is the round-trip time, 0 if it was not
// measured.
func (d *Detector) Answered(rtt time.Duration) bool {
	d.updateRTT(rtt)
	d.consecutiveMisses, d.dataPathFailed = 0, false
	d.consecutiveAnswers++
	if d.level == Well || d.consecutiveAnswers < answersToClear {
		return false
	}
	d.level = Well
	return true
}

func (d *Detector) updateRTT(rtt time.Duration) {
	if rtt <= 0 {
		return
	}
	if d.smoothedRTT == 0 {
		d.smoothedRTT, d.rttDeviation = rtt, rtt/2
		return
	}
	d.rttDeviation += ((d.smoothedRTT - rtt).Abs() - d.rttDeviation) / 4
	d.smoothedRTT += (rtt - d.smoothedRTT) / 8
}

// Missed records a probe that got no answer within Timeout, and reports whether
// the level changed.
func (d *Detector) Missed() bool {
	d.consecutiveMisses++
	if d.consecutiveMisses < missesToRaise && !d.dataPathFailed {
		return false
	}
	return d.raiseLevel(Unreachable)
}

// Broken records that an established connection failed or went silent. One
// broken connection alone does not change the level: the caller probes at once
// on a new connection.
func (d *Detector) Broken() { d.dataPathFailed, d.consecutiveAnswers = true, 0 }

// DialFailed records that a new connection was refused or not established
// within Timeout, and reports whether the level changed.
func (d *Detector) DialFailed() bool { return d.raiseLevel(Undialable) }

// Stalled records that the endpoint answers but no replica confirms its writes,
// and reports whether the level changed.
func (d *Detector) Stalled() bool { return d.raiseLevel(Stalled) }

// raiseLevel sets the level to the given one unless it is already as bad, and
// reports whether it changed.
func (d *Detector) raiseLevel(to Level) bool {
	d.consecutiveAnswers = 0
	if d.level >= to {
		return false
	}
	d.level = to
	return true
}
