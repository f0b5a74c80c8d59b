package devcluster

import (
	"fmt"
	"net"
	"strconv"
)

const (
	// DefaultFirstPort is the default lowest port. It is below the range from
	// which operating systems assign ports to outgoing connections.
	DefaultFirstPort = 16400
	// portsToTry is the number of ports that are tried.
	portsToTry = 4096
)

// addresses are the listening addresses of one daemon.
type addresses struct{ callers, link, admin, heartbeat string }

// ports allocates the free ports of one host in ascending order.
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
	return &ports{host: host, next: first, last: first + portsToTry}
}

// daemonAddresses returns the four addresses of a daemon, which are free at the
// moment.
func (p *ports) daemonAddresses() (addresses, error) {
	var list [4]string
	for i := range list {
		addr, err := p.nextAddress()
		if err != nil {
			return addresses{}, err
		}
		list[i] = addr
	}
	return addresses{list[0], list[1], list[2], list[3]}, nil
}

// nextAddress returns the next free address. Errors: *NoPortError.
func (p *ports) nextAddress() (string, error) {
	for p.next < p.last {
		addr := net.JoinHostPort(p.host, strconv.Itoa(p.next))
		p.next++
		if isFree(addr) {
			return addr, nil
		}
	}
	return "", &NoPortError{Host: p.host, Last: p.last}
}

// isFree reports whether addr is free for both TCP and UDP.
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

// NoPortError reports that no port below Last is free.
type NoPortError struct {
	Host string
	Last int
}

func (e *NoPortError) Error() string {
	return fmt.Sprintf("no free port below %d on %s", e.Last, e.Host)
}
