package routing

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/api/link"
	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/endpoint/wire"
	"hemlockmast/internal/endpointside/slotview"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/pgwire"
)

// sessionFloor is a session's floor in one group.
type sessionFloor = session.GroupFloor

const (
	// queryTimeout bounds one round of status queries.
	queryTimeout = 500 * time.Millisecond
	// queryUser is the user name of the connections for status queries.
	queryUser = "hemlock"
	// queryService is the service to which these connections are accounted.
	queryService = "hemlock"
	// queryPriority is above the priority of every service.
	queryPriority = 100
)

// termChecker asks the slots of a group whether the primary's term is still
// current. Calls made while a round of queries runs share the next round,
// because a round is valid only for calls made before it began.
type termChecker struct {
	router *Router

	// mu guards rounds.
	mu     sync.Mutex
	rounds map[string]*roundQueue
}

// roundQueue holds the running and the next round of one group.
type roundQueue struct {
	running bool
	next    *round
}

// round is one set of status queries whose result several calls share.
type round struct {
	done chan struct{}
	term uint64
	pos  logpos.Pos
	err  error
}

func newTermChecker(router *Router) *termChecker {
	return &termChecker{router: router, rounds: map[string]*roundQueue{}}
}

// confirm returns the position of the primary at some moment after the call. At
// that moment the primary's term was current: the fenced terms of a majority of
// the slots were not above it. If term is not zero, it must be the primary's term.
// Errors are *outcome.Error with outcome not run.
func (c *termChecker) confirm(ctx context.Context, group string, term uint64) (logpos.Pos, error) {
	rd := c.join(group)
	select {
	case <-rd.done:
	case <-ctx.Done():
		return logpos.Pos{}, noPrimaryError("the primary's term was not confirmed before the deadline")
	}
	if rd.err != nil {
		return logpos.Pos{}, rd.err
	}
	if term != 0 && rd.term != term {
		return logpos.Pos{}, noPrimaryError("the primary was superseded")
	}
	return rd.pos, nil
}

func noPrimaryError(message string) *outcome.Error {
	return outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonNoPrimary, message, nil)
}

// join returns the next round to begin, and starts it if none is running.
func (c *termChecker) join(group string) *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.rounds[group]
	if q == nil {
		q = &roundQueue{}
		c.rounds[group] = q
	}
	if q.next == nil {
		q.next = &round{done: make(chan struct{})}
	}
	rd := q.next
	if !q.running {
		q.running = true
		q.next = nil
		go c.run(group, q, rd)
	}
	return rd
}

// run executes round rd, and then further rounds while calls have joined one.
func (c *termChecker) run(group string, q *roundQueue, rd *round) {
	for rd != nil {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		rd.term, rd.pos, rd.err = c.queryGroup(ctx, group)
		cancel()
		close(rd.done)
		c.mu.Lock()
		rd = q.next
		q.next = nil
		q.running = rd != nil
		c.mu.Unlock()
	}
}

// queryGroup queries all slots concurrently. It returns as soon as the replies
// include the primary and a majority that confirms its term.
func (c *termChecker) queryGroup(ctx context.Context, group string) (uint64, logpos.Pos, error) {
	g, ok := c.router.view.Group(group)
	if !ok {
		return 0, logpos.Pos{}, noPrimaryError("the group is not configured")
	}
	replies := make(chan *endpoint.Status, len(g.Slots))
	for i := range g.Slots {
		go func() { replies <- c.queryStatus(ctx, g, &g.Slots[i]) }()
	}
	var received []*endpoint.Status
	for range g.Slots {
		if st := <-replies; st != nil {
			received = append(received, st)
		}
		if term, pos, ok := currentPrimary(received, len(g.Slots)); ok {
			return term, pos, nil
		}
	}
	return 0, logpos.Pos{}, noPrimaryError("a majority of the group's slots did not confirm a primary")
}

// currentPrimary returns the term and position of the primary among the
// replies, if the fenced terms of a majority of the slots are not above its
// term.
func currentPrimary(replies []*endpoint.Status, slots int) (uint64, logpos.Pos, bool) {
	for _, p := range replies {
		if p.Role != endpoint.RolePrimary || p.FencedTerm > p.Synced.Term {
			continue
		}
		confirming := 0
		for _, st := range replies {
			if st.FencedTerm <= p.Synced.Term {
				confirming++
			}
		}
		if confirming >= quorum.Majority(slots) {
			return p.Synced.Term, p.Synced, true
		}
	}
	return 0, logpos.Pos{}, false
}

// queryStatus reads the status of one endpoint through its holder. It returns
// nil if there is no valid reply.
func (c *termChecker) queryStatus(ctx context.Context, g *slotview.Group, slot *slotview.Slot) *endpoint.Status {
	opener, ok := c.router.opener(slot)
	if !ok || len(g.Databases) == 0 {
		return nil
	}
	ex, err := opener.Open(ctx)
	if err != nil {
		return nil
	}
	defer ex.Close()
	seg := &link.Segment{
		Open: &link.Open{
			Group: g.Name, Slot: slot.Name, Database: g.Databases[0],
			User: queryUser, Service: queryService, Priority: queryPriority,
		},
		Ops: []*link.Op{{Data: pgwire.AppendQuery(nil, wire.StatusCommand())}},
	}
	var reply statusReply
	if _, err := ex.Run(ctx, seg, &reply); err != nil {
		return nil
	}
	return reply.status()
}

// statusReply collects the bytes of the reply to a status command.
type statusReply struct{ buf []byte }

// Write implements io.Writer.
func (r *statusReply) Write(p []byte) (int, error) {
	r.buf = append(r.buf, p...)
	return len(p), nil
}

// status decodes the row in the reply. It returns nil if there is none or if it
// is malformed.
func (r *statusReply) status() *endpoint.Status {
	columns := wire.Columns
	rest := r.buf
	for len(rest) >= 5 {
		n := 1 + int(uint32(rest[1])<<24|uint32(rest[2])<<16|uint32(rest[3])<<8|uint32(rest[4]))
		if n < 5 || n > len(rest) {
			return nil
		}
		f := pgwire.Frame(rest[:n])
		rest = rest[n:]
		if f.Type() != pgwire.MsgDataRow {
			continue
		}
		row := pgproto3.DataRow{}
		if err := row.Decode(f.Body()); err != nil || len(row.Values) != len(columns) {
			return nil
		}
		values := make([]string, len(row.Values))
		for i, v := range row.Values {
			values[i] = strings.Clone(string(v))
		}
		st, err := wire.DecodeStatus(values)
		if err != nil {
			return nil
		}
		return &st
	}
	return nil
}
