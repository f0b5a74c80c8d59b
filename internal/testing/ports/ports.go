// Package ports finds free ports for daemons that tests start on loopback.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
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

const (
	// firstOwnPort and ownPorts limit the ports of Own, for the same reason.
	firstOwnPort = 10000
	ownPorts     = 20000
)

// given counts the ports that OwnRange has returned.
var given atomic.Uint32

// Own returns a host:port for TCP and UDP that no other test uses: a loopback IP of this
// process's own, and a port that it has not given out before. A daemon can therefore listen
// on it, stop and listen on it again.
func Own() string {
	host, port := OwnRange(1)
	return fmt.Sprintf("%s:%d", host, port)
}

// OwnRange is Own for count consecutive ports, of which it returns the first.
func OwnRange(count int) (host string, first int) {
	pid := os.Getpid()
	last := given.Add(uint32(count))
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f),
		firstOwnPort + int((last-uint32(count))%ownPorts)
}

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
