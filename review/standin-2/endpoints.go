//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"hemlockmast/platform/standin"
)

const service = "svc"

// announcer sends the announcements of one endpoint, as the pages say.
type announcer struct {
	fleet    *fleet
	node     *standin.Node
	domain   string
	bornMs   int64
	sequence int
	leaving  atomic.Bool
	// leftAt is when an announcement with the state draining was first acknowledged.
	leftAt atomic.Pointer[time.Time]
	stop   chan struct{}
}

// announce starts an announcer, which calls the control daemon first, then the others in turn.
func (f *fleet) announce(node *standin.Node, domain string) *announcer {
	a := &announcer{fleet: f, node: node, domain: domain, bornMs: time.Now().UnixMilli(), stop: make(chan struct{})}
	go func() {
		daemon, wasLeaving := 0, false
		next := time.Now()
		for {
			select {
			case <-a.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			leaving := a.leaving.Load()
			// A change is reported immediately.
			if time.Now().Before(next) && leaving == wasLeaving {
				continue
			}
			a.sequence++
			status, _ := f.call(http.MethodPost, daemon, standin.BeatPath(node.ID), node.Beat(domain, leaving, a.sequence, a.bornMs))
			if status != http.StatusOK {
				daemon = (daemon + 1) % 3
				continue
			}
			if now := time.Now(); leaving && a.leftAt.CompareAndSwap(nil, &now) {
				f.note("core-%d has acknowledged that %s is draining", daemon+1, node.ID)
			}
			next, wasLeaving = time.Now().Add(heartbeat), leaving
		}
	}()
	return a
}

// client is a session of a client at an entry.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// connect opens a session. A client gives up after 2 s.
func connect(address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "CONNECT %s u1\r\n", database); err == nil {
		var line string
		if line, err = c.line(); err == nil && !strings.HasPrefix(line, "READY") {
			err = fmt.Errorf("refused: %s", line)
		}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) line() (string, error) {
	line, err := c.r.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// query runs a statement and returns the word and the rest of the result's line, and the rows.
func (c *client) query(id, text string, timeout time.Duration) (word, rest string, rows []string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return "", "", nil, err
	}
	for {
		line, err := c.line()
		if err != nil {
			return "", "", rows, err
		}
		w, r, _ := strings.Cut(line, " ")
		switch w {
		case "ROW":
			rows = append(rows, r)
		case "COMPLETE", "ERROR":
			word, rest = w, r
		case "READY":
			return word, rest, rows, nil
		}
	}
}

// serveHTTP serves HTTP on a free port of loopback and returns its address.
func serveHTTP(h http.Handler) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() { _ = server.Close() }, nil
}

// isReady asks an entry for its readiness, as the platform does.
func (f *fleet) isReady(i int) bool {
	response, err := operatorClient.Get(fmt.Sprintf("http://%s:%d/hemlockmast/readiness", entryHost(i), f.ports[3]))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
