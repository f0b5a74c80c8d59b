// Package crossing estimates the round-trip time between failure domains from samples. The
// smallest recent sample is used: load on a VM or a link only lengthens samples. The package does
// no I/O.
package crossing

import (
	"slices"
	"time"
)

const (
	// keptSamples is how many samples of each failure domain count.
	keptSamples = 16
	// MinSamples is how many samples of a failure domain are needed for an estimate.
	MinSamples = 3
)

// Estimator holds the samples of each other failure domain. The zero value is empty. It is not
// safe for concurrent use.
type Estimator struct {
	samples map[string][]time.Duration
}

// Add records that a round trip to a failure domain took d.
func (e *Estimator) Add(domain string, d time.Duration) {
	if e.samples == nil {
		e.samples = make(map[string][]time.Duration)
	}
	kept := append(e.samples[domain], d)
	if len(kept) > keptSamples {
		kept = kept[1:]
	}
	e.samples[domain] = kept
}

// To returns the estimate for a failure domain. It reports false while there are too few samples.
func (e *Estimator) To(domain string) (time.Duration, bool) {
	kept := e.samples[domain]
	if len(kept) < MinSamples {
		return 0, false
	}
	return slices.Min(kept), true
}

// Usual returns the median of the estimates for all failure domains. It reports false while there
// is none.
func (e *Estimator) Usual() (time.Duration, bool) {
	var known []time.Duration
	for domain := range e.samples {
		if d, ok := e.To(domain); ok {
			known = append(known, d)
		}
	}
	if len(known) == 0 {
		return 0, false
	}
	slices.Sort(known)
	return known[len(known)/2], true
}
