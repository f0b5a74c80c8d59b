//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlockmast/platform/standin"
)

const service = "huvo11a"

// startDatabases starts a group of three databases and the platform, which promotes within
// promoteTime.
func (f *fleet) startDatabases() (*standin.Group, *http.Server, error) {
	group, err := standin.Start(service, 3)
	if err != nil {
		return nil, nil, err
	}
	for _, n := range group.Nodes() {
		n.Set(standin.Faults{MaxConnections: maxConns})
	}
	group.OnEvent(func(text string) { f.note("database %s", text) })
	platform := &standin.Platform{
		Groups: []*standin.Group{group}, PerSecond: 50,
		Draw: func() standin.CallFault { return standin.CallFault{EffectAfter: promoteTime} },
	}
	server, address, err := serve(platform)
	if err != nil {
		return nil, nil, err
	}
	f.promoter = address
	return group, server, nil
}

// beats sends the heartbeats of a group's databases, each with all fields of the page.
type beats struct {
	fleet *fleet
	group *standin.Group
	mu    sync.Mutex
	// born and sequence are those of the process of each database.
	born     map[*standin.Node]int64
	sequence map[*standin.Node]int
	next     map[*standin.Node]time.Time
	role     map[*standin.Node]string
}

func (f *fleet) newBeats(group *standin.Group) *beats {
	b := &beats{
		fleet: f, group: group, born: make(map[*standin.Node]int64), sequence: make(map[*standin.Node]int),
		next: make(map[*standin.Node]time.Time), role: make(map[*standin.Node]string),
	}
	for _, n := range group.Nodes() {
		b.born[n] = time.Now().UnixMilli()
	}
	return b
}

// move records that a database starts again at an address; its counts start anew.
func (b *beats) move(n *standin.Node, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n.Address = address
	b.born[n], b.sequence[n], b.next[n] = time.Now().UnixMilli(), 0, time.Time{}
}

// run sends heartbeats until stop is closed. A change of the role is announced at once.
func (b *beats) run(stop <-chan struct{}) {
	for ; ; time.Sleep(20 * time.Millisecond) {
		select {
		case <-stop:
			return
		default:
		}
		for i, n := range b.group.Nodes() {
			if body, ok := b.due(n, zones[i]); ok {
				go b.fleet.beat(n.ID, body, i)
			}
		}
	}
}

// due returns the heartbeat that a database has to send now, if any.
func (b *beats) due(n *standin.Node, zone string) (body string, ok bool) {
	role := "replica"
	if b.group.Primary() == n {
		role = "primary"
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if n.IsDown() || now.Before(b.next[n]) && role == b.role[n] {
		return "", false
	}
	b.sequence[n]++
	b.role[n], b.next[n] = role, now.Add(heartbeatMs*time.Millisecond)
	return fmt.Sprintf(`{"Backend":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":3,"State":"ready","ColdRemainingMs":0,"DbRole":%q,"Sequence":%d,"born":%d}`,
		service, n.Address, zone, role, b.sequence[n], b.born[n]), true
}

// beat sends a heartbeat to one control daemon after the other, until it is acknowledged.
func (f *fleet) beat(id, body string, first int) int {
	status := 0
	for k := range controlCount {
		var text string
		i := (first + k) % controlCount
		status, text = f.call(i, http.MethodPost, "/hemlockmast/instances/"+id+"/heartbeat", body)
		if status/100 == 2 {
			break
		}
		if status != 0 {
			f.note("heartbeat of %s at %s: %d %s", id, controlName(i), status, text)
		}
	}
	return status
}

// write is a client's write. Each writes an item of its own, once.
type write struct {
	id, item, value string
	sentAt          time.Time
	answeredAt      time.Time
	// code is the code of the answer, "" for success, and "broken" without an answer.
	code string
}

// writers are clients that write.
type writers struct {
	fleet *fleet
	mu    sync.Mutex
	done  []write
	last  atomic.Int64
}

// run writes through an entry, with a pause between two writes, until stop is closed.
func (w *writers) run(entry int, pause time.Duration, stop <-chan struct{}) {
	var session *standin.Caller
	for ; ; time.Sleep(pause) {
		select {
		case <-stop:
			return
		default:
		}
		if session == nil {
			var err error
			if session, err = standin.Open(w.fleet.callers(entryHost(entry)), "filing", 2*time.Second); err != nil {
				session = nil
				continue
			}
		}
		n := w.last.Add(1)
		o := write{id: fmt.Sprintf("%016x", n), item: fmt.Sprintf("floe-%d", n), value: fmt.Sprintf("report-%d", n), sentAt: time.Now()}
		a, err := session.Query(o.id, "STORE "+o.item+" "+o.value, 3*time.Second)
		o.answeredAt, o.code = time.Now(), a.Code
		if err != nil {
			o.code = "broken"
			session.Close()
			session = nil
		}
		w.mu.Lock()
		w.done = append(w.done, o)
		w.mu.Unlock()
		w.fleet.note("client   sent %.3f by %s: STORE %s %s: %s", o.sentAt.Sub(w.fleet.start).Seconds(), entryName(entry), o.item, o.value, outcome(o.code))
	}
}

func outcome(code string) string {
	if code == "" {
		return "COMPLETE"
	}
	return code
}

// codes counts the outcomes of writes.
func (w *writers) codes() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int)
	for _, o := range w.done {
		counts[outcome(o.code)]++
	}
	return counts
}

// missing returns the writes that were answered with success and that a read does not find. ok is
// false if a read was not answered.
func (f *fleet) missing(w *writers) (list []write, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	session, err := (*standin.Caller)(nil), error(nil)
	for k, o := range w.done {
		if o.code != "" {
			continue
		}
		value, found := "", false
		for attempt := 0; attempt < 20 && !found; attempt++ {
			if session == nil {
				if session, err = standin.Open(f.callers(entryHost((k+attempt)%entryCount)), "filing", 2*time.Second); err != nil {
					session = nil
					time.Sleep(100 * time.Millisecond)
					continue
				}
			}
			a, err := session.Query(fmt.Sprintf("r%d-%d", k, attempt), "FETCH "+o.item, 3*time.Second)
			if err != nil {
				session.Close()
				session = nil
				continue
			}
			if a.Code == "" && len(a.Rows) == 1 {
				value, found = a.Rows[0], true
				continue
			}
			time.Sleep(50 * time.Millisecond)
		}
		if !found {
			return list, false
		}
		if value != o.value {
			list = append(list, o)
			f.note("read     %s answers %q; %q was acknowledged at %.3f", o.item, value, o.value, o.answeredAt.Sub(f.start).Seconds())
		}
	}
	return list, true
}

// ready reports whether an entry answers the platform's probe with 200.
func (f *fleet) isReady(entry int) bool {
	response, err := httpClient.Get("http://" + f.ready(entryHost(entry)) + "/hemlockmast/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (f *fleet) awaitReady(patience time.Duration) bool {
	return standin.WaitFor(patience, func() bool {
		for i := range entryCount {
			if !f.isReady(i) {
				return false
			}
		}
		return true
	})
}
