package proxy

import (
	"time"

	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/stmt"
)

// observe counts an answer by the route that it came through.
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

// observeAbandoned counts an answer that its caller did not take.
func (ss *session) observeAbandoned() {
	if route := ss.server.cfg.View.Snapshot().Route(ss.database); route != nil {
		ss.server.cfg.Metrics.Request(route.Name, metrics.OutcomeAbandoned, 0)
	}
}

func runsAtEndpoint(kind stmt.Kind) bool {
	switch kind {
	case stmt.Read, stmt.Write, stmt.Execute, stmt.Commit:
		return true
	}
	return false
}

func outcomeOf(reply stmt.Reply) metrics.Outcome {
	switch {
	case reply.Err == nil:
		return metrics.OutcomeDone
	case reply.Err.Code == stmt.CodeInDoubt || reply.Err.Code == stmt.CodeTimeout || reply.Err.Code == stmt.CodeFailed:
		return metrics.OutcomeUnknown
	}
	return metrics.OutcomeNotRun
}

// observeRead counts where a read was served.
func (s *Server) observeRead(route string, l lead) {
	target := metrics.TargetReplica
	if sv := s.cfg.View.Snapshot().Service(l.endpoint.Service); sv != nil && sv.PrimaryID == l.endpoint.Id {
		target = metrics.TargetPrimary
	}
	s.cfg.Metrics.Read(route, target)
}
