package driver

import (
	"context"
	"errors"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/suspect"
)

// Observer watches one endpoint over one connection and reports what it makes
// of it. Observers run at holders, the Driver elsewhere.
type Observer struct {
	// Name is the daemon's, Domain its failure domain.
	Name, Domain string
	Group, Slot  string
	Connect      Connect
	// Report takes each change of the level, and again after each probe while
	// the level is not Well.
	Report func(group string, r suspect.Report)
	// Status takes each status with a time before the question that it answers;
	// nil drops them.
	Status func(group string, st endpoint.Status, asked time.Time)
	// Between, if set, may use the connection after each status.
	Between func(ctx context.Context, ctl endpoint.Controller) error

	detector suspect.Detector
	ctl      endpoint.Controller
	last     endpoint.Status
}

// Run observes until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	defer o.drop()
	for ctx.Err() == nil {
		before := o.detector.Level()
		began := time.Now()
		ok := o.look(ctx)
		if ctx.Err() != nil {
			return
		}
		level := o.detector.Level()
		if level != before || level != suspect.Well {
			o.Report(o.Group, suspect.Report{Observer: o.Name, Domain: o.Domain, Slot: o.Slot, Level: level})
		}
		if !ok {
			sleepUntil(ctx, began.Add(suspect.ProbeInterval))
		}
	}
}

// look dials or probes once; ok is false when the endpoint did not answer and
// the next look is due after an interval.
func (o *Observer) look(ctx context.Context) (ok bool) {
	if o.ctl == nil {
		return o.dial(ctx)
	}
	limit, cancel := context.WithTimeout(ctx, suspect.ProbeInterval+o.detector.Timeout())
	defer cancel()
	if o.Between != nil {
		if err := o.Between(limit, o.ctl); err != nil {
			return o.failed(ctx, limit)
		}
	}
	began := time.Now()
	st, err := o.ctl.Wait(limit, o.last, suspect.ProbeInterval)
	if err != nil {
		return o.failed(ctx, limit)
	}
	o.answered(st, began, max(0, time.Since(began)-suspect.ProbeInterval))
	return true
}

// failed handles a command that got no answer within limit.
func (o *Observer) failed(ctx, limit context.Context) (ok bool) {
	o.drop()
	if limit.Err() != nil {
		o.detector.Missed()
		return true // the interval has passed in the wait
	}
	o.detector.Broken()
	o.dial(ctx)
	return false // an endpoint that breaks each connection is not dialled without end
}

// dial connects and reads a first status. An endpoint that refuses the
// connection with an error of its own is alive.
func (o *Observer) dial(ctx context.Context) (ok bool) {
	limit, cancel := context.WithTimeout(ctx, o.detector.Timeout())
	defer cancel()
	began := time.Now()
	ctl, err := o.Connect(limit, o.Group, o.Slot)
	if err != nil {
		var refused interface{ SQLState() string }
		if errors.As(err, &refused) {
			o.detector.Answered(time.Since(began))
		} else {
			o.detector.DialFailed()
		}
		return false
	}
	o.ctl = ctl
	st, err := ctl.Status(limit)
	if err != nil {
		o.drop()
		o.detector.Missed()
		return false
	}
	o.answered(st, began, time.Since(began))
	return true
}

func (o *Observer) answered(st endpoint.Status, asked time.Time, rtt time.Duration) {
	o.last = st
	o.detector.Answered(rtt)
	if o.Status != nil {
		o.Status(o.Group, st, asked)
	}
}

func (o *Observer) drop() {
	if o.ctl != nil {
		_ = o.ctl.Close()
		o.ctl = nil
	}
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-time.After(time.Until(t)):
	case <-ctx.Done():
	}
}
