package daemon

import (
	"context"
	"slices"

	"hemlockmast/internal/entry"
	"hemlockmast/internal/exchange"
	"hemlockmast/internal/holder"
	"hemlockmast/internal/outcome"
	"hemlockmast/internal/slotview"
)

// router chooses endpoints by the daemon's picture of the slots.
type router struct {
	self   string
	view   *slotview.View
	local  *holder.Holder
	opener func(daemon string) (exchange.Opener, bool)
}

// Route implements entry.Router. A write waits for a primary until ctx ends.
func (r *router) Route(ctx context.Context, need entry.Need) (entry.Target, error) {
	for {
		changed := r.view.Changed()
		g, ok := r.view.Group(need.Service.Group)
		if !ok {
			return entry.Target{}, outcome.NotRunError(outcome.CodeInvalidCatalogName,
				outcome.ReasonUnknownTarget, "the service's group is not configured", nil)
		}
		if target, ok := r.choose(g, need); ok {
			return target, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return entry.Target{}, outcome.NotRunError(outcome.CodeCannotConnectNow,
				outcome.ReasonNoPrimary, "no endpoint of the group could take the request", nil)
		}
	}
}

func (r *router) choose(g *slotview.Group, need entry.Need) (entry.Target, bool) {
	if !need.Write && need.Level != entry.LevelPrimary {
		for i := range g.Slots {
			s := &g.Slots[i]
			if r.mayRead(s, need) {
				if target, ok := r.target(s, false); ok {
					return target, true
				}
			}
		}
	}
	s, ok := g.Primary()
	if !ok || s.Endpoint.Leaving {
		return entry.Target{}, false
	}
	return r.target(s, true)
}

func (r *router) mayRead(s *slotview.Slot, need entry.Need) bool {
	return s.Known && s.Reachable && !s.Endpoint.Leaving &&
		!slices.Contains(need.Avoid, s.Name) &&
		!s.Status.Applied.Less(need.Floor)
}

// target finds a holder of the slot, this daemon first.
func (r *router) target(s *slotview.Slot, primary bool) (entry.Target, bool) {
	t := entry.Target{Slot: s.Name, Primary: primary}
	if r.local.Serves(holder.SlotID{Group: s.Group, Slot: s.Name}) {
		t.Opener = r.local
		return t, true
	}
	for _, name := range s.Holders {
		if opener, ok := r.opener(name); ok {
			t.Opener = opener
			return t, true
		}
	}
	return t, false
}
