package fleetd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/cli/explain"
	"hemlockmast/internal/testing/ports"
	"hemlockmast/platform/standin"
)

const heartbeat = 200 * time.Millisecond

// fleet runs control daemons and entries on loopback addresses in front of a stand-in
// group.
type fleet struct {
	t       *testing.T
	group   *standin.Group
	port    uint32
	daemons map[string]*process
	// promoterAddress is where the stand-in platform accepts promotions.
	promoterAddress string
	// promoteDelay is how long the stand-in platform takes for a call, in nanoseconds.
	promoteDelay atomic.Int64

	// controlGraceMs is the grace time of control daemons, in milliseconds.
	controlGraceMs uint32

	log logr.Logger
	// stopAnnouncing ends the endpoints' heartbeats.
	stopAnnouncing context.CancelFunc

	// mu guards the fields below.
	mu       sync.Mutex
	logLines []string
	// leaving holds the endpoints that announce that they are leaving.
	leaving map[string]bool
	born    int64
	// announcedPrimaries, if not nil, holds the endpoints that announce themselves as the
	// primary instead of those that are.
	announcedPrimaries map[string]bool
}

// process is a daemon that runs in the test's process.
type process struct {
	settings *fleetpb.DaemonSettings
	stop     context.CancelFunc
	done     chan struct{}
}

func newFleet(t *testing.T, controls, entries int, options ...func(*fleet)) *fleet {
	group, err := standin.Start("svc", 3)
	assert.NilError(t, err)
	t.Cleanup(group.Close)
	var hosts []string
	for i := range 4 {
		hosts = append(hosts, fmt.Sprintf("127.0.1.%d", i+1), fmt.Sprintf("127.0.2.%d", i+1))
	}
	port, err := ports.Free(3, hosts...)
	assert.NilError(t, err)
	f := &fleet{
		t: t, group: group, port: uint32(port), daemons: make(map[string]*process),
		leaving: make(map[string]bool), born: time.Now().UnixMilli(), controlGraceMs: 1000,
	}
	for _, option := range options {
		option(f)
	}
	start := time.Now()
	f.log = funcr.NewJSON(func(line string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		at := time.Since(start).Seconds()
		f.logLines = append(f.logLines, fmt.Sprintf(`%7.3f {"ts":%f,%s`, at, at, strings.TrimPrefix(line, "{")))
	}, funcr.Options{})
	t.Cleanup(f.showLog)
	f.servePromotions()
	for i := range controls {
		f.start(f.controlSettings(i, i < 3 || controls < 3))
	}
	for i := range entries {
		f.start(f.entrySettings(i))
	}
	announceCtx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	f.stopAnnouncing = stop
	go f.announce(announceCtx)
	t.Cleanup(f.stopAll)
	return f
}

// showLog prints the daemons' log if the test failed.
func (f *fleet) showLog() {
	if !f.t.Failed() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Log("\n" + strings.Join(f.logLines, "\n"))
}

func (f *fleet) seeds() []string {
	var list []string
	for i := range 3 {
		list = append(list, fmt.Sprintf("127.0.1.%d:%d", i+1, f.port+1))
	}
	return list
}

func (f *fleet) entrySettings(i int) *fleetpb.DaemonSettings {
	ip := fmt.Sprintf("127.0.2.%d", i+1)
	return &fleetpb.DaemonSettings{
		Name: fmt.Sprintf("entry-%d", i), FailureDomain: string(rune('a' + i%3)), Role: RoleEntry,
		Callers: fmt.Sprintf("%s:%d", ip, f.port), Ready: fmt.Sprintf("%s:%d", ip, f.port+1),
		Internal: fmt.Sprintf("%s:%d", ip, f.port+2), ControlPort: f.port, Seeds: f.seeds(), GraceMs: 3000,
	}
}

func (f *fleet) controlSettings(i int, mayFound bool) *fleetpb.DaemonSettings {
	ip := fmt.Sprintf("127.0.1.%d", i+1)
	return &fleetpb.DaemonSettings{
		Name: fmt.Sprintf("control-%d", i), FailureDomain: string(rune('a' + i%3)), Role: RoleControl,
		Operators: fmt.Sprintf("%s:%d", ip, f.port+1), Internal: fmt.Sprintf("%s:%d", ip, f.port),
		ControlPort: f.port, Seeds: f.seeds(), MayFound: mayFound, DataFolder: f.t.TempDir(),
		Promoter: f.promoterAddress, GraceMs: f.controlGraceMs, HeartbeatMs: uint32(heartbeat.Milliseconds()),
	}
}

// withoutPreparedStops leaves control daemons no time to prepare a stop, as if they were killed.
func withoutPreparedStops(f *fleet) { f.controlGraceMs = uint32(exitMargin.Milliseconds()) }

func (f *fleet) servePromotions() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.promoterAddress = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(f.promoteDelay.Load()))
		f.group.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
}

