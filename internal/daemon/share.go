package daemon

// reservedConnections are kept free on each slot for a promotion.
const reservedConnections = 1

// baseShare returns the connections of a slot that the holder at index may use
// for callers, out of limit, when n holders share it. One connection of each
// holder watches the endpoint.
func baseShare(limit, n, index int) int {
	free := limit - reservedConnections - n
	share := free / n
	if index < free%n {
		share++
	}
	return max(share, 0)
}
