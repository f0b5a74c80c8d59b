// Package delay provides a TCP proxy that adds a fixed delay in each direction, for
// measurements on loopback.
package delay

import (
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the maximum number of bytes per read.
	chunkBytes = 64 << 10
	// maxChunks bounds the chunks in flight in one direction of a connection. A faster
	// sender is slowed down by backpressure.
	maxChunks = 1024
)

// Proxy forwards connections to one target with a delay.
type Proxy struct {
	ln     net.Listener
	target string
	// delay is the one-way delay.
	delay time.Duration

	// mu guards the fields below.
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// NewProxy starts a proxy on a free loopback port that forwards to the address target and
// delays each direction by delay. Errors: those of listening.
func NewProxy(target string, delay time.Duration) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, delay: delay, open: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.open {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client); done <- struct{}{} }()
	go func() { p.copy(client, server); done <- struct{}{} }()
	<-done
}

// track registers c for Close. It reports whether the proxy is still open.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = struct{}{}
	return !p.closed
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// chunk is a piece of data with the time at which it must be forwarded.
type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards data from src to dst in order, after the delay. After a failed write it
// discards the rest, so that the reading goroutine does not block.
func (p *Proxy) copy(dst, src net.Conn) {
	chunks := make(chan chunk, maxChunks)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkBytes)
			n, err := src.Read(buf)
			if n > 0 {
				chunks <- chunk{buf[:n], time.Now().Add(p.delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if !failed {
			_, err := dst.Write(c.data)
			failed = err != nil
		}
	}
}
