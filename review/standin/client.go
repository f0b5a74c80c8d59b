//go:build review

package main

import (
	"bufio"
	"net"
	"strings"
	"time"
)

// client is a session of a client at an entry.
type client struct {
	f     *fleet
	entry int
	conn  net.Conn
	r     *bufio.Reader
}

// answer is the answer to a query. code is empty for a success.
type answer struct {
	rows      []string
	code      string
	signature string
	state     string
}

func (f *fleet) open(entry int, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", f.at(2, entry, 3), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{f: f, entry: entry, conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Write([]byte("CONNECT " + database + " review\r\n")); err != nil {
		c.close()
		return nil, err
	}
	line, err := readMessage(c.r)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = &refusedError{line}
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

type refusedError struct{ line string }

func (e *refusedError) Error() string { return "refused: " + e.line }

func (c *client) close() { _ = c.conn.Close() }

// query sends one query and reads its answer.
func (c *client) query(id, text string) (answer, error) {
	var a answer
	c.f.rec.note("client sends %s %q to edge-%d", id, text, c.entry)
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err := c.conn.Write([]byte("QUERY " + id + " " + text + "\r\n"))
	for err == nil {
		var line string
		if line, err = readMessage(c.r); err != nil {
			break
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			c.f.rec.note("client gets for %s: code %q, signature %q, rows %q", id, a.code, a.signature, a.rows)
			return a, nil
		}
	}
	c.f.rec.note("client gets no answer for %s: %v", id, err)
	return a, err
}
