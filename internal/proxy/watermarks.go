package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/mark"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// denseInterval is the greatest distance of watermarks while replicas lag, and
	// denseTime how long they are kept so after a replica lacked one.
	denseInterval = 120 * time.Millisecond
	denseTime     = 2 * time.Second
	// controlQuestion is how long control may take to tell a position before the
	// primary is asked directly: a few round trips and a new connection.
	controlQuestion = 120 * time.Millisecond
	// refreshPriority goes before every route: one watermark serves many reads.
	refreshPriority = -1
)

// serviceState is what this entry knows of a service's log.
type serviceState struct {
	// mu guards the fields below; nothing else is locked under it.
	mu     sync.Mutex
	number uint64
	marks  mark.History
	// lagUntil is until when replicas count as lagging. denseUntil is until when marks
	// are kept dense for that, refreshing whether that is being done.
	lagUntil   time.Time
	denseUntil time.Time
	refreshing bool
	// asking are the questions that are on their way, if any, by how they are asked.
	asking [2]*question
	// isCarried is set while entries share carriers' connections.
	isCarried bool
}

// askHow says whom a question for a position goes to.
type askHow int

const (
	// askNearest asks the primary's carrier where there is one.
	askNearest askHow = iota
	// askDirectly asks over a connection of this daemon's own.
	askDirectly
)

// currentNumber is the number of the primary record that marks belong to.
func (st *serviceState) currentNumber() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.number
}

func (st *serviceState) follow(number uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if number != st.number {
		st.number = number
		st.marks.Reset()
	}
}

// learn takes a position that a primary told in answer to what was sent at asked.
// number is the primary's, so that an answer of a former one is not used.
func (st *serviceState) learn(number uint64, asked time.Duration, pos logpos.Pos) {
	if !pos.IsZero() {
		st.add(number, mark.Mark{RequestedAt: asked, Pos: pos})
	}
}

// add takes a mark in; one with no position says that the log was empty.
func (st *serviceState) add(number uint64, m mark.Mark) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if number == st.number {
		st.marks.Add(m)
	}
}

func (st *serviceState) since(t time.Duration) (mark.Mark, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.marks.Since(t)
}

// isLagging reports whether a replica lacked a watermark of late.
func (st *serviceState) isLagging(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return now.Before(st.lagUntil)
}

// lagged notes that a replica lacked a watermark. Where marks are far apart, the
// oldest one that is young enough may be much younger than need be, and replicas
// that could serve a read lack it; so marks are kept dense for a while. Where a session
// waits for its own last write, isOwnFloor, other marks would not help it.
func (s *Server) lagged(service string, isOwnFloor bool) {
	st := s.service(service)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lagUntil = time.Now().Add(denseTime)
	if isOwnFloor {
		return
	}
	st.denseUntil = st.lagUntil
	if !st.refreshing {
		st.refreshing = true
		go s.refresh(service, st)
	}
}

// refresh asks the primary for marks until replicas have not lagged for denseTime.
func (s *Server) refresh(service string, st *serviceState) {
	for {
		time.Sleep(denseInterval)
		st.mu.Lock()
		if time.Now().After(st.denseUntil) {
			st.refreshing = false
			st.mu.Unlock()
			return
		}
		newest := st.marks.NewestRequestedAt()
		st.mu.Unlock()
		now := boottime.Now()
		if now-newest < denseInterval {
			continue
		}
		if _, err := s.markSince(service, now, time.Now().Add(denseInterval), refreshPriority, askNearest); err != nil {
			s.log.V(1).Info("watermark not refreshed", "service", service, "error", err.Error())
		}
	}
}

// question is a question for the primary's position, shared by all who may use
// its answer.
type question struct {
	asked time.Duration
	done  chan struct{}
	err   error
}

// markSince returns a watermark that covers every commit acknowledged before t.
// If none is known, the primary is asked.
func (s *Server) markSince(service string, t time.Duration, deadline time.Time, priority int32, how askHow) (mark.Mark, error) {
	st := s.service(service)
	for {
		if m, ok := st.since(t); ok {
			return m, nil
		}
		st.mu.Lock()
		q := st.asking[how]
		if q == nil {
			q = &question{asked: boottime.Now(), done: make(chan struct{})}
			st.asking[how] = q
			st.mu.Unlock()
			q.err = s.ask(service, st, q, since{t: t, how: how}, deadline, priority)
			st.mu.Lock()
			st.asking[how] = nil
			st.mu.Unlock()
			close(q.done)
		} else {
			st.mu.Unlock()
			select {
			case <-q.done:
			case <-time.After(time.Until(deadline)):
				return mark.Mark{}, &stmt.Error{Code: stmt.CodeLagging, Detail: "primary not asked in time"}
			}
		}
		if q.asked >= t {
			m, ok := st.since(t)
			switch {
			case ok:
				return m, nil
			case q.err != nil:
				return mark.Mark{}, q.err
			}
			// The primary changed while it was asked.
			return mark.Mark{}, &stmt.Error{Code: stmt.CodeLagging, Detail: "primary changed"}
		}
		if !time.Now().Before(deadline) {
			return mark.Mark{}, &stmt.Error{Code: stmt.CodeLagging, Detail: "primary not asked in time"}
		}
	}
}

