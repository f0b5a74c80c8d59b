package proxy_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/proxy"
)

// TestSharesLeaveRoomForReplacementEntries covers a power loss of all entries: the endpoint
// counts their open connections for seconds, while the daemons that start in their place
// need as many again.
func TestSharesLeaveRoomForReplacementEntries(t *testing.T) {
	for _, row := range []struct {
		limit   uint32
		entries int
	}{{21, 8}, {46, 9}, {166, 76}, {51, 82}, {20, 1200}, {10, 0}} {
		share := proxy.ShareOf(row.limit, row.entries)
		assert.Assert(t, 2*share.KeepOpen*row.entries <= int(row.limit), "%+v: %+v", row, share)
		assert.Assert(t, share.MaxOpen > share.KeepOpen, "%+v: %+v", row, share)
	}
}
