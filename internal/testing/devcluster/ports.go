package devcluster

import (
	"fmt"
	"net"
	"strconv"
)

const (
	// DefaultFirstPort is where the daemons' ports begin. It is below the ports
	// that systems give to outgoing connections.
	DefaultFirstPort = 16400
	// maxPorts bounds the search for free ports.
	maxPorts = 4096
)

// addresses are the listening addresses of one daemon.
type addresses struct{ callers, link, admin, heartbeat string }

// ports hands out ports of one host in ascending order, without those in use.
type ports struct {
	host string
	next int
	last int
}

func newPorts(host string, first int) *ports {
	if host == "" {
		host = "127.0.0.1"
	}
	if first == 0 {
		first = DefaultFirstPort
	}
	return &ports{host: host, next: first, last: first + maxPorts}
}

// take returns four addresses that are free at the moment.
func (p *ports) take() (addresses, error) {
	var list [4]string
	for i := range list {
		addr, err := p.one()
		if err != nil {
			return addresses{}, err
		}
		list[i] = addr
	}
	return addresses{list[0], list[1], list[2], list[3]}, nil
}

func (p *ports) one() (string, error) {
	for p.next < p.last {
		addr := net.JoinHostPort(p.host, strconv.Itoa(p.next))
		p.next++
		if isFree(addr) {
			return addr, nil
		}
	}
	return "", &NoPortError{Host: p.host, Last: p.last}
}

// isFree reports whether nothing listens on addr, neither on TCP nor on UDP.
func isFree(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = ln.Close() }()
	packets, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}

// NoPortError reports that no port was free.
type NoPortError struct {
	Host string
	Last int
}

func (e *NoPortError) Error() string {
	return fmt.Sprintf("no free port below %d on %s", e.Last, e.Host)
}