// since is what a question is for: a position that covers every commit acknowledged before
// t.
type since struct {
	t   time.Duration
	how askHow
}

// ask asks for the primary's position: its carrier, which knows it or asks once for a
// failure domain; else the primary over a connection that is open anyway, else through
// control, which asks for many entries at once.
func (s *Server) ask(service string, st *serviceState, q *question, w since, deadline time.Time, priority int32) error {
	lead, err := s.primary(service)
	if err != nil {
		return err
	}
	if w.how == askNearest {
		if isAsked, err := s.askCarrier(lead, st, q, w.t, deadline); isAsked {
			return err
		}
	}
	if w.how == askNearest && !lead.pool.State().HasIdle && s.askControl(lead, st, q, deadline) {
		return nil
	}
	c, err := lead.pool.local.Get(deadline, priority, anyConnection)
	if err != nil {
		s.failed(lead, err)
		return notRun(err)
	}
	reply, asked, err := s.guard(lead, c, deadline)
	if err != nil {
		return &stmt.Error{Code: stmt.CodeLagging, Detail: "primary does not answer"}
	}
	q.asked = asked
	if reply.Err != nil {
		lead.pool.Put(c)
		return reply.Err
	}
	if reply.Pos.IsZero() {
		s.askEmpty(lead, c, st, deadline)
	}
	s.endGuard(lead, c, deadline)
	return nil
}

// askCarrier asks the primary's carrier; isAsked is set if one was reached. What it says
// of the primary is not asked again: it would be told the same.
func (s *Server) askCarrier(l lead, st *serviceState, q *question, t time.Duration, deadline time.Time) (isAsked bool, err error) {
	for _, name := range l.pool.lenders() {
		m, number, err := s.hop.Mark(name, l.endpoint.Service, t, deadline)
		var unreachable *hop.UnreachableError
		switch {
		case errors.As(err, &unreachable):
			continue
		case err != nil:
			return true, notRun(err)
		case number != l.number:
			return true, &stmt.Error{Code: stmt.CodeLagging, Detail: "primary changed"}
		}
		q.asked = m.RequestedAt
		st.add(number, m)
		return true, nil
	}
	return false, nil
}

// askControl asks for the primary's position through control; it reports whether an
// answer came.
func (s *Server) askControl(l lead, st *serviceState, q *question, deadline time.Time) bool {
	if s.cfg.ControlLost() > 0 {
		return false
	}
	end := time.Now().Add(controlQuestion)
	if deadline.Before(end) {
		end = deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	asked := boottime.Now()
	pos, err := s.cfg.Positions.Position(ctx, l.endpoint.Id)
	if err != nil {
		s.log.V(1).Info("position not told by control", "endpoint", l.endpoint.Id, "error", err.Error())
		return false
	}
	q.asked = asked
	st.add(l.number, mark.Mark{RequestedAt: asked, Pos: pos})
	return true
}

// askEmpty asks a primary that told no position whether its log is empty.
func (s *Server) askEmpty(l lead, c *pool.Conn, st *serviceState, deadline time.Time) {
	asked := boottime.Now()
	status, err := c.Status(deadline)
	if err != nil {
		s.log.Info("primary told no position", "endpoint", l.endpoint.Id, "error", err.Error())
		return
	}
	if status.Role == stmt.Primary {
		st.add(l.number, mark.Mark{RequestedAt: asked, Pos: status.Received})
	}
}

// guard opens a transaction of the proxy's own, which only a primary does: its
// answer tells a position that covers every commit acknowledged before asked.
// Unlike a question for the status it takes none of the endpoint's places. On an
// error the connection is given up; after a refusal no transaction is open.
func (s *Server) guard(l lead, c *pool.Conn, deadline time.Time) (reply stmt.Reply, asked time.Duration, err error) {
	asked = boottime.Now()
	reply, err = c.Do(deadline, s.cfg.Texts.Begin(false), "", logpos.Pos{})
	if err != nil {
		l.pool.Discard(c)
		s.failed(l, err)
		return reply, asked, err
	}
	if reply.Err == nil {
		s.service(l.endpoint.Service).learn(l.number, asked, reply.Pos)
		s.answered(l, reply.Pos, 0)
	}
	return reply, asked, nil
}

// endGuard rolls the proxy's own transaction back and returns the connection.
func (s *Server) endGuard(l lead, c *pool.Conn, deadline time.Time) {
	reply, err := c.Do(deadline, s.cfg.Texts.Rollback(), "", logpos.Pos{})
	if err != nil || reply.State != stmt.Idle {
		l.pool.Discard(c)
		return
	}
	l.pool.Put(c)
}
