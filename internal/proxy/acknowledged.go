package proxy

import (
	"context"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/acked"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/internal/shared/wait"
)

const (
	// maxConfirmations is how often a confirmation is sent that control does not receive,
	// confirmInterval the time between two.
	maxConfirmations = 4
	confirmInterval  = 50 * time.Millisecond
	// confirmTimeout bounds one confirmation. Control does not wait longer.
	confirmTimeout = 500 * time.Millisecond
)

// acknowledge records that the success of a commit at a primary is passed on to the caller; pos
// is the position that came with it. It returns false if it must not be, because the commit may
// be lost: control replaces the primary, and the next one may lack it. While control replaces a
// primary that serves, acknowledge waits until deadline for the successor to receive the commit.
// Services without synchronous replicas may lose commits anyway.
func (s *Server) acknowledge(service string, t target, pos logpos.Pos, deadline time.Time) bool {
	sv := s.cfg.View.Snapshot().Service(service)
	if sv == nil || sv.Config.SyncReplicas == 0 {
		return true
	}
	st := s.service(service)
	missing, isMissing, verdict := st.acknowledge(t.primaryNumber, pos)
	if verdict == acked.Await {
		missing, isMissing, verdict = s.awaitSuccessor(st, t.primaryNumber, pos, deadline)
	}
	if isMissing {
		s.reportMissing(service, missing)
	}
	if verdict != acked.Pass {
		s.cfg.Metrics.CommitWithheld()
		s.log.Info("success of a commit not passed on", "service", service, "endpoint", t.endpoint.Id,
			"number", t.primaryNumber, "position", pos.String())
	}
	return verdict == acked.Pass
}

// closedError is the answer to a write while the acknowledgements of the primary are closed.
// The write was not sent.
func closedError() *stmt.Error {
	return &stmt.Error{Code: stmt.CodeBusy, Detail: "the primary is being replaced"}
}

// unconfirmedError is the answer to a commit whose success must not be passed on.
func unconfirmedError() *stmt.Error {
	return &stmt.Error{Code: stmt.CodeInDoubt, Detail: "the primary was replaced meanwhile"}
}

// isClosed reports whether control has closed the acknowledgements of a service's primary, or
// of the former one that t names.
func (s *Server) isClosed(service string, t target) bool {
	return s.service(service).isClosed(t.primaryNumber, time.Now())
}

// reportMissing reports that a primary lacks an acknowledged commit.
func (s *Server) reportMissing(service string, m acked.Missing) {
	s.cfg.Metrics.CommitMissing()
	s.log.Info("acknowledged commit is missing", "service", service, "endpoint", m.Record.EndpointId,
		"number", m.Record.Number, "token", m.Record.Token, "term", m.Record.Term,
		"acknowledged", m.Acknowledged.String(), "inherited", m.Inherited.String())
}

// applyClosed closes or opens the acknowledgements of a service's primary, or closes those of
// commits that its successor lacks. It confirms that to control, once for each attempt.
func (s *Server) applyClosed(service *fleetview.Service) {
	if service.Record == nil {
		return
	}
	st := s.service(service.Config.Name)
	highest, isNew := st.applyClosed(service.Record)
	if !isNew {
		return
	}
	if service.Record.SuccessorId != "" {
		// Control connects to the successor before a commit waits for it.
		s.startPolling(st)
	}
	r := &fleetpb.ConfirmClosedRequest{
		Daemon: s.cfg.Name, Service: service.Config.Name, Token: service.Record.ClosedToken,
		Acknowledged: &fleetpb.LogPosition{Term: highest.Term, Index: highest.Index},
	}
	s.log.Info("acknowledgements closed", "service", r.Service, "number", service.PrimaryNumber, "token", r.Token,
		"successor", service.Record.SuccessorId, "acknowledged", highest.String())
	go s.confirmClosed(r)
}

// confirmClosed sends a confirmation until control has received it.
func (s *Server) confirmClosed(r *fleetpb.ConfirmClosedRequest) {
	for range maxConfirmations {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		err := s.cfg.Reporter.ConfirmClosed(ctx, r)
		cancel()
		if err == nil {
			return
		}
		s.log.Info("confirmation not delivered", "service", r.Service, "token", r.Token, "error", err.Error())
		wait.For(context.Background(), confirmInterval)
	}
}

// acknowledge is acked.Commits.Acknowledge if the success of the commit may be passed on. The
// check and the record are one step, so that a confirmation covers every commit that is passed on.
func (st *serviceState) acknowledge(primaryNumber uint64, pos logpos.Pos) (missing acked.Missing, isMissing bool, verdict acked.Verdict) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if verdict := st.gate.Check(primaryNumber, pos); verdict != acked.Pass {
		return acked.Missing{}, false, verdict
	}
	missing, isMissing = st.acked.Acknowledge(pos)
	return missing, isMissing, acked.Pass
}

// isClosed reports whether no commit should be sent to a primary, as its success would probably
// not be passed on.
func (st *serviceState) isClosed(primaryNumber uint64, now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.isStalled(now) || st.gate.IsClosed(primaryNumber)
}

// applyClosed applies whether the acknowledgements of the primary are closed. isNew reports
// whether they are closed by an attempt that was not known; highest is then the position of the
// last commit that was passed on.
func (st *serviceState) applyClosed(record *fleetpb.Primary) (highest logpos.Pos, isNew bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	isNew = st.gate.Apply(record)
	if isNew || st.gate.Successor() == "" {
		st.restartWait()
	}
	st.wakeWaiting()
	return st.acked.Highest(), isNew
}

// applyRecord is acked.Commits.Apply.
func (st *serviceState) applyRecord(record *fleetpb.Primary) (acked.Missing, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.acked.Apply(record)
}
