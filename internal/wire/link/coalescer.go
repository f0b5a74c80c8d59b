package link

import (
	"net"
	"sync"
)

// coalescer combines the small writes of many streams into few system calls.
// Data that is written during a system call is sent with the next one.
type coalescer struct {
	net.Conn

	// mu guards the fields below.
	mu      sync.Mutex
	cond    sync.Cond
	pending []byte
	spare   []byte
	err     error
}

// maxCoalescedBytes is the amount of pending data above which writers block.
const maxCoalescedBytes = 1 << 20

func newCoalescer(conn net.Conn) *coalescer {
	c := &coalescer{Conn: conn}
	c.cond.L = &c.mu
	go c.writeLoop()
	return c
}

// Write queues p. It returns the error of an earlier write, if any.
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

// Close stops the write loop, wakes blocked writers and closes the connection.
func (c *coalescer) Close() error {
	c.mu.Lock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.cond.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// writeLoop sends pending data until an error or Close.
func (c *coalescer) writeLoop() {
	for {
		out, ok := c.nextBatch()
		if !ok {
			return
		}
		_, err := c.Conn.Write(out)
		c.finishBatch(out, err)
		if err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}

// nextBatch waits for pending data and returns all of it. It returns false after
// an error or Close.
func (c *coalescer) nextBatch() ([]byte, bool) {
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

// finishBatch keeps the buffer for reuse, stores err and wakes blocked writers.
func (c *coalescer) finishBatch(out []byte, err error) {
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
