package fleetctl

import (
	"context"
	"sync"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleethub"
	"hemlockmast/internal/fleet/fleetstate"
	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/logpos"
)

// maxConfirmWait bounds the wait for the entries' confirmations that the acknowledgements of a
// primary are closed. It is many times what the record, its way to the entries and the
// confirmations take. Entries that are cut off, or have just ended, do not confirm.
const maxConfirmWait = 300 * time.Millisecond

// closing collects the confirmations of the entries for one attempt. closings.mu guards it.
type closing struct {
	token uint64
	// confirmed holds the ids of the entries that have confirmed.
	confirmed map[uint32]bool
	// acknowledged is the highest position of a commit whose success an entry has passed on.
	acknowledged logpos.Pos
	// changed is closed and replaced with each confirmation.
	changed chan struct{}
}

// closings holds the attempts that await confirmations, by service. It is safe for concurrent
// use.
type closings struct {
	// mu guards byService and what it holds; no other lock is taken while it is held.
	mu        sync.Mutex
	byService map[string]*closing
}

// begin starts to collect the confirmations for an attempt. It is called before entries learn
// of the attempt.
func (c *closings) begin(service string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.byService[service]; held == nil || held.token < token {
		c.byService[service] = &closing{token: token, confirmed: make(map[uint32]bool), changed: make(chan struct{})}
	}
}

// end drops the confirmations for an attempt.
func (c *closings) end(service string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.byService[service]; held != nil && held.token == token {
		delete(c.byService, service)
	}
}

// confirm records an entry's confirmation unless no attempt awaits it.
func (c *closings) confirm(r *fleetpb.ConfirmClosedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.byService[r.Service]
	if held == nil || held.token != r.Token {
		return
	}
	held.confirmed[fleethub.EntryID(r.Daemon)] = true
	held.acknowledged = logpos.Max(held.acknowledged, fleetstate.Position(r.Acknowledged))
	close(held.changed)
	held.changed = make(chan struct{})
}

// state returns what the given entries have confirmed for an attempt. changed is closed with
// the next confirmation; it is nil if the attempt is not known.
func (c *closings) state(service string, token uint64, entries []uint32) (state promotion.Closing, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.byService[service]
	if held == nil || held.token != token {
		return promotion.Closing{Entries: len(entries), Silent: len(entries)}, nil
	}
	state = promotion.Closing{Acknowledged: held.acknowledged, Entries: len(entries)}
	for _, id := range entries {
		if !held.confirmed[id] {
			state.Silent++
		}
	}
	return state, held.changed
}

// await waits until all entries that are known when it is called have confirmed, for at most
// maxConfirmWait.
func (c *closings) await(ctx context.Context, service string, token uint64, entries []uint32) promotion.Closing {
	ctx, cancel := context.WithTimeout(ctx, maxConfirmWait)
	defer cancel()
	for {
		state, changed := c.state(service, token, entries)
		if state.Silent == 0 || changed == nil || ctx.Err() != nil {
			return state
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
