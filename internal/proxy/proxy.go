// Package proxy serves callers: it keeps their sessions, chooses the endpoint of
// each statement and transaction, and answers with what the endpoint said or
// with an error that is true.
//
// Reads outside transactions that write go to any endpoint whose log holds the
// position that the route's level asks for; the endpoint itself checks it. Writes
// and other transactions go to the primary. A statement that surely did not run
// is tried again, one that may have run and may not be repeated is not.
package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/mark"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/stmt"
)

const (
	// reservedConnections of an endpoint are left to control's probes and
	// promotions, and to entries that were not counted yet.
	reservedConnections = 3
	// borrowedPercent of its share may an entry borrow.
	borrowedPercent = 100
	// leastBorrowed connections may it borrow in any case.
	leastBorrowed = 2
	// leastEntries is the number of entries that a part is computed for at least.
	leastEntries = 4
	// reportInterval is the least time between two reports about one endpoint.
	reportInterval = 300 * time.Millisecond
	// stallTime is how long a write may take before its primary is suspected: many
	// times what writes take, within the deadlines that callers have.
	stallTime = 350 * time.Millisecond
	// denseInterval is the greatest distance of watermarks while replicas lag, and
	// denseTime how long they are kept so after a replica lacked one.
	denseInterval = 120 * time.Millisecond
	denseTime     = 2 * time.Second
	// refreshPriority goes before every route: one watermark serves many reads.
	refreshPriority = -1
	// reportTimeout bounds one report.
	reportTimeout = 2 * time.Second
)

// Texts writes the statements that the proxy issues itself.
type Texts interface {
	Begin(readOnly bool) string
	Rollback() string
	Set(name, value string) string
	Reset() string
	Prepare(name, shape string) string
	Execute(name, args string) string
}

// Reporter tells control about an endpoint that does not serve.
type Reporter interface {
	Report(ctx context.Context, r *fleetpb.ReportRequest) error
}

// Config is what a Server needs.
type Config struct {
	Name          string
	FailureDomain string
	View          *fleetview.View
	Dialer        stmt.Dialer
	Texts         Texts
	Reporter      Reporter
	// ControlLost returns for how long no current control daemon has answered.
	ControlLost func() time.Duration
	Metrics     *metrics.Set
	Log         logr.Logger
}

// Server serves the callers of one entry.
type Server struct {
	cfg Config
	log logr.Logger

	// draining is set once the daemon is asked to stop.
	draining atomic.Bool

	// mu guards the maps; it is never held while a pool's or service's lock is
	// asked for.
	mu       sync.Mutex
	pools    map[string]*pool.Pool
	services map[string]*serviceState
	sessions map[*session]struct{}
	reported map[string]time.Time

	reach  reach
	misses misses
}

// serviceState is what this entry knows of a service's log.
type serviceState struct {
	// mu guards the fields below; nothing else is locked under it.
	mu     sync.Mutex
	number uint64
	marks  mark.History
	// lagUntil is until when marks are kept dense because replicas lag, refreshing
	// whether that is being done.
	lagUntil   time.Time
	refreshing bool
	// asking is the question to the primary that is on its way, if any.
	asking *question
}

// New returns a server that follows its view.
func New(cfg Config) *Server {
	s := &Server{
		cfg: cfg, log: cfg.Log,
		pools:    make(map[string]*pool.Pool),
		services: make(map[string]*serviceState),
		sessions: make(map[*session]struct{}),
		reported: make(map[string]time.Time),
	}
	cfg.View.OnChange = s.follow
	return s
}

// follow takes over a change of the picture: pools of endpoints that are gone
// are closed, limits follow the number of entries, and watermarks of a former
// primary are forgotten.
func (s *Server) follow(p *fleetview.Picture) {
	s.cfg.Metrics.Revision(p.Config.GetVersion(), true)
	wanted := make(map[string]pool.Share)
	for name, service := range p.Services() {
		s.service(name).follow(service.Number)
		for _, e := range service.Endpoints {
			wanted[e.Id] = share(service.Config.MaxConnections, p.Entries)
		}
	}
	s.mu.Lock()
	var closed []*pool.Pool
	shares := make(map[*pool.Pool]pool.Share)
	for id, pl := range s.pools {
		if share, ok := wanted[id]; ok {
			shares[pl] = share
			continue
		}
		closed = append(closed, pl)
		delete(s.pools, id)
	}
	s.mu.Unlock()
	for _, pl := range closed {
		pl.Close()
	}
	for pl, share := range shares {
		pl.SetShare(share)
	}
}

