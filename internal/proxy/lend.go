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

// Lend implements hop.Lender: it lends a connection of this daemon's own.
func (s *Server) Lend(o hop.BorrowRequest) (hop.Loan, error) {
	l, ok := s.leadOf(o.Endpoint)
	if !ok {
		return nil, &hop.NotLentError{Detail: "endpoint is not known"}
	}
	c, err := l.pool.local.Get(o.WaitDeadline, o.Priority, o.Needs)
	if err != nil {
		s.failed(l, err)
		return nil, err
	}
	if err := c.Align(o.Deadline, s.cfg.Texts, o.Needs); err != nil {
		dropUnaligned(l.pool, c, err)
		return nil, err
	}
	return &lent{server: s, lead: l, conn: c}, nil
}

// leadOf returns an endpoint by its id, with the number of its service's primary.
func (s *Server) leadOf(id string) (lead, bool) {
	p := s.cfg.View.Snapshot()
	e := p.Endpoint(id)
	if e == nil {
		return lead{}, false
	}
	return lead{endpoint: e, pool: s.source(e), number: p.Service(e.Service).PrimaryNumber}, true
}

// Mark implements hop.Lender. The primary is asked by this daemon itself: a carrier that
// asked another could be waiting for its own question.
func (s *Server) Mark(service string, since time.Duration, deadline time.Time) (mark.Mark, uint64, error) {
	st := s.service(service)
	number := st.currentNumber()
	m, err := s.markSince(service, since, deadline, refreshPriority, askDirectly)
	if err == nil && st.currentNumber() != number {
		// Which of the two primaries told it is not known here.
		err = &stmt.Error{Code: stmt.CodeLagging, Detail: "primary changed"}
	}
	return m, number, err
}

// lent is a connection on loan to another entry.
type lent struct {
	server *Server
	lead   lead
	conn   *pool.Conn
	// isLed is set inside a transaction that only a primary begins.
	isLed bool
}

// Conn implements hop.Lent.
func (l *lent) Conn() *pool.Conn { return l.conn }

// Do implements hop.Lent.
func (l *lent) Do(deadline time.Time, text, id string, after logpos.Pos) (stmt.Reply, error) {
	asked, sent := boottime.Now(), time.Now()
	reply, err := l.conn.Do(deadline, text, id, after)
	if err != nil {
		l.server.failed(l.lead, err)
		return reply, err
	}
	if reply.Err != nil {
		l.server.refused(l.lead, reply.Err)
		if reply.Err.Code == stmt.CodeLagging {
			l.lead.pool.local.RecordLagging(reply.Pos)
		}
		return reply, nil
	}
	took := time.Duration(0)
	if len(reply.Rows) > 0 {
		took = time.Since(sent)
	}
	l.server.answered(l.lead, reply.Pos, took)
	isBegin := text == l.server.cfg.Texts.Begin(false)
	l.isLed = reply.State == stmt.InTransaction && (l.isLed || isBegin)
	if l.isLed {
		// Every answer inside such a transaction proves the lead.
		l.server.service(l.lead.endpoint.Service).learn(l.lead.number, asked, reply.Pos)
	}
	return reply, nil
}

// Return implements hop.Lent.
func (l *lent) Return() { l.lead.pool.local.Put(l.conn) }

// Discard implements hop.Lent.
func (l *lent) Discard() { l.lead.pool.local.Discard(l.conn) }
