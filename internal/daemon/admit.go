package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hemlockmast/api/service"
	"hemlockmast/internal/entryside/admission"
	"hemlockmast/internal/entryside/entry"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/outcome"
)

// entryCapacity is the maximum number of segments in progress on one daemon.
const entryCapacity = 8192

// admitter adapts the admission gate to entry.Admitter and records its metrics.
type admitter struct {
	gate    *admission.Gate
	metrics *metrics.Set
}

var _ entry.Admitter = admitter{}

func newAdmitter(m *metrics.Set) admitter {
	return admitter{gate: admission.NewGate(time.Now, entryCapacity, nil), metrics: m}
}

// configure passes the services of cfg to the gate.
func (a admitter) configure(cfg *service.Configuration) {
	services := make([]admission.Service, 0, len(cfg.Services))
	for _, s := range cfg.Services {
		services = append(services, admission.Service{
			Name: s.Name, Priority: int(s.Priority), Weight: int(s.Concurrency),
			Concurrency: int(s.Concurrency), QueueLength: int(s.QueueLength),
		})
	}
	a.gate.Configure(entryCapacity, services)
}

// Admit implements entry.Admitter.
func (a admitter) Admit(ctx context.Context, s entry.Service, inTransaction bool) (entry.Permit, error) {
	deadline, _ := ctx.Deadline()
	a.gate.FirstTry(s.Name)
	permit, err := a.gate.Acquire(ctx, admission.Work{
		Service: s.Name, Deadline: deadline, InTransaction: inTransaction,
	})
	if err != nil {
		return nil, a.refusal(ctx, s, err)
	}
	a.metrics.Queued(s.Name, permit.Waited)
	return permit, nil
}

// refusal converts an error of the gate to the *outcome.Error for the caller.
func (a admitter) refusal(ctx context.Context, s entry.Service, err error) error {
	var refused *admission.RefusedError
	if !errors.As(err, &refused) {
		return outcome.NotRunError(outcome.CodeQueryCanceled, outcome.ReasonCanceled,
			"canceled while waiting for admission", context.Cause(ctx))
	}
	a.metrics.Queued(s.Name, refused.Waited)
	code, reason := outcome.CodeInsufficientResources, outcome.ReasonQueueFull
	switch refused.Reason {
	case admission.ReasonNoTime:
		code, reason = outcome.CodeQueryCanceled, outcome.ReasonDeadline
	case admission.ReasonStopping:
		code, reason = outcome.CodeAdminShutdown, outcome.ReasonDraining
	case admission.ReasonUnknownService:
		code, reason = outcome.CodeInvalidCatalogName, outcome.ReasonUnknownTarget
	}
	return outcome.NotRunError(code, reason, refused.Error(), nil)
}

// Retry implements entry.Admitter.
func (a admitter) Retry(service string) bool {
	granted := a.gate.Retry(service)
	a.metrics.Retry(service, granted)
	return granted
}

// observer counts the outcomes of segments as metrics.
type observer struct{ metrics *metrics.Set }

var _ entry.Observer = observer{}

// Segment implements entry.Observer.
func (o observer) Segment(s entry.Segment) {
	o.metrics.Request(s.Service, outcomes[s.Verdict], s.Wait)
	if s.Verdict == entry.VerdictNotRun {
		o.metrics.Refused(s.Service, string(s.Reason))
	}
	if s.Verdict != entry.VerdictDone || s.Write || s.InTransaction {
		return
	}
	target := metrics.TargetReplica
	if s.Primary {
		target = metrics.TargetPrimary
	}
	o.metrics.Read(s.Service, target)
}

// outcomes maps the verdicts of the entry to those of the metrics.
var outcomes = map[entry.Verdict]metrics.Outcome{
	entry.VerdictDone:      metrics.OutcomeDone,
	entry.VerdictNotRun:    metrics.OutcomeNotRun,
	entry.VerdictUnknown:   metrics.OutcomeUnknown,
	entry.VerdictAbandoned: metrics.OutcomeAbandoned,
}
