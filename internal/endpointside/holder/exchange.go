package holder

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"hemlockmast/api/link"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/exchange"
)

// localExchange is an exchange.Exchange that uses the holder's pools directly.
type localExchange struct {
	h *Holder
	// slot, conn and service are set while a connection is attached.
	slot    *slot
	conn    *conn
	service string
	// group is the group of the slot that was attached last.
	group string
	// pinned states that session state keeps the connection for this exchange.
	pinned bool
}

var _ exchange.Exchange = (*localExchange)(nil)

// Run implements exchange.Exchange.
func (l *localExchange) Run(ctx context.Context, seg *link.Segment, sink io.Writer) (exchange.Result, error) {
	if err := checkSegment(seg); err != nil {
		l.Close()
		return exchange.Result{}, err
	}
	if l.conn == nil {
		if err := l.attach(ctx, seg); err != nil {
			return exchange.Result{}, err
		}
	} else if seg.Open != nil {
		l.Close()
		return exchange.Result{}, outcome.NotRunError(outcome.CodeProtocolViolation,
			outcome.ReasonProtocol, "the exchange already holds a connection", nil)
	}
	if seg.Open != nil {
		if err := l.setParams(ctx, seg.Open.Params); err != nil {
			return exchange.Result{}, err
		}
	}
	if seg.Open.GetRequestId() != "" {
		return l.runMarked(ctx, seg, sink)
	}
	r := newSegmentRun(l.conn, buildPlan(l.conn, seg), sink)
	res, err := l.runAttached(ctx, r)
	if err != nil {
		l.closeConn()
		return res, err
	}
	return l.finish(ctx, r, res)
}

// checkSegment refuses an operation without its message or its statement, which
// no entry sends.
func checkSegment(seg *link.Segment) error {
	for _, op := range seg.Ops {
		complete := len(op.Data) >= minMessageBytes
		if op.Kind == link.OpKind_OP_PARSE {
			complete = op.Statement != nil
		}
		if !complete {
			return outcome.NotRunError(outcome.CodeProtocolViolation, outcome.ReasonProtocol,
				"a segment holds an operation without its message", nil)
		}
	}
	return nil
}

// minMessageBytes is the minimum length of a protocol message: its type byte and
// its length field.
const minMessageBytes = 5

// attach acquires a connection from the pool of the slot that the segment names.
func (l *localExchange) attach(ctx context.Context, seg *link.Segment) error {
	open := seg.Open
	if open == nil {
		return outcome.NotRunError(outcome.CodeProtocolViolation,
			outcome.ReasonProtocol, "the exchange holds no connection", nil)
	}
	s, err := l.h.slot(open.Group, open.Slot)
	if err != nil {
		return err
	}
	incarnation, err := l.h.awaitFloor(ctx, open)
	if err != nil {
		return err
	}
	c, err := s.pool.acquire(ctx, connRequest{
		key:      connKey{database: open.Database, user: open.User},
		service:  open.Service,
		share:    l.h.share(open.Service),
		priority: open.Priority,
	})
	if err != nil {
		return err
	}
	l.slot, l.conn, l.service, l.group = s, c, open.Service, open.Group
	if incarnation != "" && c.incarnation != "" && c.incarnation != incarnation {
		l.closeConn()
		return staleReadError()
	}
	return nil
}

// setParams sets the caller's session parameters before any statement of the
// caller is sent, so that after a refusal the outcome is certainly not run.
func (l *localExchange) setParams(ctx context.Context, params []*link.Param) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = l.conn.raw.SetDeadline(deadline)
	}
	err := l.conn.setParams(params)
	if err == nil {
		return nil
	}
	l.closeConn()
	var refused *EndpointError
	if errors.As(err, &refused) {
		return outcome.NotRunError(refused.Code, outcome.ReasonProtocol,
			"the endpoint refused a session parameter", err)
	}
	return outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonConnLost,
		"the connection to the endpoint was lost", err)
}

// runAttached executes r. ctx bounds it; if ctx ends, the endpoint is asked to
// cancel the statement.
func (l *localExchange) runAttached(ctx context.Context, r *segmentRun) (exchange.Result, error) {
	raw := l.conn.raw
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	silenceMonitor := l.silenceMonitor(ctx, r)
	res, err := r.execute()
	silenceMonitor.stop()
	if err == nil {
		return res, nil
	}
	if ctx.Err() != nil {
		l.h.cancelAtEndpoint(l.slot, l.conn)
	}
	return res, r.callerError(ctx, err)
}

// finish returns the connection to the pool if the endpoint is idle and the
// connection is not pinned. Then it waits until the commit is confirmed, and
// only after that sends the withheld replies.
func (l *localExchange) finish(ctx context.Context, r *segmentRun, res exchange.Result) (exchange.Result, error) {
	if r.sessionState && !l.pinned {
		l.pinned = true
		l.slot.pool.countPinned(true)
	}
	if res.TxStatus == 'I' && !l.pinned {
		l.detach()
	}
	res.Attached = l.conn != nil
	res.Pinned = l.pinned
	if err := l.confirm(ctx, &res); err != nil {
		return res, err
	}
	return res, r.releaseWithheld()
}

// confirm waits until the commit of res, if there is one, is confirmed.
func (l *localExchange) confirm(ctx context.Context, res *exchange.Result) error {
	if res.Commit.IsZero() {
		return nil
	}
	slotName, err := l.h.ack.Await(ctx, l.group, res.Commit)
	if err != nil {
		l.closeConn()
		return err
	}
	res.ConfirmedBy = slotName
	return nil
}

// detach returns the connection to its pool.
func (l *localExchange) detach() {
	c := l.conn
	l.conn = nil
	if l.pinned {
		l.pinned = false
		l.slot.pool.countPinned(false)
	}
	_ = c.raw.SetDeadline(time.Time{})
	l.slot.pool.release(c, l.service)
}

// closeConn closes the attached connection, if there is one, so that it is not
// reused.
func (l *localExchange) closeConn() {
	if l.conn == nil {
		return
	}
	l.conn.close()
	l.detach()
}

// Close implements exchange.Exchange. A pinned connection is reset before it is
// returned to the pool; any other, which is inside a transaction, is closed.
func (l *localExchange) Close() {
	if l.conn == nil {
		return
	}
	if !l.pinned {
		l.closeConn()
		return
	}
	c := l.conn
	_ = c.raw.SetDeadline(time.Now().Add(resetTimeout))
	if err := c.reset(); err != nil {
		l.closeConn()
		return
	}
	l.detach()
}
