package proxy

import (
	"context"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// stallThreshold is how long a write may take before its primary is reported as
	// stalled: many times what writes take, but within callers' deadlines.
	stallThreshold = 350 * time.Millisecond
	// minReportInterval is the minimum time between two reports about one endpoint.
	minReportInterval = 300 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 2 * time.Second
)

// failed records that an attempt to use an endpoint failed with err. It reports the endpoint
// to control if err shows that the endpoint is unreachable, or that it is an overloaded
// primary.
func (s *Server) failed(t target, err error) {
	if indicatesFailure(err) {
		s.behaved(t, true)
	}
	var full *pool.FullError
	if asFull(err, &full) {
		s.reportOverload(t, err)
	}
	if !indicatesUnreachable(err) {
		return
	}
	t.pool.local.RecordFailure()
	s.reachability.failed(s.isInOtherDomain(t.endpoint), time.Now())
	s.report(t.endpoint, fleetpb.Suspicion_SUSPICION_UNREACHABLE, err)
}

// watchStall reports the primary if a write takes longer than stallThreshold. stop must be
// called when the write has ended.
func (s *Server) watchStall(t target) (stop func()) {
	timer := time.AfterFunc(stallThreshold, func() { s.reportStall(t, &stalledError{}) })
	return func() { timer.Stop() }
}

// reportStall reports to control that writes at a primary do not end.
func (s *Server) reportStall(t target, cause error) {
	s.report(t.endpoint, fleetpb.Suspicion_SUSPICION_STALLED, cause)
}

// stalledError reports a write that has not ended after stallThreshold.
type stalledError struct{}

func (*stalledError) Error() string { return "write has not ended after " + stallThreshold.String() }

// answered records an answer of an endpoint: the position that it reported and the
// statement's time. With a time of 0 only the position counts.
func (s *Server) answered(t target, pos logpos.Pos, took time.Duration) {
	t.pool.local.RecordAnswer(pos, took)
	s.behaved(t, false)
	s.reachability.answered(s.isInOtherDomain(t.endpoint), time.Now())
}

// report reports an endpoint to control in the background. It drops a report that follows
// another about the same endpoint within minReportInterval.
func (s *Server) report(e *fleetpb.Endpoint, suspicion fleetpb.Suspicion, cause error) {
	now := time.Now()
	s.mu.Lock()
	if now.Sub(s.lastReportAt[e.Id]) < minReportInterval {
		s.mu.Unlock()
		return
	}
	s.lastReportAt[e.Id] = now
	s.mu.Unlock()
	s.log.Info("endpoint does not serve", "endpoint", e.Id, "service", e.Service,
		"suspicion", suspicion.String(), "error", cause.Error())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		err := s.cfg.Reporter.Report(ctx, &fleetpb.ReportRequest{
			Daemon: s.cfg.Name, FailureDomain: s.cfg.FailureDomain, Service: e.Service,
			EndpointId: e.Id, Suspicion: suspicion,
		})
		if err != nil {
			s.log.Info("report not delivered", "endpoint", e.Id, "error", err.Error())
		}
	}()
}

// refused records that an endpoint refused a statement.
func (s *Server) refused(t target, e *stmt.Error) {
	if e.Code == stmt.CodeFailed || e.Code == stmt.CodeTimeout {
		s.behaved(t, true)
	}
	if e.Code == stmt.CodeBusy {
		t.pool.local.RecordBusy(e)
		s.reportOverload(t, e)
	}
}

// reportOverload handles a statement that an endpoint had no room for. It reports the
// primary to control if replicas lag: then reads depend on the primary, and only control
// can change that.
func (s *Server) reportOverload(t target, cause error) {
	sv := s.cfg.View.Snapshot().Service(t.endpoint.Service)
	isPrimary := sv != nil && sv.PrimaryID == t.endpoint.Id
	if isPrimary && s.service(t.endpoint.Service).isLagging(time.Now()) {
		s.report(t.endpoint, fleetpb.Suspicion_SUSPICION_OVERLOADED, cause)
	}
}
