package hop

import "time"

// roundTripDivisor sets how slowly the round trip follows a longer measurement: opening a
// stream takes a round trip, or more if either side is slow to answer.
const roundTripDivisor = 8

// recordRoundTrip records how long it took to open a stream.
func (c *Client) recordRoundTrip(carrier string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(carrier)
	if p.roundTrip == 0 || took < p.roundTrip {
		p.roundTrip = took
		return
	}
	p.roundTrip += (took - p.roundTrip) / roundTripDivisor
}

// RoundTrip returns the time of a message to a carrier and its answer; 0 when not measured.
func (c *Client) RoundTrip(carrier string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[carrier]; p != nil {
		return p.roundTrip
	}
	return 0
}
