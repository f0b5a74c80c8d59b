package proxy

import (
	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/shared/stmt"
)

// unknownKey stands in logs for the workspace of a caller whose key no workspace holds. Keys
// themselves are secrets.
const unknownKey = "unknown key"

// workspaceFor returns the workspace whose key the caller has, or nil if callers of the route
// are not identified. The error is the answer to the caller.
func (ss *session) workspaceFor(route *fleetpb.Route) (*fleetpb.Workspace, *stmt.Error) {
	return ss.identify(ss.server.cfg.View.Snapshot(), route)
}

// identify is workspaceFor with the given snapshot.
func (ss *session) identify(snapshot *fleetview.Snapshot, route *fleetpb.Route) (*fleetpb.Workspace, *stmt.Error) {
	if !snapshot.IdentifiesCallers(route) {
		return nil, nil
	}
	if w := snapshot.WorkspaceOf(ss.key); w != nil {
		return w, nil
	}
	return nil, &stmt.Error{Code: stmt.CodeNoAuth, Detail: "no workspace has this key"}
}

// recheck returns the answer to the caller if the open transaction must be rolled back because
// its connection does not belong to the workspace that holds the caller's key now. Where
// callers are no longer identified, the transaction goes on.
func (ss *session) recheck() *stmt.Error {
	tx := ss.tx
	snapshot := ss.server.cfg.View.Snapshot()
	route := snapshot.Route(ss.database)
	if route == nil {
		route = tx.route
	}
	w, refusal := ss.identify(snapshot, route)
	if w == nil || w.Name == tx.workspace.GetName() {
		return refusal
	}
	ss.server.log.Info("key of an open transaction moved", "database", ss.database, "begin", tx.begin.ID,
		"from", tx.workspace.GetName(), "to", w.Name)
	return &stmt.Error{Code: stmt.CodeAborted, Detail: "key belongs to another workspace now"}
}

// isRevoked reports whether callers with the session's key are refused under a snapshot.
func (ss *session) isRevoked(snapshot *fleetview.Snapshot) bool {
	route := snapshot.Route(ss.database)
	if route == nil {
		return false
	}
	_, refusal := ss.identify(snapshot, route)
	return refusal != nil
}

// logRefused logs a statement outside a transaction that was refused before any endpoint was
// chosen. w is nil if the caller's key is unknown.
func (ss *session) logRefused(st stmt.Statement, w *fleetpb.Workspace, e *stmt.Error) {
	name := unknownKey
	if w != nil {
		name = w.Name
	}
	ss.server.log.Info("statement refused", "id", st.ID, "database", ss.database, "workspace", name,
		"code", e.Code.String(), "detail", e.Detail)
}

// endRevoked ends the sessions whose keys a snapshot has taken away: those that are idle at
// once, the others when they are next idle outside a transaction.
func (s *Server) endRevoked(snapshot *fleetview.Snapshot) {
	var revoked []*session
	s.mu.Lock()
	for ss := range s.sessions {
		if ss.isRevoked(snapshot) {
			revoked = append(revoked, ss)
		}
	}
	s.mu.Unlock()
	if len(revoked) == 0 {
		return
	}
	s.log.Info("sessions of revoked keys end", "sessions", len(revoked), "configuration", snapshot.Config.GetVersion())
	for _, ss := range revoked {
		ss.end(false, 0)
	}
}
