//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workTime is the time from the run of a client's statement to its answer.
const workTime = 40 * time.Millisecond

// group is a service: one primary and its replicas, as PROTOCOL.md describes them. One lock
// makes each step atomic.
type group struct {
	service string
	rec     *record

	mu    sync.Mutex
	nodes []*database
	term  uint64
	// runs holds the statements that ran, in order.
	runs []run
}

// run is one statement that a database ran.
type run struct {
	at           time.Time
	node         string
	id, text     string
	shape        string
	committed    bool
	afterDrainMs int64
}

type commit struct {
	term, number uint64
	item, data   string
}

// database is one endpoint of a group.
type database struct {
	id, address string
	group       *group
	listener    net.Listener
	conns       map[net.Conn]bool
	primary     bool
	term, held  uint64
	log         []commit
	draining    bool
	// drainAcked is when a daemon acknowledged that this database is draining.
	drainAcked time.Time
	ended      bool
	sequence   int
	born       int64
}

func newGroup(service string, n int, rec *record) (*group, error) {
	g := &group{service: service, term: 1, rec: rec}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d := &database{
			id: fmt.Sprintf("i-%s%d", service, i), address: l.Addr().String(), group: g, listener: l,
			conns: make(map[net.Conn]bool), primary: i == 0, term: 1, born: time.Now().UnixMilli(),
		}
		g.nodes = append(g.nodes, d)
		go d.accept()
	}
	return g, nil
}

func (d *database) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.group.mu.Lock()
		d.conns[c] = true
		d.group.mu.Unlock()
		go d.serve(c)
	}
}

// end ends the process of the database: nothing listens at its address any more.
func (d *database) end() {
	_ = d.listener.Close()
	d.group.mu.Lock()
	d.ended = true
	conns := d.conns
	d.conns = make(map[net.Conn]bool)
	d.group.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

// readMessage returns the next line. Only CR LF ends a line.
func readMessage(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := r.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}

// dbSession is one connection to a database.
type dbSession struct {
	d        *database
	prepared map[string]string
	inTx     bool
	readOnly bool
	failed   bool
	writes   []commit
}

func (d *database) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	s := &dbSession{d: d, prepared: make(map[string]string)}
	for {
		line, err := readMessage(r)
		if err != nil {
			return
		}
		answer, closes := s.answer(line)
		if strings.HasPrefix(line, "QUERY ") && !strings.HasPrefix(line, "QUERY - ") {
			time.Sleep(workTime)
		}
		if _, err := c.Write([]byte(answer)); err != nil || closes {
			return
		}
	}
}

func (d *database) position() string {
	if len(d.log) == 0 {
		return "-"
	}
	c := d.log[len(d.log)-1]
	return fmt.Sprintf("%d.%d", c.term, c.number)
}

func (s *dbSession) ready() string {
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.inTx:
		state = "T"
	}
	return "READY " + state + " " + s.d.position() + "\r\n"
}

func (s *dbSession) answer(line string) (text string, closes bool) {
	d := s.d
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "CONNECT":
		f := strings.Fields(rest)
		if len(f) < 2 || f[0] != d.group.service || len(f) > 2 && f[2] != d.id {
			return "ERROR MISROUTED " + d.id + "\r\n", true
		}
		return s.ready(), false
	case "QUERY":
		id, query, _ := strings.Cut(rest, " ")
		return s.query(id, query) + s.ready(), false
	}
	return "", true
}

func (s *dbSession) fail(code string) string {
	s.failed = s.inTx
	return "ERROR " + code + " " + s.d.id + "\r\n"
}

