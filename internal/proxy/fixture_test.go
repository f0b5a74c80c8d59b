package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/positions"
	"hemlockmast/internal/proxy"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/stmt"
	"hemlockmast/platform"
	"hemlockmast/platform/standin"
)

// maxLeavingWork leaves a primary that leaves half a second for new work.
const maxLeavingWork = 1500 * time.Millisecond

// fixture is an entry that serves a group of stand-in endpoints. It implements the parts of
// proxy.Config that stand for control.
type fixture struct {
	t       *testing.T
	group   *standin.Group
	view    *fleetview.View
	server  *proxy.Server
	address string

	// mu guards the fields below that change during a test.
	mu             sync.Mutex
	log            logr.Logger
	metrics        *metrics.Set
	logLines       []string
	controlLostFor time.Duration
	reports        []*fleetpb.ReportRequest
	confirmations  []*fleetpb.ConfirmClosedRequest
	config         *fleetpb.Configuration
	primaryNumber  uint64
	conns          []stmt.Conn
	// dialed are the workspaces for which connections were opened.
	dialed []string
	// unreachable holds the addresses of endpoints that this entry cannot reach.
	unreachable map[string]bool
	// position returns control's answer to Position; nil if control does not answer.
	position func() (logpos.Pos, error)
}

func (f *fixture) Position(context.Context, string) (logpos.Pos, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.position == nil {
		return logpos.Pos{}, context.DeadlineExceeded
	}
	return f.position()
}

func (f *fixture) Received(ctx context.Context, id string) (logpos.Pos, error) {
	reader := positions.New(platform.Dialer{Name: "control"}, platform.Texts)
	for _, n := range f.group.Nodes() {
		if n.ID == id {
			return reader.Received(ctx, stmt.Endpoint{ID: id, Service: "svc", Address: n.Address})
		}
	}
	return logpos.Pos{}, context.DeadlineExceeded
}

func (f *fixture) Report(_ context.Context, r *fleetpb.ReportRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, r)
	return nil
}

func (f *fixture) ConfirmClosed(_ context.Context, r *fleetpb.ConfirmClosedRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations = append(f.confirmations, r)
	return nil
}

func (f *fixture) controlLost() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controlLostFor
}

// Dial implements stmt.Dialer.
func (f *fixture) Dial(ctx context.Context, endpoint stmt.Endpoint) (stmt.Conn, error) {
	f.mu.Lock()
	isUnreachable := f.unreachable[endpoint.Address]
	f.mu.Unlock()
	if isUnreachable {
		return nil, &stmt.BrokenError{Cause: context.DeadlineExceeded}
	}
	conn, err := platform.Dialer{Name: "entry"}.Dial(ctx, endpoint)
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.conns = append(f.conns, conn)
		f.dialed = append(f.dialed, endpoint.Workspace)
	}
	return conn, err
}

// cutOff closes this entry's connections to all endpoints and fails its further dials to
// one address.
func (f *fixture) cutOff(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable == nil {
		f.unreachable = make(map[string]bool)
	}
	f.unreachable[address] = true
	for _, conn := range f.conns {
		conn.Close()
	}
	f.conns = nil
}

// newFixture returns an entry that serves a new group of three endpoints.
func newFixture(t *testing.T) *fixture {
	group, err := standin.Start("svc", 3)
	assert.NilError(t, err)
	t.Cleanup(group.Close)
	return newFixtureOf(t, group, "a", "")
}

