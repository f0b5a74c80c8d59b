package proxy

import (
	"time"

	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/mark"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// Lend implements hop.Lender. It lends a connection of this daemon's own pool.
func (s *Server) Lend(r hop.BorrowRequest) (hop.Loan, error) {
	t, ok := s.targetOf(r.Endpoint)
	if !ok {
		return nil, &hop.NotLentError{Detail: "endpoint is not known"}
	}
	c, err := t.pool.local.GetInTime(r.Pool())
	if err != nil {
		s.failed(t, err)
		return nil, err
	}
	if err := c.Align(r.Deadline, s.cfg.Texts, r.Needs); err != nil {
		releaseUnaligned(t.pool, c, err)
		return nil, err
	}
	return &loan{server: s, target: t, conn: c}, nil
}

// Load implements hop.Lender.
func (s *Server) Load(endpoint string, priority int32) (pool.Load, bool) {
	t, ok := s.targetOf(endpoint)
	if !ok {
		return pool.Load{}, false
	}
	return t.pool.local.Load(priority), true
}

// targetOf returns the target for an endpoint id. It reports false if the endpoint is not
// known.
func (s *Server) targetOf(id string) (target, bool) {
	snapshot := s.cfg.View.Snapshot()
	e := snapshot.Endpoint(id)
	if e == nil {
		return target{}, false
	}
	return target{endpoint: e, pool: s.source(e), primaryNumber: snapshot.Service(e.Service).PrimaryNumber}, true
}

// Mark implements hop.Lender. This daemon asks the primary itself: a carrier that asked
// another carrier could end up waiting for its own request.
func (s *Server) Mark(service string, since time.Duration, deadline time.Time) (mark.Mark, uint64, error) {
	st := s.service(service)
	primaryNumber := st.currentPrimaryNumber()
	m, err := s.markSince(service, since, deadline, watermarkPriority, askPrimaryOnly)
	if err == nil && st.currentPrimaryNumber() != primaryNumber {
		// It is not known which of the two primaries reported the position.
		err = &stmt.Error{Code: stmt.CodeLagging, Detail: "primary changed"}
	}
	return m, primaryNumber, err
}

// loan is a connection on loan to another entry. It implements hop.Loan.
type loan struct {
	server *Server
	target target
	conn   *pool.Conn
	// inPrimaryTransaction is set inside a read-write transaction, which only a primary
	// begins.
	inPrimaryTransaction bool
}

// Conn implements hop.Loan.
func (l *loan) Conn() *pool.Conn { return l.conn }

// Do implements hop.Loan.
func (l *loan) Do(deadline time.Time, text, id string, after logpos.Pos) (stmt.Reply, error) {
	requestedAt, sentAt := boottime.Now(), time.Now()
	reply, err := l.conn.Do(deadline, text, id, after)
	if err != nil {
		l.server.failed(l.target, err)
		return reply, err
	}
	if reply.Err != nil {
		l.server.refused(l.target, reply.Err)
		if reply.Err.Code == stmt.CodeLagging {
			l.target.pool.local.RecordLagging(reply.Pos)
		}
		return reply, nil
	}
	took := time.Duration(0)
	if len(reply.Rows) > 0 {
		took = time.Since(sentAt)
	}
	l.server.answered(l.target, reply.Pos, took)
	isBegin := text == l.server.cfg.Texts.Begin(false)
	l.inPrimaryTransaction = reply.State == stmt.InTransaction && (l.inPrimaryTransaction || isBegin)
	if l.inPrimaryTransaction {
		// Every answer inside such a transaction proves that the endpoint is still the
		// primary.
		l.server.service(l.target.endpoint.Service).recordPosition(l.target.primaryNumber, requestedAt, reply.Pos)
	}
	return reply, nil
}

// Execute implements hop.Loan.
func (l *loan) Execute(shape, args string) string {
	return l.server.cfg.Texts.Execute(l.conn.Prepared[shape], args)
}

// RollBack implements hop.Loan.
func (l *loan) RollBack(deadline time.Time) {
	reply, err := l.Do(deadline, l.server.cfg.Texts.Rollback(), "", logpos.Pos{})
	if err != nil || reply.State != stmt.Idle {
		l.Discard()
		return
	}
	l.Return()
}

// Return implements hop.Loan.
func (l *loan) Return() { l.target.pool.local.Put(l.conn) }

// Discard implements hop.Loan.
func (l *loan) Discard() { l.target.pool.local.Discard(l.conn) }