// share is this entry's part of an endpoint's connections. Load is uneven, since
// the platform leads callers by a hash, so that half of the part may be borrowed.
func share(maxConnections uint32, entries int) pool.Share {
	// Before the others are counted, as after a restart of all, a part is small.
	entries = max(entries, leastEntries)
	keep := max(0, (int(maxConnections)-reservedConnections)/entries)
	return pool.Share{Keep: keep, Most: keep + max(leastBorrowed, keep*borrowedPercent/100)}
}

func (s *Server) service(name string) *serviceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.services[name]
	if st == nil {
		st = &serviceState{}
		s.services[name] = st
	}
	return st
}

// pool returns the pool of an endpoint.
func (s *Server) pool(e *fleetpb.Endpoint) *pool.Pool {
	picture := s.cfg.View.Picture()
	part := share(picture.Service(e.Service).Config.MaxConnections, picture.Entries)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[e.Id]
	if p == nil {
		endpoint := stmt.Endpoint{ID: e.Id, Service: e.Service, Address: e.Address}
		p = pool.New(endpoint, s.cfg.Dialer, part, func(err error) {
			s.reach.failed(s.isFar(e), time.Now())
			s.report(e, fleetpb.Suspicion_SUSPICION_UNREACHABLE, err)
		})
		s.pools[e.Id] = p
	}
	return p
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
		st.add(number, mark.Mark{Asked: asked, Pos: pos})
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

// lagged notes that a replica lacked a watermark. Where marks are far apart, the
// oldest one that is young enough may be much younger than need be, and replicas
// that could serve a read lack it; so marks are kept dense for a while.
func (s *Server) lagged(service string) {
	st := s.service(service)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lagUntil = time.Now().Add(denseTime)
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
		if time.Now().After(st.lagUntil) {
			st.refreshing = false
			st.mu.Unlock()
			return
		}
		newest := st.marks.Newest()
		st.mu.Unlock()
		now := boottime.Now()
		if now-newest < denseInterval {
			continue
		}
		if _, err := s.markSince(service, now, time.Now().Add(denseInterval), refreshPriority); err != nil {
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
func (s *Server) markSince(service string, t time.Duration, deadline time.Time, priority int32) (mark.Mark, error) {
	st := s.service(service)
	for {
		if m, ok := st.since(t); ok {
			return m, nil
		}
		st.mu.Lock()
		q := st.asking
		if q == nil {
			q = &question{asked: boottime.Now(), done: make(chan struct{})}
			st.asking = q
			st.mu.Unlock()
			q.err = s.ask(service, st, q, deadline, priority)
			st.mu.Lock()
			st.asking = nil
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

// ask asks the primary for its position.
func (s *Server) ask(service string, st *serviceState, q *question, deadline time.Time, priority int32) error {
	lead, err := s.primary(service)
	if err != nil {
		return err
	}
	c, err := lead.pool.Get(deadline, priority, anyFit)
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

// askEmpty asks a primary that told no position whether its log is empty.
func (s *Server) askEmpty(l lead, c *pool.Conn, st *serviceState, deadline time.Time) {
	asked := boottime.Now()
	status, err := c.Status(deadline)
	if err != nil {
		s.log.Info("primary told no position", "endpoint", l.endpoint.Id, "error", err.Error())
		return
	}
	if status.Role == stmt.Primary {
		st.add(l.number, mark.Mark{Asked: asked, Pos: status.Received})
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

// lead is a service's primary as this entry knows it.
type lead struct {
	endpoint *fleetpb.Endpoint
	pool     *pool.Pool
	number   uint64
}

// primary returns the primary of a service. Errors: *stmt.Error.
func (s *Server) primary(service string) (lead, error) {
	sv := s.cfg.View.Picture().Service(service)
	if sv == nil {
		return lead{}, &stmt.Error{Code: stmt.CodeNoDatabase, Detail: "service is not configured"}
	}
	for _, e := range sv.Endpoints {
		if e.Id == sv.PrimaryID {
			return lead{endpoint: e, pool: s.pool(e), number: sv.Number}, nil
		}
	}
	return lead{}, &stmt.Error{Code: stmt.CodeReadOnly, Detail: "no primary is known"}
}

// failed notes that an endpoint did not serve and tells control.
func (s *Server) failed(l lead, err error) {
	if !isFailure(err) {
		return
	}
	l.pool.Failed()
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
	l.pool.Answered(pos, took)
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

// Ready answers whether new callers should be sent here, and counts the answers.
func (s *Server) Ready() bool {
	ready := s.isReady()
	s.misses.count(ready)
	return ready
}

func (s *Server) isReady() bool {
	p := s.cfg.View.Picture()
	if s.draining.Load() || p.Config == nil || s.reach.isLostFor(farLost) {
		return false
	}
	for _, service := range p.Services() {
		if len(service.Endpoints) > 0 {
			return true
		}
	}
	return false
}
