package proxy

import (
	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/acked"
	"hemlockmast/internal/shared/logpos"
)

// acknowledged records the position that came with the answer to a successful write or commit.
// Services without synchronous replicas may lose commits and are left out.
func (s *Server) acknowledged(service string, pos logpos.Pos) {
	sv := s.cfg.View.Snapshot().Service(service)
	if sv == nil || sv.Config.SyncReplicas == 0 {
		return
	}
	if missing, ok := s.service(service).addAcknowledged(pos); ok {
		s.reportMissing(service, missing)
	}
}

// reportMissing reports that a primary lacks an acknowledged commit.
func (s *Server) reportMissing(service string, m acked.Missing) {
	s.cfg.Metrics.CommitMissing()
	s.log.Info("acknowledged commit is missing", "service", service, "endpoint", m.Record.EndpointId,
		"number", m.Record.Number, "token", m.Record.Token, "term", m.Record.Term,
		"acknowledged", m.Acknowledged.String(), "inherited", m.Inherited.String())
}

// addAcknowledged is acked.Commits.Acknowledge.
func (st *serviceState) addAcknowledged(pos logpos.Pos) (acked.Missing, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.acked.Acknowledge(pos)
}

// applyRecord is acked.Commits.Apply.
func (st *serviceState) applyRecord(record *fleetpb.Primary) (acked.Missing, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.acked.Apply(record)
}
