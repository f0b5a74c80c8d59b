package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"hemlockmast/internal/proxy/acked"
	"hemlockmast/internal/proxy/carrier"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/mark"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// refreshInterval is the age of the newest watermark at which another is requested
	// while replicas lag. refreshWindow is how long replicas count as lagging after one of
	// them lacked a position.
	refreshInterval = 120 * time.Millisecond
	refreshWindow   = 2 * time.Second
	// controlPositionTimeout bounds the wait for a position from control, after which this
	// daemon asks the primary directly: a few round trips and a new connection.
	controlPositionTimeout = 120 * time.Millisecond
	// watermarkPriority precedes the priorities of all routes, because one watermark
	// serves many reads.
	watermarkPriority = -1
)

// serviceState is what this entry knows about a service's log.
type serviceState struct {
	behaviour behaviour

	// mu guards the fields below; no other lock is taken while it is held.
	mu sync.Mutex
	// primaryNumber is the number of the primary record that marks belong to.
	primaryNumber uint64
	marks         mark.History
	// laggingUntil is when replicas stop counting as lagging. refreshUntil is when
	// refreshMarks should end, and isRefreshing is set while it runs.
	laggingUntil time.Time
	refreshUntil time.Time
	isRefreshing bool
	// pending holds, by askMode, the position request in progress, or nil.
	pending [2]*positionRequest
	// acked holds the positions of acknowledged commits.
	acked acked.Commits
	// gate decides which successes of commits are passed on.
	gate acked.Gate
	// gateChanged is closed and replaced when a verdict of gate may have changed; nil without
	// waiting commits. waiting counts the commits whose successes wait for the successor.
	// waitingSince is since when the successor has received nothing although a commit waits, or
	// did until its deadline; zero if it holds all.
	gateChanged  chan struct{}
	waiting      int
	waitingSince time.Time
	// isPolling is set while pollSuccessor runs.
	isPolling bool
	// mode is who holds the connections to the service's endpoints.
	mode carrier.Mode
}

// askMode selects where a position is requested.
type askMode int

const (
	// askAnySource asks the primary's carrier where there is one, else the primary or
	// control.
	askAnySource askMode = iota
	// askPrimaryOnly asks the primary over a connection of this daemon's own.
	askPrimaryOnly
)

// currentPrimaryNumber returns the number of the primary record that the marks belong to.
func (st *serviceState) currentPrimaryNumber() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.primaryNumber
}

// apply applies the number of the current primary record. It removes the marks if the
// number has changed.
func (st *serviceState) apply(primaryNumber uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if primaryNumber != st.primaryNumber {
		st.primaryNumber = primaryNumber
		st.marks.Reset()
	}
}

// recordPosition adds a position that a primary reported in its answer to a request sent at
// requestedAt. primaryNumber is the number of its primary record, so that an answer of a
// former primary is ignored.
func (st *serviceState) recordPosition(primaryNumber uint64, requestedAt time.Duration, pos logpos.Pos) {
	if !pos.IsZero() {
		st.addMark(primaryNumber, mark.Mark{RequestedAt: requestedAt, Pos: pos})
	}
}

// addMark adds a mark. A mark with the zero position means that the log was empty. The mark
// is ignored if primaryNumber is not the current one.
func (st *serviceState) addMark(primaryNumber uint64, m mark.Mark) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if primaryNumber == st.primaryNumber {
		st.marks.Add(m)
	}
}

// since returns the oldest mark requested at t or later. It reports false if there is none.
func (st *serviceState) since(t time.Duration) (mark.Mark, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.marks.Since(t)
}

// isLagging reports whether a replica lacked a position within refreshWindow before now.
func (st *serviceState) isLagging(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return now.Before(st.laggingUntil)
}

