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
	// stallTime is how long a write may take before its primary is suspected: many
	// times what writes take, within the deadlines that callers have.
	stallTime = 350 * time.Millisecond
	// reportInterval is the least time between two reports about one endpoint.
	reportInterval = 300 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 2 * time.Second
)

// failed notes that an endpoint did not serve and tells control.
func (s *Server) failed(l lead, err error) {
	var full *pool.FullError
	if asFull(err, &full) {
		s.noRoom(l, err)
	}
	if !isFailure(err) {
		return
	}
	l.pool.local.RecordFailure()
	s.reach.failed(s.isFar(l.endpoint), time.Now())
	s.report(l.endpoint, fleetpb.Suspicion_SUSPICION_UNREACHABLE, err)
}

// watchStall reports a primary at which a write takes much longer than writes do.
// The caller calls the function that it returns once the write has ended.
func (s *Server) watchStall(l lead) (ended func()) {
	timer := time.AfterFunc(stallTime, func() { s.stalled(l, &stalledError{}) })
	return func() { timer.Stop() }
}

// stalled tells control that writes do not end at a primary.
func (s *Server) stalled(l lead, cause error) {
	s.report(l.endpoint, fleetpb.Suspicion_SUSPICION_STALLED, cause)
}

// stalledError says that a write has not ended.
type stalledError struct{}

func (*stalledError) Error() string { return "write has not ended after " + stallTime.String() }

// answered notes an answer of an endpoint.
func (s *Server) answered(l lead, pos logpos.Pos, took time.Duration) {
	l.pool.local.RecordAnswer(pos, took)
	s.reach.answered(s.isFar(l.endpoint), time.Now())
}

// report tells control, not more often than reportInterval for one endpoint.
func (s *Server) report(e *fleetpb.Endpoint, suspicion fleetpb.Suspicion, cause error) {
	now := time.Now()
	s.mu.Lock()
	if now.Sub(s.reported[e.Id]) < reportInterval {
		s.mu.Unlock()
		return
	}
	s.reported[e.Id] = now
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

// refused notes an endpoint's refusal of a statement.
func (s *Server) refused(l lead, e *stmt.Error) {
	if e.Code == stmt.CodeBusy {
		l.pool.local.RecordBusy(e)
		s.noRoom(l, e)
	}
}

// noRoom notes that an endpoint refused a statement since it has no room. Where
// replicas lag, only the primary can answer, and control can change that.
func (s *Server) noRoom(l lead, cause error) {
	sv := s.cfg.View.Snapshot().Service(l.endpoint.Service)
	isPrimary := sv != nil && sv.PrimaryID == l.endpoint.Id
	if isPrimary && s.service(l.endpoint.Service).isLagging(time.Now()) {
		s.report(l.endpoint, fleetpb.Suspicion_SUSPICION_OVERLOADED, cause)
	}
}
