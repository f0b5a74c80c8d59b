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
		part := proxy.ShareOf(row.limit, row.entries)
		assert.Assert(t, 2*part.KeepOpen*row.entries <= int(row.limit), "%+v: %+v", row, part)
		assert.Assert(t, part.MaxOpen > part.KeepOpen, "%+v: %+v", row, part)
	}
}
