// Package routing implements entry.Router with package route and what a daemon
// knows of the slots. It measures delays and ages, asks the primary for
// a floor where a session's own floor is not known, and has a majority confirm
// the primary's term for reads that must be current.
package routing

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/slotview"
	"hemlockmast/internal/entryside/entry"
	"hemlockmast/internal/entryside/route"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/exchange"
)

// maxWait limits how long a read waits at a replica while there is a primary.
const maxWait = 20 * time.Millisecond

// Opener looks up the opener of exchanges on a slot. If this daemon holds the
// slot, that is the local holder's opener. ok is false when no holder is known.
type Opener func(slot *slotview.Slot) (opener exchange.Opener, ok bool)

// Router implements entry.Router. It is safe for concurrent use.
//
// Lock order: Router.mu before groupState.mu. Neither is held together with the
// lock of the view.
type Router struct {
	view    *slotview.View
	opener  Opener
	checker *termChecker

	// mu guards groups.
	mu     sync.RWMutex
	groups map[string]*groupState
}

var _ entry.Router = (*Router)(nil)

// New returns a Router that observes every status that view receives.
func New(view *slotview.View, opener Opener) *Router {
	r := &Router{view: view, opener: opener, groups: map[string]*groupState{}}
	r.checker = newTermChecker(r)
	view.Listen(r.observe)
	return r
}

func (r *Router) observe(st endpoint.Status, queryStart time.Time) {
	g, ok := r.view.Group(st.Group)
	if !ok {
		return
	}
	r.state(st.Group).observe(time.Now(), queryStart, st, len(g.Slots))
}

func (r *Router) state(group string) *groupState {
	r.mu.RLock()
	s := r.groups[group]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.groups[group]; s == nil {
		s = newGroupState()
		r.groups[group] = s
	}
	return s
}

// Route implements entry.Router. A read whose floor is not settled first asks the
// primary for one, and is refused if there is no primary. A write, and a read of
// LevelPrimary, waits for a primary until ctx ends. A write also waits for a
// majority of reachable slots, and every statement for a holder of its slot.
func (r *Router) Route(ctx context.Context, need entry.Need) (entry.Target, error) {
	for {
		changed := r.view.Changed()
		g, ok := r.view.Group(need.Service.Group)
		if !ok {
			return entry.Target{}, outcome.NotRunError(outcome.CodeInvalidCatalogName,
				outcome.ReasonUnknownTarget, "the service's group is not configured", nil)
		}
		if need.Write && !hasMajority(g) {
			if err := r.await(ctx, changed); err != nil {
				return entry.Target{}, err
			}
			continue
		}
		decision, err := r.choose(g, need)
		if err != nil {
			return entry.Target{}, refusal(err)
		}
		switch decision.Action {
		case route.ActionSend, route.ActionSendAndWait:
			if target, ok := r.target(g, need, decision); ok {
				return target, nil
			}
		case route.ActionAskFloor:
			if need.Floor, err = r.askFloor(ctx, g.Name, need); err != nil {
				return entry.Target{}, err
			}
			continue
		}
		if err := r.await(ctx, changed); err != nil {
			return entry.Target{}, err
		}
	}
}

// hasMajority reports whether a majority of the group's slots is reachable.
// Without a majority no commit can be confirmed. A write that is held back is
// certain not to have run, whereas one that is sent would end with outcome
// unknown.
func hasMajority(g *slotview.Group) bool {
	reachable := 0
	for i := range g.Slots {
		if g.Slots[i].Known && g.Slots[i].Reachable {
			reachable++
		}
	}
	return reachable >= quorum.Majority(len(g.Slots))
}

// await waits until changed is closed, which signals a change of the view.
func (r *Router) await(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonNoPrimary,
			"the group has no primary that can be reached", nil)
	}
}

func (r *Router) choose(g *slotview.Group, need entry.Need) (route.Decision, error) {
	now := time.Now()
	slots, floorAge := r.state(g.Name).table(now, g, need.Floor.Pos)
	req := route.Request{
		Class:     route.ClassReadOnly,
		Floor:     need.Floor,
		FloorAge:  floorAge,
		Remaining: need.Deadline.Sub(now),
		Tried:     need.Avoid,
	}
	if need.Write {
		req.Class = route.ClassReadWrite
	}
	return route.Choose(req, policy(need), slots, random)
}

// random draws from the runtime's source, which is safe for concurrent use.
var random = rand.New(runtimeSource{})

type runtimeSource struct{}

// Uint64 implements rand.Source.
func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

func policy(need entry.Need) route.Policy {
	p := route.Policy{MaxAge: need.Service.MaxAge, MaxWait: maxWait}
	switch need.Level {
	case entry.LevelMaxAge:
		p.Level = route.LevelAge
	case entry.LevelPrimary:
		p.Level = route.LevelPrimary
	}
	if !need.Service.PreferReplicas {
		p.Preference = route.PreferLatency
	}
	return p
}

// target returns the target for a decision. The second result is false while the
// slot has no holder.
func (r *Router) target(g *slotview.Group, need entry.Need, d route.Decision) (entry.Target, bool) {
	slot, ok := g.Slot(d.Slot)
	if !ok {
		return entry.Target{}, false
	}
	opener, ok := r.opener(slot)
	if !ok {
		return entry.Target{}, false
	}
	t := entry.Target{
		Slot:    d.Slot,
		Opener:  opener,
		Primary: slot.Status.Role == endpoint.RolePrimary,
		Wait:    d.Wait,
		Done:    r.state(g.Name).trackSegment(d.Slot),
	}
	if !need.Write {
		t.Floor = d.Floor
	}
	if d.Confirm {
		term := slot.Status.Synced.Term
		t.Confirm = func(ctx context.Context) error {
			_, err := r.checker.confirm(ctx, g.Name, term)
			return err
		}
	}
	return t, true
}

// askFloor asks the primary, whose term a majority confirms, for its position
// and settles the session's floor with it.
func (r *Router) askFloor(ctx context.Context, group string, need entry.Need) (floor sessionFloor, err error) {
	pos, err := r.checker.confirm(ctx, group, 0)
	if err != nil {
		return floor, err
	}
	if need.Settle != nil {
		if err := need.Settle(ctx, pos); err != nil {
			return floor, err
		}
	}
	floor = need.Floor
	floor.Pos = logpos.Max(floor.Pos, pos)
	floor.Settled = true
	return floor, nil
}

// refusal converts a refusal by package route to the error for the caller.
func refusal(err error) error {
	var refused *route.RefusedError
	if !errors.As(err, &refused) {
		return outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonNoReplica, err.Error(), err)
	}
	code, reason := outcome.CodeCannotConnectNow, outcome.ReasonNoReplica
	switch refused.Reason {
	case route.ReasonDeadline:
		code, reason = outcome.CodeQueryCanceled, outcome.ReasonDeadline
	case route.ReasonFloorUnknown, route.ReasonFloorNotMet, route.ReasonTooOld:
		code, reason = outcome.CodeStaleRead, outcome.ReasonStale
	}
	return outcome.NotRunError(code, reason, refused.Error(), nil)
}
