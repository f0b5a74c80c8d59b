package driver

import (
	"context"
	"errors"
	"time"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/suspect"
)

// Observer probes one endpoint over one connection and reports how healthy it
// looks. Observers run at holders, the Driver at the control group's leader.
type Observer struct {
	// Name is the daemon's name and Domain its failure domain.
	Name, Domain string
	Group, Slot  string
	Connect      Connect
	// Report is called after each change of the level, and after each probe while
	// the level is not suspect.Well.
	Report func(group string, r suspect.Report)
	// Status is called with each status and the time at which the probe for it
	// began. It may be nil.
	Status func(group string, st endpoint.Status, asked time.Time)
	// Between is called before each probe of an open connection and may use the
	// connection. It may be nil.
	Between func(ctx context.Context, ctl endpoint.Controller) error

	detector suspect.Detector
	ctl      endpoint.Controller
	last     endpoint.Status
}

// Run probes the endpoint until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	defer o.disconnect()
	for ctx.Err() == nil {
		previous := o.detector.Level()
		start := time.Now()
		ok := o.observeOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		level := o.detector.Level()
		if level != previous || level != suspect.Well {
			o.Report(o.Group, suspect.Report{Observer: o.Name, Domain: o.Domain, Slot: o.Slot, Level: level})
		}
		if !ok {
			sleepUntil(ctx, start.Add(suspect.ProbeInterval))
		}
	}
}

// observeOnce connects or probes once. It returns true if the next call is due
// immediately, and false if it is due one probe interval after this one began.
func (o *Observer) observeOnce(ctx context.Context) (ok bool) {
	if o.ctl == nil {
		return o.dial(ctx)
	}
	probeCtx, cancel := context.WithTimeout(ctx, suspect.ProbeInterval+o.detector.Timeout())
	defer cancel()
	if o.Between != nil {
		if err := o.Between(probeCtx, o.ctl); err != nil {
			return o.handleFailure(ctx, probeCtx)
		}
	}
	start := time.Now()
	st, err := o.ctl.Wait(probeCtx, o.last, suspect.ProbeInterval)
	if err != nil {
		return o.handleFailure(ctx, probeCtx)
	}
	o.handleStatus(st, start, max(0, time.Since(start)-suspect.ProbeInterval))
	return true
}

// handleFailure handles a command on the connection that failed. If probeCtx has
// ended, the endpoint did not answer in time. The result is that of observeOnce.
func (o *Observer) handleFailure(ctx, probeCtx context.Context) (ok bool) {
	o.disconnect()
	if probeCtx.Err() != nil {
		o.detector.Missed()
		return true // the probe interval passed during the wait
	}
	o.detector.Broken()
	o.dial(ctx)
	return false // limits the dial rate if the endpoint breaks every connection
}

// dial connects and reads the first status. An endpoint that refuses the
// connection with an SQLSTATE error is alive.
func (o *Observer) dial(ctx context.Context) (ok bool) {
	probeCtx, cancel := context.WithTimeout(ctx, o.detector.Timeout())
	defer cancel()
	start := time.Now()
	ctl, err := o.Connect(probeCtx, o.Group, o.Slot)
	if err != nil {
		var refused interface{ SQLState() string }
		if errors.As(err, &refused) {
			o.detector.Answered(time.Since(start))
		} else {
			o.detector.DialFailed()
		}
		return false
	}
	o.ctl = ctl
	st, err := ctl.Status(probeCtx)
	if err != nil {
		o.disconnect()
		o.detector.Missed()
		return false
	}
	o.handleStatus(st, start, time.Since(start))
	return true
}

func (o *Observer) handleStatus(st endpoint.Status, asked time.Time, rtt time.Duration) {
	o.last = st
	o.detector.Answered(rtt)
	if o.Status != nil {
		o.Status(o.Group, st, asked)
	}
}

func (o *Observer) disconnect() {
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
