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

// local is an exchange on the holder's own pools.
type local struct {
	h *Holder
	// slot, conn and service are set while a connection is attached.
	slot    *slot
	conn    *conn
	service string
	// group is the group of the attached slot.
	group  string
	pinned bool
}

var _ exchange.Exchange = (*local)(nil)

// Run implements exchange.Exchange.
func (l *local) Run(ctx context.Context, seg *link.Segment, sink io.Writer) (exchange.Result, error) {
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
	r := newRun(l.conn, build(l.conn, seg), sink)
	res, err := l.runAttached(ctx, r)
	if err != nil {
		l.drop()
		return res, err
	}
	return l.finish(ctx, r, res)
}

// checkSegment refuses what no entry sends: an operation without its message or
// its statement.
func checkSegment(seg *link.Segment) error {
	for _, op := range seg.Ops {
		whole := len(op.Data) >= minMessageBytes
		if op.Kind == link.OpKind_OP_PARSE {
			whole = op.Statement != nil
		}
		if !whole {
			return outcome.NotRunError(outcome.CodeProtocolViolation, outcome.ReasonProtocol,
				"a segment holds an operation without its message", nil)
		}
	}
	return nil
}

// minMessageBytes is the least length of a protocol message.
const minMessageBytes = 5

// attach takes a connection from the pool of the slot that the segment names.
func (l *local) attach(ctx context.Context, seg *link.Segment) error {
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
	c, err := s.pool.acquire(ctx, request{
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
		l.drop()
		return staleEndpoint()
	}
	return nil
}

// setParams sets the caller's session parameters before anything of the caller
// is sent, so that a refusal is surely not run.
func (l *local) setParams(ctx context.Context, params []*link.Param) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = l.conn.raw.SetDeadline(deadline)
	}
	err := l.conn.setParams(params)
	if err == nil {
		return nil
	}
	l.drop()
	var refused *EndpointError
	if errors.As(err, &refused) {
		return outcome.NotRunError(refused.Code, outcome.ReasonProtocol,
			"the endpoint refused a session parameter", err)
	}
	return outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonConnLost,
		"the connection to the endpoint was lost", err)
}

// runAttached drives r to its end, bounded by ctx.
func (l *local) runAttached(ctx context.Context, r *run) (exchange.Result, error) {
	raw := l.conn.raw
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	guard := l.guard(ctx, r)
	res, err := r.drive()
	guard.stop()
	if err == nil {
		return res, nil
	}
	if ctx.Err() != nil {
		l.h.cancelAtEndpoint(l.slot, l.conn)
	}
	return res, r.failure(ctx, err)
}

// finish returns the connection when the endpoint is idle, then waits until the
// commit is confirmed, and only then lets the withheld messages go.
func (l *local) finish(ctx context.Context, r *run, res exchange.Result) (exchange.Result, error) {
	if r.sessionState && !l.pinned {
		l.pinned = true
		l.slot.pool.pin(true)
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
func (l *local) confirm(ctx context.Context, res *exchange.Result) error {
	if res.Commit.IsZero() {
		return nil
	}
	slotName, err := l.h.ack.Await(ctx, l.group, res.Commit)
	if err != nil {
		l.drop()
		return err
	}
	res.ConfirmedBy = slotName
	return nil
}

// detach returns the connection to its pool.
func (l *local) detach() {
	c := l.conn
	l.conn = nil
	if l.pinned {
		l.pinned = false
		l.slot.pool.pin(false)
	}
	_ = c.raw.SetDeadline(time.Time{})
	l.slot.pool.release(c, l.service)
}

// drop closes the connection: its state is not known.
func (l *local) drop() {
	if l.conn == nil {
		return
	}
	l.conn.close()
	l.detach()
}

// Close implements exchange.Exchange. A pinned connection is reset before
// others may use it; one inside a transaction is closed.
func (l *local) Close() {
	if l.conn == nil {
		return
	}
	if !l.pinned {
		l.drop()
		return
	}
	c := l.conn
	_ = c.raw.SetDeadline(time.Now().Add(resetTimeout))
	if err := c.reset(); err != nil {
		l.drop()
		return
	}
	l.detach()
}
