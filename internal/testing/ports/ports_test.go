package ports_test

import (
	"fmt"
	"net"
	"strconv"
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

// TestOwn checks that no address is given out twice, or from the range of
// outgoing connections.
func TestOwn(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		address := ports.Own()
		assert.Assert(t, !seen[address], address)
		seen[address] = true
		_, text, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		port, err := strconv.Atoi(text)
		assert.NilError(t, err)
		assert.Assert(t, port < 32768)
	}
	l, err := net.Listen("tcp", ports.Own())
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
}
