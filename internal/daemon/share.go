package daemon

// reservedConnections is the number of connections of each slot that stay free
// for a promotion.
const reservedConnections = 1

// baseShare returns how many of a slot's limit connections the holder at index
// may use for callers if n holders share the slot. Each holder needs one more
// connection to watch the endpoint.
func baseShare(limit, n, index int) int {
	free := limit - reservedConnections - n
	share := free / n
	if index < free%n {
		share++
	}
	return max(share, 0)
}
