// Package ports finds ports for daemons that are started on loopback.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// first and last bound the ports drawn. They lie below the range from which the
	// system takes the ports of outgoing connections, which would collide later.
	first = 15000
	last  = 32000
	// tries bounds the search.
	tries = 200
)

// NoneError reports that no free ports were found.
type NoneError struct{ Count int }

func (e *NoneError) Error() string {
	return fmt.Sprintf("no %d free ports in a row were found", e.Count)
}

// Free returns the first of count ports in a row that are free at every host.
// Errors: *NoneError.
func Free(count int, hosts ...string) (int, error) {
	for range tries {
		port := first + rand.IntN(last-first-count)
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
