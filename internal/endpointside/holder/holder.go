// Package holder implements the role of a holder: a daemon that owns a share of
// the connections to the endpoints of some slots. It multiplexes the
// transactions of many callers over these few connections and reports a commit
// only after it is confirmed.
//
// Exchanges and their segments are those of package exchange. A connection
// serves one exchange at a time, from the exchange's first segment
// until the endpoint reports that it is idle and no session state remains. A
// connection whose exchange failed or timed out is closed and never reused, so
// that no late reply reaches another caller.
package holder

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/api/link"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/exchange"
)

const (
	// resetTimeout bounds the reset of a connection's session state.
	resetTimeout = time.Second
	// cancelTimeout bounds one cancel request to an endpoint.
	cancelTimeout = time.Second
	// maintenanceInterval is the interval between checks of idle connections.
	maintenanceInterval = time.Second
)

// Acknowledger waits until a commit may be reported to its caller.
type Acknowledger interface {
	// Await returns once a majority of the group's slots holds pos in its term,
	// with the name of the slot that confirmed it. The error is an
	// *outcome.Error with outcome unknown.
	Await(ctx context.Context, group string, pos logpos.Pos) (slot string, err error)
}

// Floors waits until the endpoints of the holder's slots have applied the floor
// of a read: the position that the read must at least see.
type Floors interface {
	// AwaitApplied returns once the slot's endpoint has applied pos, with the
	// endpoint's incarnation. ok is false if that takes longer than wait or ctx
	// ends first.
	AwaitApplied(ctx context.Context, group, slot string, pos logpos.Pos, wait time.Duration) (incarnation string, ok bool)
}

// Activity reports whether connections run statements.
type Activity interface {
	// Active asks the slot's endpoint whether it runs a statement for the
	// connection with process id pid. ok is false if there is no answer.
	Active(ctx context.Context, group, slot string, pid uint32) (active, ok bool)
}

// SlotID identifies a slot.
type SlotID struct {
	Group string
	Slot  string
}

// Config holds the dependencies of a Holder.
type Config struct {
	Dialer Dialer
	Ack    Acknowledger
	Floors Floors
	// Activity may be nil. Then a connection that goes silent during a statement
	// is detected only at the deadline.
	Activity Activity
	Log      logr.Logger
}

// Holder serves the slots that Assign sets.
//
// Lock order: Holder.mu before pool.mu.
type Holder struct {
	dialer Dialer
	ack    Acknowledger
	floors Floors
	active Activity
	log    logr.Logger

	// mu guards the fields below.
	mu     sync.RWMutex
	slots  map[SlotID]*slot
	shares map[string]int // by service, see SetShares
}

// slot is one slot that the holder serves.
type slot struct {
	id   SlotID
	pool *pool
}

// New returns a Holder that serves no slot yet.
func New(cfg Config) *Holder {
	return &Holder{
		dialer: cfg.Dialer,
		ack:    cfg.Ack,
		floors: cfg.Floors,
		active: cfg.Activity,
		log:    cfg.Log,
		slots:  map[SlotID]*slot{},
		shares: map[string]int{},
	}
}

// Assignment is a slot that a holder serves, with the number of connections that
// it may open there.
type Assignment struct {
	ID SlotID
	// Addr is the endpoint's address.
	Addr string
	// Limit is the number of the slot's connections that this holder may open.
	Limit int
}

// Assign replaces the set of slots served. Slots that remain keep their
// connections; the connections of removed slots are closed.
func (h *Holder) Assign(assignments []Assignment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[SlotID]*slot, len(assignments))
	for _, a := range assignments {
		s := h.slots[a.ID]
		if s == nil {
			s = &slot{id: a.ID, pool: newPool(h.dialer, a.Addr, a.Limit)}
		}
		s.pool.setAddr(a.Addr)
		s.pool.setLimit(a.Limit)
		next[a.ID] = s
	}
	for id, s := range h.slots {
		if next[id] == nil {
			s.pool.close()
		}
	}
	h.slots = next
}

