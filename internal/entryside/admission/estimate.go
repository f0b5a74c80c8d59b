package admission

import "time"

const (
	// meanDivisor is the weight of one sample in the mean, as its inverse.
	meanDivisor = 16
	// deviationDivisor is the weight of one sample in the deviation.
	deviationDivisor = 8
	// deviations is how many deviations above the mean count as needed.
	deviations = 2
)

// estimate follows how long a service's work runs.
type estimate struct {
	mean, deviation time.Duration
	known           bool
}

func (e *estimate) observe(d time.Duration) {
	if !e.known {
		*e = estimate{mean: d, deviation: d / 2, known: true}
		return
	}
	off := d - e.mean
	e.mean += off / meanDivisor
	if off < 0 {
		off = -off
	}
	e.deviation += (off - e.deviation) / deviationDivisor
}

// needed is the time that work should have left when it starts; 0 when nothing
// is known yet.
func (e *estimate) needed() time.Duration { return e.mean + deviations*e.deviation }
