package daemon

import (
	"context"
	"time"

	"hemlockmast/internal/entry"
	"hemlockmast/internal/outcome"
)

// openAdmission admits everything.
type openAdmission struct{}

// Admit implements entry.Admitter.
func (openAdmission) Admit(context.Context, entry.Service, bool) (func(), error) {
	return func() {}, nil
}

// silentObserver drops what it hears.
type silentObserver struct{}

func (silentObserver) Segment(string, bool, bool, entry.Verdict, time.Duration) {}
func (silentObserver) Retry(string, outcome.Reason)                             {}
func (silentObserver) Pinned(string)                                            {}
