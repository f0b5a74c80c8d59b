package watch

import (
	"hemlockmast/api/link"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

// StatusFromWire converts a link message to a status. It drops the fields that
// describe the observation itself.
func StatusFromWire(w *link.SlotStatus) endpoint.Status {
	role := endpoint.RoleReplica
	if w.Primary {
		role = endpoint.RolePrimary
	}
	return endpoint.Status{
		Group:       w.Group,
		Slot:        w.Slot,
		Incarnation: w.Incarnation,
		Role:        role,
		FencedTerm:  w.FencedTerm,
		FencedBy:    w.FencedBy,
		Synced:      logpos.Pos{Term: w.SyncedTerm, Index: w.SyncedIndex},
		Applied:     logpos.Pos{Term: w.AppliedTerm, Index: w.AppliedIndex},
		ConnLimit:   int(w.ConnLimit),
	}
}

// StatusToWire converts a status to a link message, which omits ConnsInUse. The
// caller sets the fields that describe the observation itself.
func StatusToWire(st endpoint.Status) *link.SlotStatus {
	return &link.SlotStatus{
		Group:        st.Group,
		Slot:         st.Slot,
		Incarnation:  st.Incarnation,
		Primary:      st.Role == endpoint.RolePrimary,
		FencedTerm:   st.FencedTerm,
		FencedBy:     st.FencedBy,
		SyncedTerm:   st.Synced.Term,
		SyncedIndex:  st.Synced.Index,
		AppliedTerm:  st.Applied.Term,
		AppliedIndex: st.Applied.Index,
		ConnLimit:    uint64(st.ConnLimit),
	}
}
