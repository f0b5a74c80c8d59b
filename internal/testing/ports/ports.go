// Package ports finds free ports for daemons that tests start on loopback.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// minPort and maxPort limit the ports that are drawn. They are below the
	// range from which the system assigns ports to outgoing connections, which
	// could otherwise occupy a port before the daemon listens on it.
	minPort = 15000
	maxPort = 32000
	// maxAttempts is the maximum number of attempts.
	maxAttempts = 200
)

// NoneError reports that no Count consecutive free ports were found.
type NoneError struct{ Count int }

func (e *NoneError) Error() string {
	return fmt.Sprintf("no %d free ports in a row were found", e.Count)
}

// Free returns the first of count consecutive TCP ports that are free on every
// host. Errors: *NoneError.
func Free(count int, hosts ...string) (int, error) {
	for range maxAttempts {
		port := minPort + rand.IntN(maxPort-minPort-count)
		if areFree(port, count, hosts) {
			return port, nil
		}
	}
	return 0, &NoneError{Count: count}
}

func areFree(port, count int, hosts []string) bool {
	for _, host := range hosts {
		for i := range count {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port+i))
			if err != nil {
				return false
			}
			defer l.Close()
		}
	}
	return true
}