// Interrupt closes the connections in use at a slot whose endpoint was
// superseded as primary, cancels its dials and refuses its waiters. Commits there
// can no longer be confirmed, and this way the callers need not wait for their
// deadlines.
func (h *Holder) Interrupt(id SlotID) {
	h.mu.RLock()
	s := h.slots[id]
	h.mu.RUnlock()
	if s != nil {
		s.pool.interrupt()
	}
}

// SetShares sets how many connections per slot each service may use. A service
// without an entry has no limit.
func (h *Holder) SetShares(shares map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shares = shares
}

// Open implements exchange.Opener.
func (h *Holder) Open(context.Context) (exchange.Exchange, error) {
	return &localExchange{h: h}, nil
}

// Serves reports whether the holder serves a slot.
func (h *Holder) Serves(id SlotID) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.slots[id] != nil
}

// Usage returns the connection usage of every slot served.
func (h *Holder) Usage() map[SlotID]Usage {
	h.mu.RLock()
	defer h.mu.RUnlock()
	usage := make(map[SlotID]Usage, len(h.slots))
	for id, s := range h.slots {
		usage[id] = s.pool.usage()
	}
	return usage
}

// Run checks idle connections until ctx ends, then closes all pools.
func (h *Holder) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			h.checkIdle(now)
		case <-ctx.Done():
			h.Assign(nil)
			return nil
		}
	}
}

// checkIdle checks the idle connections of all slots concurrently.
func (h *Holder) checkIdle(now time.Time) {
	h.mu.RLock()
	slots := make([]*slot, 0, len(h.slots))
	for _, s := range h.slots {
		slots = append(slots, s)
	}
	h.mu.RUnlock()
	for _, s := range slots {
		go func() {
			if n := s.pool.checkIdle(now); n > 0 {
				h.log.Info("closed idle connections that did not answer a ping", "group", s.id.Group, "slot", s.id.Slot, "count", n)
			}
		}()
	}
}

// slot returns the slot of that name. The error is an *outcome.Error.
func (h *Holder) slot(group, name string) (*slot, error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	s := h.slots[SlotID{Group: group, Slot: name}]
	if s == nil {
		return nil, outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonNoHolder,
			"this daemon does not hold connections to the slot", nil)
	}
	return s, nil
}

// share returns the number of connections per slot that service may use, 0 for
// no limit.
func (h *Holder) share(service string) int {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.shares[service]
}

// awaitFloor waits until the endpoint has applied the floor of a read. The entry,
// the daemon that accepted the caller, has checked the floor before; the check is
// repeated here because the entry's view may be outdated, while this daemon
// observes the endpoint itself. It returns the incarnation that has applied the
// floor, empty if the request has no floor and any incarnation will do.
func (h *Holder) awaitFloor(ctx context.Context, open *link.Open) (string, error) {
	floor := logpos.Pos{Term: open.FloorTerm, Index: open.FloorIndex}
	if open.Write || floor.IsZero() {
		return "", nil
	}
	wait := time.Duration(open.WaitUs) * time.Microsecond
	incarnation, ok := h.floors.AwaitApplied(ctx, open.Group, open.Slot, floor, wait)
	if !ok {
		return "", staleReadError()
	}
	return incarnation, nil
}

func staleReadError() error {
	return outcome.NotRunError(outcome.CodeStaleRead, outcome.ReasonStale,
		"the endpoint has not applied the session's last write", nil)
}

// cancelAtEndpoint asks the endpoint to cancel the statement on c. It uses a
// separate connection, as the protocol requires, and does not wait.
func (h *Holder) cancelAtEndpoint(s *slot, c *conn) {
	addr := s.pool.address()
	msg := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	out, err := msg.Encode(nil)
	if err != nil {
		return
	}
	go func() {
		raw, err := net.DialTimeout("tcp", addr, cancelTimeout)
		if err != nil {
			return
		}
		defer func() { _ = raw.Close() }()
		_ = raw.SetDeadline(time.Now().Add(cancelTimeout))
		_, _ = raw.Write(out)
	}()
}
