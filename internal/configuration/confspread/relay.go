package confspread

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"hemlockmast/api/confspread"

	"hemlockmast/internal/shared/wait"
)

// Poll answers the long poll of a daemon of the same failure domain, or of a
// relay of another domain that cannot reach control.
func (d *Daemon) Poll(ctx context.Context, request *confspread.PollRequest) (*confspread.PollResponse, error) {
	arrival := d.opts.Now()
	from := request.GetFrom()
	if err := checkMemberName(from.GetName(), from.GetFailureDomain()); err != nil {
		return nil, twirp.InvalidArgumentError("from", err.Error())
	}
	d.recordPoll(arrival, request)
	if request.GetConfirmNow() {
		wake(d.refresh)
	}
	hold := time.NewTimer(holdTime(request))
	defer hold.Stop()
	for {
		response, ready, changed := d.response(arrival, request)
		if ready {
			return response, nil
		}
		select {
		case <-ctx.Done():
			return nil, twirp.WrapError(twirp.NewError(twirp.Canceled, "caller went away"), ctx.Err())
		case <-hold.C:
			response, _, _ = d.response(arrival, request)
			return response, nil
		case <-changed:
		}
	}
}

// holdTime returns how long the request may be held, at most pollHold.
func holdTime(request *confspread.PollRequest) time.Duration {
	hold := time.Duration(request.GetHoldMs()) * time.Millisecond
	return min(hold, pollHold)
}

// recordPoll makes this daemon a relay and, for a daemon of the same failure
// domain, records its revision.
func (d *Daemon) recordPoll(now time.Time, request *confspread.PollRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selector.RecordPolled(now)
	if request.GetFrom().GetFailureDomain() != d.opts.Self.FailureDomain {
		return
	}
	if d.tracker.RecordPoll(now, request) {
		wake(d.reportDue)
	}
}

// response returns the response for the current state, whether to send it
// without further waiting, and the channel that is closed at the next change.
func (d *Daemon) response(arrival time.Time, request *confspread.PollRequest) (*confspread.PollResponse, bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	versions := d.follower.Versions()
	confirmedAt := d.follower.ConfirmedAt()
	response := &confspread.PollResponse{
		Revision:  versions.Revision(),
		Update:    versions.UpdateSince(request.GetRevision()),
		HeldUs:    now.Sub(arrival).Microseconds(),
		Confirmed: !confirmedAt.IsZero(),
	}
	if response.Confirmed {
		// HeldUs and ConfirmedAgeUs are both rounded down. The extra microsecond
		// keeps the confirmed time that the poller computes a lower bound.
		response.ConfirmedAgeUs = now.Sub(confirmedAt).Microseconds() + 1
	}
	ready := response.Update != nil
	if request.GetConfirmNow() {
		ready = response.Confirmed && !confirmedAt.Before(arrival)
	}
	return response, ready, d.changed
}

// reportLoop reports to control which daemon runs which revision, while this
// daemon follows control. A report is sent every reportInterval and shortly
// after each change.
func (d *Daemon) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.reportDue:
			wait.For(ctx, reportDelay)
		}
		d.report(ctx)
	}
}

func (d *Daemon) report(ctx context.Context) {
	addr, report := d.nextReport()
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := d.opts.Peers.Control(addr).Report(ctx, report); err != nil {
		d.opts.Log.V(1).Info("report failed", "addr", addr, "error", err.Error())
	}
}

// nextReport returns the next report and the control process to send it to. The
// address is empty while this daemon does not follow control.
func (d *Daemon) nextReport() (string, *confspread.DomainReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	d.tracker.RecordPoll(now, d.statusRequest())
	return d.controlUpstream, d.tracker.DomainReport(now, d.opts.Self.FailureDomain, d.opts.Self.Name)
}