// lagged records that a replica lacked the position that a read had to see. If marks are
// far apart, the oldest one within a staleness limit may be much more recent than
// necessary, so that replicas lack it although they could serve the read. Marks are
// therefore refreshed often for a while. isOwnWrite is set if the read needed its session's
// own last write: more marks would not help it.
func (s *Server) lagged(service string, isOwnWrite bool) {
	st := s.service(service)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.laggingUntil = time.Now().Add(refreshWindow)
	if isOwnWrite {
		return
	}
	st.refreshUntil = st.laggingUntil
	if !st.isRefreshing {
		st.isRefreshing = true
		go s.refreshMarks(service, st)
	}
}

// refreshMarks requests a mark every refreshInterval until replicas have not lagged for
// refreshWindow.
func (s *Server) refreshMarks(service string, st *serviceState) {
	for {
		time.Sleep(refreshInterval)
		st.mu.Lock()
		if time.Now().After(st.refreshUntil) {
			st.isRefreshing = false
			st.mu.Unlock()
			return
		}
		newest := st.marks.NewestRequestedAt()
		st.mu.Unlock()
		now := boottime.Now()
		if now-newest < refreshInterval {
			continue
		}
		if _, err := s.markSince(service, now, time.Now().Add(refreshInterval), watermarkPriority, askAnySource); err != nil {
			s.log.V(1).Info("watermark refresh failed", "service", service, "error", err.Error())
		}
	}
}

// positionRequest is a request for the primary's position. All reads that can use its
// answer share it.
type positionRequest struct {
	// requestedAt is when the request was sent, on the clock of package boottime; if it
	// failed, when it was created.
	requestedAt time.Duration
	// done is closed after requestedAt and err have been set.
	done chan struct{}
	err  error
}

// markSince returns a watermark that covers every commit acknowledged before t, on the clock
// of package boottime. If none is known, it requests one. Errors: *stmt.Error.
func (s *Server) markSince(service string, t time.Duration, deadline time.Time, priority int32, mode askMode) (mark.Mark, error) {
	st := s.service(service)
	for {
		if m, ok := st.since(t); ok {
			return m, nil
		}
		st.mu.Lock()
		q := st.pending[mode]
		if q == nil {
			q = &positionRequest{requestedAt: boottime.Now(), done: make(chan struct{})}
			st.pending[mode] = q
			st.mu.Unlock()
			q.err = s.askPosition(service, st, q, since{t: t, mode: mode}, deadline, priority)
			st.mu.Lock()
			st.pending[mode] = nil
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
		if q.requestedAt >= t {
			m, ok := st.since(t)
			switch {
			case ok:
				return m, nil
			case q.err != nil:
				return mark.Mark{}, q.err
			}
			// The primary changed during the request.
			return mark.Mark{}, &stmt.Error{Code: stmt.CodeLagging, Detail: "primary changed"}
		}
		if !time.Now().Before(deadline) {
			return mark.Mark{}, &stmt.Error{Code: stmt.CodeLagging, Detail: "primary not asked in time"}
		}
	}
}

// since describes a request for a position that covers every commit acknowledged before t.
type since struct {
	t    time.Duration
	mode askMode
}

// askPosition requests the primary's position and adds it as a mark. With askAnySource it
// first asks the primary's carrier, which knows the position or asks once for the failure
// domain. If there is none, it asks the primary over an idle connection. Without one it
// asks control, which asks once for many entries, and only then the primary over a new
// connection.
func (s *Server) askPosition(service string, st *serviceState, q *positionRequest, query since, deadline time.Time, priority int32) error {
	target, err := s.recordedPrimary(service)
	if err != nil {
		return err
	}
	if query.mode == askAnySource {
		if isReached, err := s.askCarrier(target, st, q, query.t, deadline); isReached {
			return err
		}
	}
	if query.mode == askAnySource && !target.pool.State().HasIdle && s.askControl(target, st, q, deadline) {
		return nil
	}
	c, err := target.pool.local.Get(deadline, priority, anyConnection)
	if err != nil {
		s.failed(target, err)
		return notRunError(err)
	}
	reply, requestedAt, err := s.beginGuard(target, c, deadline)
	if err != nil {
		return &stmt.Error{Code: stmt.CodeLagging, Detail: "primary does not answer"}
	}
	q.requestedAt = requestedAt
	if reply.Err != nil {
		target.pool.Put(c)
		return reply.Err
	}
	if reply.Pos.IsZero() {
		s.checkEmptyLog(target, c, st, deadline)
	}
	s.endGuard(target, c, deadline)
	return nil
}

// askCarrier requests the position from the primary's carrier, or its successor. isReached
// is set if one was reached. Its answer is then final, errors included: asking the primary
// again would give the same result.
func (s *Server) askCarrier(t target, st *serviceState, q *positionRequest, since time.Duration, deadline time.Time) (isReached bool, err error) {
	for _, name := range t.pool.lendingCarriers() {
		m, primaryNumber, err := s.hop.Mark(name, t.endpoint.Service, since, deadline)
		var unreachable *hop.UnreachableError
		switch {
		case errors.As(err, &unreachable):
			continue
		case err != nil:
			return true, notRunError(err)
		case primaryNumber != t.primaryNumber:
			return true, &stmt.Error{Code: stmt.CodeLagging, Detail: "primary changed"}
		}
		q.requestedAt = m.RequestedAt
		st.addMark(primaryNumber, m)
		return true, nil
	}
	return false, nil
}

// askControl requests the primary's position from control. It reports whether control
// answered.
func (s *Server) askControl(t target, st *serviceState, q *positionRequest, deadline time.Time) bool {
	if s.cfg.ControlLostFor() > 0 {
		return false
	}
	timeoutAt := time.Now().Add(controlPositionTimeout)
	if deadline.Before(timeoutAt) {
		timeoutAt = deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), timeoutAt)
	defer cancel()
	requestedAt := boottime.Now()
	pos, err := s.cfg.PositionSource.Position(ctx, t.endpoint.Id)
	if err != nil {
		s.log.V(1).Info("position request to control failed", "endpoint", t.endpoint.Id, "error", err.Error())
		return false
	}
	q.requestedAt = requestedAt
	st.addMark(t.primaryNumber, mark.Mark{RequestedAt: requestedAt, Pos: pos})
	return true
}

