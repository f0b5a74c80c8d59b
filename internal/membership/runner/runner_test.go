package runner_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/membership"
	"hemlockmast/internal/membership/announcer"
	"hemlockmast/internal/membership/runner"
	"hemlockmast/internal/testing/ports"
	"hemlockmast/internal/testing/standin"
)

// testDeadline bounds each wait. It is long enough not to decide the result of a
// test.
const testDeadline = 30 * time.Second

// daemon is a running Runner with its HTTP server.
type daemon struct {
	*runner.Runner
	self   membership.Member
	server *httptest.Server
	stop   func()
}

func startDaemon(t *testing.T, name, domain string, seeds ...membership.Member) *daemon {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	self := membership.Member{Name: name, FailureDomain: domain, Heartbeat: ports.Own(),
		Admin: server.Listener.Addr().String(), Link: name}
	r, err := runner.New(runner.Config{Self: self, Seeds: seeds, Slots: []membership.SlotID{{Group: "g", Slot: "s1"}}})
	assert.NilError(t, err)
	r.Register(mux)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	d := &daemon{Runner: r, self: self, server: server, stop: func() { cancel(); <-done }}
	t.Cleanup(d.stop)
	return d
}

// await waits until ok holds. It checks again after each change that the daemon
// reports.
func (d *daemon) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.After(testDeadline)
	for {
		changed := d.Changed()
		if ok() {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("%s: %s: %+v %+v", d.self.Name, what, d.Members(), d.Endpoints())
		}
	}
}

func (d *daemon) endpoint() membership.EndpointView {
	for _, e := range d.Endpoints() {
		return e
	}
	return membership.EndpointView{}
}

func (d *daemon) status(name string) membership.Status {
	for _, m := range d.Members() {
		if m.Name == name && m.Incarnation > 0 {
			return m.Status
		}
	}
	return membership.Left + 1
}

// TestDaemonsAndEndpoint runs three daemons in two failure domains and a stand-in
// endpoint over real sockets. The only seed is the first daemon. It checks that the
// daemons join, follow the endpoint's announcements and see a daemon leave.
func TestDaemonsAndEndpoint(t *testing.T) {
	a := startDaemon(t, "a", "x")
	b := startDaemon(t, "b", "x", a.self)
	c := startDaemon(t, "c", "y", a.self)
	all := []*daemon{a, b, c}
	for _, d := range all {
		d.await(t, "all join", func() bool { return len(d.Members()) == 3 && d.status("b") == membership.Alive })
	}

	e, err := standin.Start(standin.Config{Group: "g", Slot: "s1", Primary: true, Announce: []string{b.server.URL}})
	assert.NilError(t, err)
	defer e.Close()
	for _, d := range all {
		d.await(t, "endpoint known", func() bool { return d.endpoint().Address == e.Addr() })
	}
	assert.Equal(t, a.endpoint().Incarnation, e.Status().Incarnation)

	e.Kill()
	assert.NilError(t, e.RestartEmpty())
	for _, d := range all {
		d.await(t, "new incarnation", func() bool { return d.endpoint().Incarnation == e.Status().Incarnation })
	}
	e.Leave(context.Background())
	for _, d := range all {
		d.await(t, "leaving", func() bool { return d.endpoint().Leaving })
	}
	e.Kill()
	for _, d := range all {
		d.await(t, "lapsed", func() bool { return d.endpoint().Address == "" })
	}

	b.stop()
	for _, d := range []*daemon{a, c} {
		d.await(t, "b left", func() bool { return d.status("b") == membership.Left })
	}
}

// TestBadInput sends malformed and refused messages over HTTP and UDP.
func TestBadInput(t *testing.T) {
	a := startDaemon(t, "a", "x")
	for _, row := range []struct {
		path, body string
		status     int
	}{
		{announcer.Path, "{", http.StatusBadRequest},
		{announcer.Path, `{"group":"g","slot":"s1","address":"","incarnation":"i"}`, http.StatusBadRequest},
		{announcer.Path, `{"group":"g","slot":"s9","address":"e:1","incarnation":"i"}`, http.StatusNotFound},
		{announcer.Path, `{"group":"` + string(bytes.Repeat([]byte("g"), 5000)) + `"}`, http.StatusBadRequest},
		{announcer.Path, `{"group":"g","slot":"s1","address":"e:1","incarnation":"i","sequence":1}`, http.StatusNoContent},
		{announcer.Path, `{"group":"g","slot":"s1","address":"f:1","incarnation":"j","started":9,"sequence":1}`, http.StatusConflict},
		{runner.ExchangePath, "\xff\xff", http.StatusBadRequest},
		{runner.ExchangePath, "", http.StatusOK},
	} {
		resp, err := http.Post(a.server.URL+row.path, "application/json", bytes.NewReader([]byte(row.body)))
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, row.status, row.body)
	}
	c, err := net.Dial("udp", a.self.Heartbeat)
	assert.NilError(t, err)
	defer c.Close()
	for _, p := range []string{"", "\xff", "\x08\x01", string(make([]byte, 60000))} {
		c.Write([]byte(p))
	}
	assert.Equal(t, len(a.Members()), 1)
	assert.Equal(t, a.endpoint().Address, "e:1")
}

// TestAnnouncerOutcomes announces to a daemon that refuses the announcement and to
// an address where no daemon listens, and checks the outcome of each.
func TestAnnouncerOutcomes(t *testing.T) {
	a := startDaemon(t, "a", "x")
	n := announcer.Start([]string{a.server.URL, "http://127.0.0.1:1"}, announcer.Announcement{
		Group: "g", Slot: "s9", Address: "e:1", Incarnation: "i"})
	defer n.Stop()
	for n.Outcomes()[0].Code != "unknown_slot" {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, n.Outcomes()[1].Code, "unreachable")
	a.SetSlots([]membership.SlotID{{Group: "g", Slot: "s9"}})
	a.await(t, "announcement accepted", func() bool { return a.endpoint().Address == "e:1" })
}
