package metrics

// ConnEvent is what happened to a connection to an endpoint.
type ConnEvent string

// Events of connections. ConnBounded counts statements that had to wait because their
// workspace used as many connections as it may.
const (
	ConnOpened  ConnEvent = "opened"
	ConnEvicted ConnEvent = "evicted"
	ConnBounded ConnEvent = "bounded"
)

func (s *Set) addConns() {
	s.connEvents = counter("connection_events_total", "What happened to this daemon's connections to endpoints.", "event")
	s.connsHeld = gaugeVec("connections_held", "Open connections to endpoints, by whether they belong to a workspace.", "owner")
	s.registry.MustRegister(s.connEvents, s.connsHeld)
}

// ConnEvent counts what happened to a connection.
func (s *Set) ConnEvent(e ConnEvent) { s.connEvents.WithLabelValues(string(e)).Inc() }

// ConnsHeld adds to the number of connections held.
func (s *Set) ConnsHeld(hasWorkspace bool, change int) {
	owner := "none"
	if hasWorkspace {
		owner = "workspace"
	}
	s.connsHeld.WithLabelValues(owner).Add(float64(change))
}