// checkEmptyLog asks a primary that reported no position whether its log is empty.
func (s *Server) checkEmptyLog(t target, c *pool.Conn, st *serviceState, deadline time.Time) {
	requestedAt := boottime.Now()
	status, err := c.Status(deadline)
	if err != nil {
		s.log.Info("status request to a primary without a position failed", "endpoint", t.endpoint.Id, "error", err.Error())
		return
	}
	if status.Role == stmt.Primary {
		st.addMark(t.primaryNumber, mark.Mark{RequestedAt: requestedAt, Pos: status.Received})
	}
}

// beginGuard opens a read-write transaction for the proxy itself, which guards against a
// superseded primary: only the current one accepts it. The answer reports a position that
// covers every commit acknowledged before requestedAt. Unlike a status request it takes no
// slot at the endpoint. After an error the connection has been discarded; after a refusal,
// which is in reply, no transaction is open.
func (s *Server) beginGuard(t target, c *pool.Conn, deadline time.Time) (reply stmt.Reply, requestedAt time.Duration, err error) {
	requestedAt = boottime.Now()
	reply, err = c.Do(deadline, s.cfg.Texts.Begin(false), "", logpos.Pos{})
	if err != nil {
		t.pool.Discard(c)
		s.failed(t, err)
		return reply, requestedAt, err
	}
	if reply.Err == nil {
		s.service(t.endpoint.Service).recordPosition(t.primaryNumber, requestedAt, reply.Pos)
		s.answered(t, reply.Pos, 0)
	}
	return reply, requestedAt, nil
}

// endGuard rolls back the transaction of beginGuard and returns the connection.
func (s *Server) endGuard(t target, c *pool.Conn, deadline time.Time) {
	reply, err := c.Do(deadline, s.cfg.Texts.Rollback(), "", logpos.Pos{})
	if err != nil || reply.State != stmt.Idle {
		t.pool.Discard(c)
		return
	}
	t.pool.Put(c)
}
