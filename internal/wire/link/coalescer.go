package link

import (
	"net"
	"sync"
)

// coalescer gathers the small writes of many streams into few system calls:
// what is written while a system call runs goes out with the next one.
type coalescer struct {
	net.Conn

	// mu guards the fields below.
	mu      sync.Mutex
	cond    sync.Cond
	pending []byte
	spare   []byte
	err     error
}

// maxCoalescedBytes bounds what waits to be sent; writers above it block.
const maxCoalescedBytes = 1 << 20

func newCoalescer(conn net.Conn) *coalescer {
	c := &coalescer{Conn: conn}
	c.cond.L = &c.mu
	go c.run()
	return c
}

// Write queues p. An error of an earlier write is reported here.
func (c *coalescer) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > maxCoalescedBytes && c.err == nil {
		c.cond.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	c.pending = append(c.pending, p...)
	c.cond.Broadcast()
	return len(p), nil
}

// Close wakes the writer and closes the connection.
func (c *coalescer) Close() error {
	c.mu.Lock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.cond.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

func (c *coalescer) run() {
	for {
		out, ok := c.take()
		if !ok {
			return
		}
		_, err := c.Conn.Write(out)
		c.done(out, err)
		if err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}

func (c *coalescer) take() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 && c.err == nil {
		c.cond.Wait()
	}
	if c.err != nil {
		return nil, false
	}
	out := c.pending
	c.pending = c.spare[:0]
	c.spare = nil
	return out, true
}

func (c *coalescer) done(out []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cap(out) <= maxCoalescedBytes {
		c.spare = out
	}
	if c.err == nil {
		c.err = err
	}
	c.cond.Broadcast()
}
