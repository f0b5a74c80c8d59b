//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hemlockmast/platform/standin"
)

// front is the address of a database: it forwards connections to the database.
type front struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func newFront(target string) (*front, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	fr := &front{target: target, listener: listener}
	go fr.accept()
	return fr, nil
}

func (fr *front) address() string { return fr.listener.Addr().String() }

// close closes the address and all connections to it.
func (fr *front) close() {
	_ = fr.listener.Close()
	fr.mu.Lock()
	defer fr.mu.Unlock()
	for _, c := range fr.conns {
		_ = c.Close()
	}
}

func (fr *front) accept() {
	for {
		near, err := fr.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", fr.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		fr.mu.Lock()
		fr.conns = append(fr.conns, near, far)
		fr.mu.Unlock()
		forward := func(to, from net.Conn) {
			_, _ = io.Copy(to, from)
			_ = to.Close()
			_ = from.Close()
		}
		go forward(far, near)
		go forward(near, far)
	}
}

// movedDatabases plays databases that answer BUSY for some seconds after their start. Without trouble,
// they run statements from then on. With it, they start again at that time under the ids that they
// had and with their logs, run statements at once, and announce the addresses of their new processes.
func movedDatabases(f *fleet, trouble bool) int {
	group, server, err := f.startDatabases()
	if err != nil {
		return f.failed(err.Error())
	}
	defer server.Close()
	defer group.Close()
	own := make(map[*standin.Node]string)
	fronts := make(map[*standin.Node]*front)
	for _, n := range group.Nodes() {
		n.Set(standin.Faults{Busy: true, MaxConnections: maxConns})
		own[n] = n.Address
		if fronts[n], err = newFront(own[n]); err != nil {
			return f.failed(err.Error())
		}
		defer fronts[n].close()
		n.Address = fronts[n].address()
	}
	if !f.startAll() {
		return f.failed("the system did not start")
	}
	stop := make(chan struct{})
	defer close(stop)
	beat := f.newBeats(group)
	go beat.run(stop)
	if f.publish(configuration(7, service), 20*time.Second) != 200 || !f.awaitReady(15*time.Second) {
		return f.failed("no configuration was acknowledged")
	}
	var served, tried atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(startTime + askTime)
	for i := range 2 * entryCount {
		clients.Go(func() { f.ask(i, until, &tried, &served) })
	}
	time.Sleep(startTime)
	for _, n := range group.Nodes() {
		if trouble {
			fronts[n].close()
			next, err := newFront(own[n])
			if err != nil {
				return f.failed(err.Error())
			}
			defer next.close()
			beat.move(n, next.address())
			n.Restart(n.ID)
			f.note("database %s, before at %s, starts again at %s", n.ID, fronts[n].address(), next.address())
		}
		n.Set(standin.Faults{MaxConnections: maxConns})
		f.note("database %s runs statements", n.ID)
	}
	clients.Wait()
	f.note("checked  %d requests were sent by %d clients, %d were served", tried.Load(), 2*entryCount, served.Load())
	if !f.isSound(group) {
		return f.failed("a database does not serve")
	}
	if served.Load() == 0 {
		return exitBroken
	}
	return exitHeld
}

// startTime is how long the databases answer BUSY, askTime how long the clients go on
// after that.
const (
	startTime = 4 * time.Second
	askTime   = 40 * time.Second
)

// isSound reports whether all databases answer at the addresses that they announce.
func (f *fleet) isSound(group *standin.Group) bool {
	for _, n := range group.Nodes() {
		session, err := standin.Open(n.Address, service, time.Second)
		if err != nil {
			f.note("database %s does not answer at %s: %v", n.ID, n.Address, err)
			return false
		}
		a, err := session.Query("-", "STATUS", time.Second)
		session.Close()
		f.note("database %s answers a direct STATUS at %s: %v", n.ID, n.Address, a.Rows)
		if err != nil || len(a.Rows) != 1 {
			return false
		}
	}
	return true
}

// ask sends requests of all kinds through an entry, with a pause between two.
func (f *fleet) ask(client int, until time.Time, tried, served *atomic.Int64) {
	databases := []string{"filing", "advisory", "bulletin"}
	for n := 0; time.Now().Before(until); n++ {
		entry := client % entryCount
		database := databases[n%len(databases)]
		text := fmt.Sprintf("FETCH floe-%d", n%50)
		if n%4 == 0 {
			text = fmt.Sprintf("STORE floe-%d report-%d-%d", n%50, client, n)
		}
		id := fmt.Sprintf("%08x%08x", client, n)
		tried.Add(1)
		code := "broken"
		session, err := standin.Open(f.callers(entryHost(entry)), database, 2*time.Second)
		if err == nil {
			var a standin.Answer
			if a, err = session.Query(id, text, 4*time.Second); err == nil {
				code = outcome(a.Code)
			}
			session.Close()
		}
		if code == "COMPLETE" {
			served.Add(1)
		}
		f.note("client   %s to %s for %s: %s: %s", id, entryName(entry), database, text, code)
		time.Sleep(400 * time.Millisecond)
	}
}
