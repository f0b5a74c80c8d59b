package suspect

import "time"

const (
	// ProbeInterval is the pause between probes of an endpoint.
	ProbeInterval = 200 * time.Millisecond
	// minProbeTimeout and maxProbeTimeout bound the adaptive probe timeout.
	minProbeTimeout = 100 * time.Millisecond
	maxProbeTimeout = time.Second
	// missesToAlarm is the number of unanswered probes in a row that alarm an
	// observer without an error on its data path.
	missesToAlarm = 2
	// answersToClear is the number of answers in a row that end an alarm.
	answersToClear = 3
)

// Detector is one observer's view of one endpoint. It is plain state guarded by
// its caller.
type Detector struct {
	level    Level
	misses   int
	answers  int
	doubtful bool // the data path failed since the last answer
	// smoothed and deviation estimate the round trip as TCP does.
	smoothed, deviation time.Duration
}

// Level returns what the observer reports now.
func (d *Detector) Level() Level { return d.level }

// Timeout returns how long to wait for the answer to the next probe: the
// smoothed round trip and four times its deviation, within fixed bounds.
func (d *Detector) Timeout() time.Duration {
	return min(max(d.smoothed+4*d.deviation, minProbeTimeout), maxProbeTimeout)
}

// Answered records an answer on the probe or data path after rtt, or 0 where the
// round trip was not measured, and reports whether the level changed.
func (d *Detector) Answered(rtt time.Duration) bool {
	d.measure(rtt)
	d.misses, d.doubtful = 0, false
	d.answers++
	if d.level == Well || d.answers < answersToClear {
		return false
	}
	d.level = Well
	return true
}

func (d *Detector) measure(rtt time.Duration) {
	if rtt <= 0 {
		return
	}
	if d.smoothed == 0 {
		d.smoothed, d.deviation = rtt, rtt/2
		return
	}
	d.deviation += ((d.smoothed - rtt).Abs() - d.deviation) / 4
	d.smoothed += (rtt - d.smoothed) / 8
}

// Missed records a probe without an answer within Timeout, and reports whether
// the level changed. One miss is enough after an error on the data path.
func (d *Detector) Missed() bool {
	d.misses++
	if d.misses < missesToAlarm && !d.doubtful {
		return false
	}
	return d.raise(Unreachable)
}

// Broken records that an established connection failed or went silent. The
// caller probes at once, on a new connection: one broken connection alone is no
// alarm.
func (d *Detector) Broken() { d.doubtful, d.answers = true, 0 }

// DialFailed records that a new connection was refused or not set up within
// Timeout, and reports whether the level changed.
func (d *Detector) DialFailed() bool { return d.raise(Undialable) }

// Stalled records that the endpoint answers but its replicas confirm nothing,
// and reports whether the level changed.
func (d *Detector) Stalled() bool { return d.raise(Stalled) }

func (d *Detector) raise(to Level) bool {
	d.answers = 0
	if d.level >= to {
		return false
	}
	d.level = to
	return true
}