func (s *dbSession) query(id, text string) string {
	d := s.d
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "AFTER" {
		pos, query, _ := strings.Cut(rest, " ")
		if !d.holds(pos) {
			return "ERROR LAGGING " + d.id + "\r\n"
		}
		return s.query(id, query)
	}
	if s.failed && verb != "COMMIT" && verb != "ROLLBACK" {
		return "ERROR MALFORMED transaction failed\r\n"
	}
	ran, shape := text, ""
	if verb == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		var ok bool
		if shape, ok = s.prepared[name]; !ok {
			return s.fail("NOSTMT")
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest, ran = args, "EXECUTE "+args
	}
	plain := s.inTx && !s.readOnly
	if plain && !d.primary && verb != "ROLLBACK" && !(verb == "COMMIT" && len(s.writes) == 0) {
		return s.fail("READONLY")
	}
	switch verb {
	case "SET":
	case "RESET":
		clear(s.prepared)
	case "PREPARE":
		name, what, _ := strings.Cut(rest, " ")
		s.prepared[name] = what
	case "DEALLOC":
		delete(s.prepared, rest)
	case "BEGIN":
		if rest == "" && !d.primary {
			return "ERROR READONLY " + d.id + "\r\n"
		}
		s.inTx, s.readOnly, s.writes = true, rest == "FETCH", nil
	case "ROLLBACK":
		s.inTx, s.failed, s.writes = false, false, nil
	case "COMMIT":
		failed, writes := s.failed, s.writes
		s.inTx, s.failed, s.writes = false, false, nil
		if failed {
			return "ERROR ABORTED " + d.id + "\r\n"
		}
		if len(writes) > 0 && !d.append(writes) {
			return "ERROR TIMEOUT no replica received it\r\n"
		}
		return s.ran(id, ran, shape)
	case "FETCH":
		row := ""
		for _, c := range d.log {
			if c.item == rest {
				row = c.data
			}
		}
		return "ROW " + row + "\r\n" + s.ran(id, ran, shape)
	case "STORE":
		if !d.primary {
			return s.fail("READONLY")
		}
		item, data, _ := strings.Cut(rest, " ")
		w := commit{item: item, data: data}
		if s.inTx {
			s.writes = append(s.writes, w)
		} else if !d.append([]commit{w}) {
			return "ERROR TIMEOUT no replica received it\r\n"
		}
		return s.ran(id, ran, shape)
	case "STATUS", "PAUSE", "STEPDOWN":
		term, _ := strconv.ParseUint(rest, 10, 64)
		if verb == "PAUSE" && !d.primary && term > d.term {
			d.held = term
		}
		if verb == "STEPDOWN" && d.primary && term > d.term {
			d.primary = false
		}
		if verb != "STATUS" {
			d.group.rec.note("order %s at %s", text, d.id)
		}
		role := "replica"
		if d.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\nCOMPLETE -\r\n", role, d.term, d.position(), d.held, len(d.conns))
	default:
		return s.fail("MALFORMED")
	}
	return "COMPLETE -\r\n"
}

// ran records that a statement ran and returns its signature. Statements of the system itself
// have the id "-".
func (s *dbSession) ran(id, text, shape string) string {
	d := s.d
	r := run{at: time.Now(), node: d.id, id: id, text: text, shape: shape}
	if !d.drainAcked.IsZero() {
		r.afterDrainMs = r.at.Sub(d.drainAcked).Milliseconds()
	}
	d.group.runs = append(d.group.runs, r)
	d.group.rec.note("%s runs %s %q, %d ms after its draining was acknowledged", d.id, id, text, r.afterDrainMs)
	return "COMPLETE sig." + d.id + "." + id + "\r\n"
}

func (d *database) holds(pos string) bool {
	for _, c := range d.log {
		if fmt.Sprintf("%d.%d", c.term, c.number) == pos {
			return true
		}
	}
	return false
}

// append adds a commit to the primary's log and to those of the replicas that can receive it. It
// reports whether one has, which acknowledges it.
func (d *database) append(writes []commit) bool {
	number := uint64(1)
	if n := len(d.log); n > 0 {
		number = d.log[n-1].number + 1
	}
	for i := range writes {
		writes[i].term, writes[i].number = d.term, number
	}
	d.log = append(d.log, writes...)
	received := false
	for _, o := range d.group.nodes {
		if o != d && !o.ended && o.held == 0 {
			o.log, o.term = append([]commit(nil), d.log...), d.term
			received = true
		}
	}
	return received
}

// promote makes the database the primary of the next term.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var next *database
	for _, d := range g.nodes {
		if d.id == id && !d.ended {
			next = d
		}
	}
	if next == nil {
		return false
	}
	if next.primary {
		return true
	}
	g.term++
	for _, d := range g.nodes {
		d.primary = false
	}
	next.primary, next.term, next.held = true, g.term, 0
	for _, d := range g.nodes {
		if d != next && !d.ended {
			d.log, d.term, d.held = append([]commit(nil), next.log...), g.term, 0
		}
	}
	g.rec.note("%s leads term %d", id, g.term)
	return true
}