// newFixtureOf returns an entry of a failure domain that serves a group. carrier is the
// address at which it lends connections; with "" it neither lends nor borrows any.
func newFixtureOf(t *testing.T, group *standin.Group, failureDomain, carrier string) *fixture {
	f := &fixture{t: t, group: group, view: fleetview.New(logr.Discard()), metrics: metrics.New()}
	f.log = funcr.NewJSON(func(line string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.logLines = append(f.logLines, line)
	}, funcr.Options{})
	f.server = proxy.New(proxy.Config{
		Name: "entry", FailureDomain: failureDomain, View: f.view, Dialer: f,
		Texts: platform.Texts, Reporter: f, PositionSource: f, ControlLostFor: f.controlLost, Metrics: f.metrics, Log: f.log,
		Carrier: carrier, MaxLeavingWork: maxLeavingWork,
	})
	f.config = &fleetpb.Configuration{
		Version:  1,
		Services: []*fleetpb.Service{{Name: "svc", MaxConnections: 43, SyncReplicas: 1}},
	}
	for name, level := range map[string]fleetpb.Level{
		"current": fleetpb.Level_LEVEL_CURRENT, "bounded": fleetpb.Level_LEVEL_BOUNDED, "session": fleetpb.Level_LEVEL_SESSION,
	} {
		f.config.Routes = append(f.config.Routes, &fleetpb.Route{
			Name: name, Database: name, Service: "svc", Level: level, StalenessLimitMs: 300, TimeoutMs: 600,
		})
	}
	response := &fleetpb.FollowResponse{Current: true, Entries: 1, Configuration: &fleetpb.ConfigurationUpdate{Changed: f.config}}
	for i, n := range group.Nodes() {
		response.Endpoints = append(response.Endpoints, &fleetpb.Endpoint{
			Id: n.ID, Service: "svc", Address: n.Address, FailureDomain: string(rune('a' + i)), Slots: 3,
			State: fleetpb.EndpointState_ENDPOINT_STATE_READY, BornMs: 1, Sequence: 1,
		})
	}
	f.view.Apply(response)
	f.setPrimary(0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	f.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.server.Serve(platform.NewCaller(conn))
		}
	}()
	return f
}

// setPrimary sends the entry a primary record that names node i.
func (f *fixture) setPrimary(i int) {
	f.primaryNumber++
	f.view.Apply(&fleetpb.FollowResponse{Current: true, Entries: 1, Primaries: []*fleetpb.Primary{
		{Service: "svc", EndpointId: f.group.Nodes()[i].ID, Number: f.primaryNumber},
	}})
}

// promote makes node i the primary and sends the entry the new record.
func (f *fixture) promote(i int) {
	assert.Equal(f.t, f.group.Promote(f.group.Nodes()[i].ID, f.primaryNumber+1), 200)
	f.setPrimary(i)
}

// caller is the caller's side of a session.
type caller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

var nextIDMu sync.Mutex
var nextID int

// dial opens a connection to the entry.
func (f *fixture) dial() *caller {
	conn, err := net.Dial("tcp", f.address)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return &caller{t: f.t, conn: conn, r: bufio.NewReader(conn)}
}

// connect sends the first message and does not wait for its answer.
func (f *fixture) connect(database string) *caller { return f.connectWithKey(database, "me") }

// session opens a session, which must be accepted.
func (f *fixture) session(database string) *caller {
	c := f.connect(database)
	assert.Equal(f.t, c.line(), "READY I -")
	return c
}

func (c *caller) line() string {
	assert.NilError(c.t, c.conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	line, err := c.r.ReadString('\n')
	assert.NilError(c.t, err)
	return strings.TrimRight(line, "\r\n")
}

func newID() string {
	nextIDMu.Lock()
	defer nextIDMu.Unlock()
	nextID++
	return fmt.Sprintf("q%d", nextID)
}

// query runs a statement and returns its result lines, joined by "|", and the transaction
// state.
func (c *caller) query(text string) (result, state string) {
	_, result, state = c.queryID(text)
	return result, state
}

// queryID does the same as query and also returns the statement's id.
func (c *caller) queryID(text string) (id, result, state string) {
	id = newID()
	_, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	assert.NilError(c.t, err)
	var parts []string
	for {
		line := c.line()
		if rest, ok := strings.CutPrefix(line, "READY "); ok {
			return id, strings.Join(parts, "|"), rest[:1]
		}
		parts = append(parts, line)
	}
}

// ok runs a statement that must succeed and returns its result.
func (c *caller) ok(text string) string {
	c.t.Helper()
	result, _ := c.query(text)
	assert.Assert(c.t, strings.Contains(result, "COMPLETE"), "%s: %s", text, result)
	return result
}

// fails runs a statement that must fail with a code; "" stands for any.
func (c *caller) fails(text, code string) {
	c.t.Helper()
	result, _ := c.query(text)
	assert.Assert(c.t, strings.HasPrefix(result, "ERROR "+code), "%s: %s", text, result)
}
