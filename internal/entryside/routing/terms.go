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
	// checkTimeout bounds one round of questions.
	checkTimeout = 500 * time.Millisecond
	// checkUser is the user name of the questions' connections.
	checkUser = "hemlock"
	// checkService is charged with the questions' connections.
	checkService = "hemlock"
	// checkPriority is above every service's.
	checkPriority = 100
)

// termChecker asks the slots of a group whether the primary's term stands.
// Callers that come while a round runs share the next one: a round answers only
// those who came before it began.
type termChecker struct {
	r *Router

	// mu guards rounds.
	mu     sync.Mutex
	rounds map[string]*roundQueue
}

// roundQueue is the running and the next round of one group.
type roundQueue struct {
	running bool
	next    *round
}

// round is one set of questions that callers share.
type round struct {
	done chan struct{}
	term uint64
	pos  logpos.Pos
	err  error
}

func newTermChecker(r *Router) *termChecker {
	return &termChecker{r: r, rounds: map[string]*roundQueue{}}
}

// confirm returns the position of the primary at a moment after the call. The
// primary's term stood at that moment: a majority of the slots was fenced no
// higher. A term other than zero must be the primary's. Errors are
// *outcome.Error with outcome not run.
func (c *termChecker) confirm(ctx context.Context, group string, term uint64) (logpos.Pos, error) {
	rd := c.join(group)
	select {
	case <-rd.done:
	case <-ctx.Done():
		return logpos.Pos{}, notCurrent("the primary's term was not confirmed before the deadline")
	}
	if rd.err != nil {
		return logpos.Pos{}, rd.err
	}
	if term != 0 && rd.term != term {
		return logpos.Pos{}, notCurrent("the primary was superseded")
	}
	return rd.pos, nil
}

func notCurrent(message string) *outcome.Error {
	return outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonNoPrimary, message, nil)
}

// join returns the round that begins next and makes sure that it begins.
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

// run asks, and goes on with the next round if there are callers for one.
func (c *termChecker) run(group string, q *roundQueue, rd *round) {
	for rd != nil {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		rd.term, rd.pos, rd.err = c.ask(ctx, group)
		cancel()
		close(rd.done)
		c.mu.Lock()
		rd = q.next
		q.next = nil
		q.running = rd != nil
		c.mu.Unlock()
	}
}

// ask asks all slots at once and returns when the primary and a majority have
// answered.
func (c *termChecker) ask(ctx context.Context, group string) (uint64, logpos.Pos, error) {
	g, ok := c.r.view.Group(group)
	if !ok {
		return 0, logpos.Pos{}, notCurrent("the group is not configured")
	}
	answers := make(chan *endpoint.Status, len(g.Slots))
	for i := range g.Slots {
		go func() { answers <- c.askSlot(ctx, g, &g.Slots[i]) }()
	}
	var got []*endpoint.Status
	for range g.Slots {
		if st := <-answers; st != nil {
			got = append(got, st)
		}
		if term, pos, ok := currentPrimary(got, len(g.Slots)); ok {
			return term, pos, nil
		}
	}
	return 0, logpos.Pos{}, notCurrent("a majority of the group's slots did not confirm a primary")
}

// currentPrimary returns the primary among the answers, if a majority of slots
// is fenced no higher than its term.
func currentPrimary(answers []*endpoint.Status, slots int) (uint64, logpos.Pos, bool) {
	for _, p := range answers {
		if p.Role != endpoint.RolePrimary || p.FencedTerm > p.Synced.Term {
			continue
		}
		agree := 0
		for _, st := range answers {
			if st.FencedTerm <= p.Synced.Term {
				agree++
			}
		}
		if agree >= quorum.Majority(slots) {
			return p.Synced.Term, p.Synced, true
		}
	}
	return 0, logpos.Pos{}, false
}

// askSlot reads one endpoint's status through its holder; nil means that it
// gave none.
func (c *termChecker) askSlot(ctx context.Context, g *slotview.Group, slot *slotview.Slot) *endpoint.Status {
	opener, ok := c.r.opener(slot)
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
			User: checkUser, Service: checkService, Priority: checkPriority,
		},
		Ops: []*link.Op{{Data: pgwire.AppendQuery(nil, wire.StatusCommand())}},
	}
	var reply statusReply
	if _, err := ex.Run(ctx, seg, &reply); err != nil {
		return nil
	}
	return reply.status()
}

// statusReply collects the reply to a status command.
type statusReply struct{ buf []byte }

// Write implements io.Writer.
func (r *statusReply) Write(p []byte) (int, error) {
	r.buf = append(r.buf, p...)
	return len(p), nil
}

// status decodes the reply's row, nil if there is none.
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
