package admission

import "time"

const (
	// meanDivisor is the inverse of the weight of one sample in the mean.
	meanDivisor = 16
	// deviationDivisor is the inverse of the weight of one sample in the
	// deviation.
	deviationDivisor = 8
	// deviationFactor is how many deviations are added to the mean for
	// timeNeeded.
	deviationFactor = 2
)

// estimate tracks how long the work of a service runs, as a moving mean and a
// moving mean deviation.
type estimate struct {
	mean, deviation time.Duration
	known           bool
}

func (e *estimate) observe(d time.Duration) {
	if !e.known {
		*e = estimate{mean: d, deviation: d / 2, known: true}
		return
	}
	diff := d - e.mean
	e.mean += diff / meanDivisor
	if diff < 0 {
		diff = -diff
	}
	e.deviation += (diff - e.deviation) / deviationDivisor
}

// timeNeeded returns the time that work should have left when it starts; 0
// before the first sample.
func (e *estimate) timeNeeded() time.Duration { return e.mean + deviationFactor*e.deviation }
