package proxy

import (
	"slices"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/carrier"
)

// setDemands derives the workspaces' shares of the load from a configuration.
func (s *Server) setDemands(c *fleetpb.Configuration) {
	rates := make(map[string]float64)
	for _, w := range c.GetWorkspaces() {
		rates[w.Name] = w.RatePerS
	}
	s.demands.Store(carrier.NewDemands(rates))
}

// isSmall reports whether a workspace is pinned to one carrier of an endpoint.
func (s *Server) isSmall(workspace string, limit, carriers int) bool {
	return workspace != "" && !s.demands.Load().IsLarge(workspace, limit, carriers)
}

// carriersFor returns the carriers to ask for a connection of a workspace, in order. It returns
// none if this daemon should use its own connections.
func (src *source) carriersFor(workspace string) []string {
	src.mu.Lock()
	carriers, limit := src.pinnable, src.limit
	src.mu.Unlock()
	if len(carriers) == 0 || !src.server.isSmall(workspace, limit, len(carriers)) {
		return src.lendingCarriers()
	}
	return src.usable(carrier.Pinned(src.endpoint.Id, workspace, carriers))
}

// preferred returns the id of the endpoint that most likely holds connections of a workspace,
// or "" if there is no preference: for callers that are not identified, and for large
// workspaces.
func (s *Server) preferred(service, workspace string, ready []target) string {
	if workspace == "" || len(ready) == 0 {
		return ""
	}
	isPinned := slices.ContainsFunc(ready, func(t target) bool {
		src := t.pool
		src.mu.Lock()
		carriers, limit := len(src.pinnable), src.limit
		src.mu.Unlock()
		return carriers > 0 && s.isSmall(workspace, limit, carriers)
	})
	if !isPinned {
		return ""
	}
	var ids []string
	for _, t := range ready {
		ids = append(ids, t.endpoint.Id)
	}
	return carrier.Preferred(service, workspace, ids)
}

// hasConnection reports whether an endpoint most likely has an idle connection that a read of a
// workspace can use. preferred is the result of Server.preferred.
func (src *source) hasConnection(workspace, preferred string, hasIdle bool) bool {
	switch {
	case workspace == "":
		return hasIdle
	case len(src.carriersFor(workspace)) == 0:
		return preferred == src.endpoint.Id || src.local.HasIdle(workspace)
	}
	return preferred == "" || preferred == src.endpoint.Id
}
