package proxy

import (
	"time"

	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/stmt"
)

// observe counts a reply in the metrics of its route.
func (ss *session) observe(st stmt.Statement, reply stmt.Reply, elapsed time.Duration) {
	set := ss.server.cfg.Metrics
	route := ss.server.cfg.View.Snapshot().Route(ss.database)
	if route == nil || !runsAtEndpoint(st.Kind) {
		return
	}
	set.Request(route.Name, outcomeOf(reply), elapsed)
	if reply.Err != nil {
		set.Refused(route.Name, reply.Err.Code.String())
	}
}

// observeAbandoned counts a reply that could not be delivered to its caller.
func (ss *session) observeAbandoned() {
	if route := ss.server.cfg.View.Snapshot().Route(ss.database); route != nil {
		ss.server.cfg.Metrics.Request(route.Name, metrics.OutcomeAbandoned, 0)
	}
}

// runsAtEndpoint reports whether statements of a kind are run by an endpoint and counted
// as requests.
func runsAtEndpoint(kind stmt.Kind) bool {
	switch kind {
	case stmt.Read, stmt.Write, stmt.Execute, stmt.Commit:
		return true
	}
	return false
}

// outcomeOf returns the metric label of a reply.
func outcomeOf(reply stmt.Reply) metrics.Outcome {
	switch {
	case reply.Err == nil:
		return metrics.OutcomeDone
	case reply.Err.Code == stmt.CodeInDoubt || reply.Err.Code == stmt.CodeTimeout || reply.Err.Code == stmt.CodeFailed:
		return metrics.OutcomeUnknown
	}
	return metrics.OutcomeNotRun
}

// observeRead counts a read by the role of the endpoint that served it.
func (s *Server) observeRead(route string, t target) {
	servedBy := metrics.TargetReplica
	if sv := s.cfg.View.Snapshot().Service(t.endpoint.Service); sv != nil && sv.PrimaryID == t.endpoint.Id {
		servedBy = metrics.TargetPrimary
	}
	s.cfg.Metrics.Read(route, servedBy)
}
