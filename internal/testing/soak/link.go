package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxReopenAttempts = 50
	reopenPause       = 20 * time.Millisecond
)

// Impairment is a network fault of a link; it affects all connections through it.
type Impairment struct {
	// Delay is added to each read in both directions.
	Delay time.Duration
	// Silent drops traffic in both directions, OneWay the traffic from the endpoint.
	Silent bool
	OneWay bool
}

// link is a TCP proxy on loopback between the daemons and one endpoint.
type link struct {
	near, target string

	// mu guards the fields below.
	mu       sync.Mutex
	listener net.Listener
	current  Impairment
	conns    map[net.Conn]struct{}
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, near: listener.Addr().String(), target: target, conns: make(map[net.Conn]struct{})}
	go l.accept(listener)
	return l, nil
}

func (l *link) address() string { return l.near }

// close refuses new connections and resets the open ones.
func (l *link) close() {
	l.mu.Lock()
	_ = l.listener.Close()
	l.mu.Unlock()
	l.resetConnections()
}

// reopen listens again after close. Another program may hold the port for a moment.
func (l *link) reopen() error {
	var listener net.Listener
	var err error
	for range maxReopenAttempts {
		if listener, err = net.Listen("tcp", l.near); err == nil {
			break
		}
		time.Sleep(reopenPause)
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go l.accept(listener)
	return nil
}

// set replaces the impairment, also for open connections.
func (l *link) set(d Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = d
}

func (l *link) impairment() Impairment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// resetConnections closes all open connections with a TCP reset.
func (l *link) resetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (l *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) setTracked(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = struct{}{}
		return
	}
	delete(l.conns, c)
}

func (l *link) serve(near net.Conn) {
	l.setTracked(near, true)
	defer l.setTracked(near, false)
	defer near.Close()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	l.setTracked(far, true)
	defer l.setTracked(far, false)
	defer far.Close()
	done := make(chan struct{}, 2)
	go func() { l.forward(far, near, false); done <- struct{}{} }()
	go func() { l.forward(near, far, true); done <- struct{}{} }()
	<-done
}

// forward copies until one side closes. Data that arrives while the link is silent is
// lost, so the connection is unusable afterwards.
func (l *link) forward(to, from net.Conn, isBack bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if err != io.EOF {
				_ = to.Close()
			}
			return
		}
		d := l.impairment()
		if d.Delay > 0 {
			time.Sleep(d.Delay)
		}
		if d.Silent || d.OneWay && isBack {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
