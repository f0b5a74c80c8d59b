package ports_test

import (
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/testing/ports"
)

// TestFree checks that the ports which Free returns are in range and can be used
// on both hosts.
func TestFree(t *testing.T) {
	port, err := ports.Free(3, "127.0.0.1", "127.0.11.2")
	assert.NilError(t, err)
	assert.Assert(t, port >= 15000 && port+3 <= 32000, "%d", port)
	for i := range 3 {
		for _, host := range []string{"127.0.0.1", "127.0.11.2"} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port+i))
			assert.NilError(t, err)
			defer l.Close()
		}
	}
}