// start runs a daemon from a settings file, as the command does.
func (f *fleet) start(s *fleetpb.DaemonSettings) {
	data, err := protojson.Marshal(s)
	assert.NilError(f.t, err)
	path := filepath.Join(f.t.TempDir(), "settings.json")
	assert.NilError(f.t, os.WriteFile(path, data, 0o600))
	loaded, err := Load(path)
	assert.NilError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{settings: s, stop: cancel, done: make(chan struct{})}
	f.daemons[s.Name] = p
	go func() {
		defer close(p.done)
		if err := Run(ctx, path, loaded, f.log); err != nil {
			f.log.Error(err, "daemon failed", "daemon", s.Name)
		}
	}()
}

// stop stops a daemon, waits for its end and returns its settings.
func (f *fleet) stop(name string) *fleetpb.DaemonSettings {
	p := f.daemons[name]
	delete(f.daemons, name)
	p.stop()
	<-p.done
	return p.settings
}

func (f *fleet) stopAll() {
	for _, p := range f.daemons {
		p.stop()
	}
	for _, p := range f.daemons {
		<-p.done
	}
}

// announce sends each endpoint's heartbeats to the first control daemon that accepts them,
// until ctx ends.
func (f *fleet) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		for i, n := range f.group.Nodes() {
			f.mu.Lock()
			leaving := f.leaving[n.ID]
			f.mu.Unlock()
			if n.IsDown() {
				continue
			}
			body := n.Beat(string(rune('a'+i)), leaving, sequence, f.born)
			body = f.withRole(n.ID, body)
			for c := range 4 {
				url := fmt.Sprintf("http://127.0.1.%d:%d%s", c+1, f.port+1, standin.BeatPath(n.ID))
				response, err := client.Post(url, "application/json", strings.NewReader(body))
				if err == nil {
					_ = response.Body.Close()
					break
				}
			}
		}
		time.Sleep(heartbeat / 4)
	}
}

// withRole replaces the role in an endpoint's announcement as set by announcedPrimaries.
func (f *fleet) withRole(id, body string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.announcedPrimaries == nil:
		return body
	case f.announcedPrimaries[id]:
		return standin.SayPrimary(body)
	}
	return standin.SayReplica(body)
}

// operatorRequest sends a request to a control daemon's operator port and returns the
// status code, 0 if there was no answer, and the body.
func (f *fleet) operatorRequest(i int, method, path, body string) (int, string) {
	client := &http.Client{Timeout: 2 * time.Second}
	request, err := http.NewRequest(method, fmt.Sprintf("http://127.0.1.%d:%d%s", i+1, f.port+1, path), strings.NewReader(body))
	assert.NilError(f.t, err)
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer := new(strings.Builder)
	_, _ = bufio.NewReader(response.Body).WriteTo(answer)
	return response.StatusCode, answer.String()
}

// metrics returns the metrics that a daemon serves at its internal address.
func (f *fleet) metrics(address string) string {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + address + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text := new(strings.Builder)
	_, _ = bufio.NewReader(response.Body).WriteTo(text)
	return text.String()
}

// publish sends a configuration repeatedly until a control daemon acknowledges it.
func (f *fleet) publish(body string) {
	f.t.Helper()
	i := 0
	acknowledged := standin.WaitFor(10*time.Second, func() bool {
		i++
		status, _ := f.operatorRequest(i%4, "POST", standin.PublishPath, body)
		return status == http.StatusOK
	})
	assert.Assert(f.t, acknowledged)
}

// query runs one statement in a new session through an entry and returns the answer line.
func (f *fleet) query(entry int, text string) string {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("127.0.2.%d:%d", entry+1, f.port), time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	r := bufio.NewReader(conn)
	_, _ = fmt.Fprintf(conn, "CONNECT db me\r\n")
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return line
	}
	_, _ = fmt.Fprintf(conn, "QUERY q%d %s\r\n", time.Now().UnixNano(), text)
	line, _ := r.ReadString('\n')
	return line
}

// querySucceeds repeats a query until it succeeds.
func (f *fleet) querySucceeds(entry int, text string) {
	f.t.Helper()
	var last string
	ok := standin.WaitFor(8*time.Second, func() bool {
		last = f.query(entry, text)
		return strings.HasPrefix(last, "COMPLETE") || strings.HasPrefix(last, "ROW")
	})
	assert.Assert(f.t, ok, "%s: %s", text, last)
}

// story returns what the daemons' logs tell about the promotions; nil if nothing.
func (f *fleet) story() *explain.Story {
	f.mu.Lock()
	defer f.mu.Unlock()
	lines, err := explain.Read(strings.NewReader(strings.Join(f.logLines, "\n")))
	assert.NilError(f.t, err)
	stories, err := explain.Promotions(explain.Subject{Service: "svc"}, lines)
	if err != nil {
		return nil
	}
	return stories[0]
}
