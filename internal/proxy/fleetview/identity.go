package fleetview

import (
	"slices"

	"google.golang.org/protobuf/proto"

	fleetpb "hemlockmast/api/fleet"
)

// identity is the part of a configuration that identifies callers. It is immutable.
type identity struct {
	isEnabled  bool
	workspaces []*fleetpb.Workspace
	// byKey maps keys to workspaces.
	byKey map[string]*fleetpb.Workspace
}

// newIdentity returns the identity of c. It returns held, which may be nil, if the workspaces of
// c are equal to those of held: configurations change far more often than workspaces.
func newIdentity(c *fleetpb.Configuration, held *identity) *identity {
	isSame := func(a, b *fleetpb.Workspace) bool { return a == b || proto.Equal(a, b) }
	if held != nil && held.isEnabled == c.IdentifiesCallers && slices.EqualFunc(held.workspaces, c.Workspaces, isSame) {
		return held
	}
	next := &identity{isEnabled: c.IdentifiesCallers, workspaces: c.Workspaces, byKey: make(map[string]*fleetpb.Workspace)}
	for _, w := range c.Workspaces {
		for _, key := range w.Keys {
			// A caller without a key has the key "".
			if key != "" {
				next.byKey[key] = w
			}
		}
	}
	return next
}
