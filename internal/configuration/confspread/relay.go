package confspread

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"hemlockmast/api/confspread"

	"hemlockmast/internal/shared/wait"
)

// Poll answers a daemon of the failure domain, or a relay of another one that
// cannot reach control.
func (d *Daemon) Poll(ctx context.Context, request *confspread.PollRequest) (*confspread.PollResponse, error) {
	arrival := d.opts.Now()
	from := request.GetFrom()
	if err := checkMember(from.GetName(), from.GetFailureDomain()); err != nil {
		return nil, twirp.InvalidArgumentError("from", err.Error())
	}
	d.noteCaller(arrival, request)
	if request.GetConfirmNow() {
		wake(d.refresh)
	}
	hold := time.NewTimer(holdOf(request))
	defer hold.Stop()
	for {
		answer, ready, changed := d.answer(arrival, request)
		if ready {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return nil, twirp.WrapError(twirp.NewError(twirp.Canceled, "caller went away"), ctx.Err())
		case <-hold.C:
			answer, _, _ = d.answer(arrival, request)
			return answer, nil
		case <-changed:
		}
	}
}

func holdOf(request *confspread.PollRequest) time.Duration {
	hold := time.Duration(request.GetHoldMs()) * time.Millisecond
	return min(hold, pollHold)
}

func (d *Daemon) noteCaller(now time.Time, request *confspread.PollRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chooser.RecordPolled(now)
	if request.GetFrom().GetFailureDomain() != d.opts.Self.FailureDomain {
		return
	}
	if d.board.RecordPoll(now, request) {
		wake(d.news)
	}
}

// answer returns the present answer, whether it should be sent without waiting
// longer, and what to wait for.
func (d *Daemon) answer(arrival time.Time, request *confspread.PollRequest) (*confspread.PollResponse, bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	versions := d.follower.Versions()
	confirmedAt := d.follower.ConfirmedAt()
	answer := &confspread.PollResponse{
		Revision:  versions.Revision(),
		Update:    versions.UpdateSince(request.GetRevision()),
		HeldUs:    now.Sub(arrival).Microseconds(),
		Confirmed: !confirmedAt.IsZero(),
	}
	if answer.Confirmed {
		// One microsecond more makes up for the two roundings.
		answer.ConfirmedAgeUs = now.Sub(confirmedAt).Microseconds() + 1
	}
	ready := answer.Update != nil
	if request.GetConfirmNow() {
		ready = answer.Confirmed && !confirmedAt.Before(arrival)
	}
	return answer, ready, d.changed
}

// reportLoop tells control who runs which revision, while this daemon relays.
func (d *Daemon) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.news:
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

func (d *Daemon) nextReport() (string, *confspread.DomainReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	d.board.RecordPoll(now, d.describe())
	return d.upstream, d.board.DomainReport(now, d.opts.Self.FailureDomain, d.opts.Self.Name)
}
