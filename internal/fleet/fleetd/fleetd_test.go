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
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleetrpc"
	"hemlockmast/platform/standin"
)

const heartbeat = 200 * time.Millisecond

// fleet is control daemons and entries on loopback before one stand-in group.
type fleet struct {
	t        *testing.T
	group    *standin.Group
	port     uint32
	daemons  map[string]*process
	promotes string

	log logr.Logger

	mu      sync.Mutex
	lines   []string
	leaving map[string]bool
	born    int64
	// roles, if not nil, are what the endpoints announce of themselves whether true or not.
	roles map[string]bool
}

// process is a daemon that runs in this process.
type process struct {
	settings *fleetpb.DaemonSettings
	stop     context.CancelFunc
	done     chan struct{}
}

func freePort(t *testing.T) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func newFleet(t *testing.T, controls, entries int) *fleet {
	group, err := standin.Start("svc", 3)
	assert.NilError(t, err)
	t.Cleanup(group.Close)
	f := &fleet{
		t: t, group: group, port: uint32(freePort(t)), daemons: make(map[string]*process),
		leaving: make(map[string]bool), born: time.Now().UnixMilli(),
	}
	start := time.Now()
	f.log = funcr.New(func(_, args string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.lines = append(f.lines, fmt.Sprintf("%7.3f %s", time.Since(start).Seconds(), args))
	}, funcr.Options{})
	t.Cleanup(f.showLog)
	f.servePromotions()
	for i := range controls {
		f.start(f.controlSettings(i, i < 3 || controls < 3))
	}
	for i := range entries {
		ip := fmt.Sprintf("127.0.2.%d", i+1)
		f.start(&fleetpb.DaemonSettings{
			Name: fmt.Sprintf("entry-%d", i), FailureDomain: string(rune('a' + i%3)), Role: RoleEntry,
			Callers: fmt.Sprintf("%s:%d", ip, f.port), Ready: fmt.Sprintf("%s:%d", ip, f.port+1),
			Internal: fmt.Sprintf("%s:%d", ip, f.port+2), ControlPort: f.port, Seeds: f.seeds(), GraceMs: 3000,
		})
	}
	beats, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go f.announce(beats)
	t.Cleanup(f.stopAll)
	return f
}

// showLog prints what the daemons of a failed test wrote.
func (f *fleet) showLog() {
	if !f.t.Failed() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.t.Log("\n" + strings.Join(f.lines, "\n"))
}

func (f *fleet) seeds() []string {
	var list []string
	for i := range 3 {
		list = append(list, fmt.Sprintf("127.0.1.%d:%d", i+1, f.port+1))
	}
	return list
}

func (f *fleet) controlSettings(i int, mayFound bool) *fleetpb.DaemonSettings {
	ip := fmt.Sprintf("127.0.1.%d", i+1)
	return &fleetpb.DaemonSettings{
		Name: fmt.Sprintf("control-%d", i), FailureDomain: string(rune('a' + i%3)), Role: RoleControl,
		Operators: fmt.Sprintf("%s:%d", ip, f.port+1), Internal: fmt.Sprintf("%s:%d", ip, f.port),
		ControlPort: f.port, Seeds: f.seeds(), MayFound: mayFound, DataFolder: f.t.TempDir(),
		Promoter: f.promotes, GraceMs: 1000, HeartbeatMs: uint32(heartbeat.Milliseconds()),
	}
}

func (f *fleet) servePromotions() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.promotes = listener.Addr().String()
	server := &http.Server{Handler: f.group}
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

// announce sends each endpoint's heartbeats to any control daemon.
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

// withRole replaces what an announcement says of the endpoint's role.
func (f *fleet) withRole(id, body string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.roles == nil:
		return body
	case f.roles[id]:
		return standin.SayPrimary(body)
	}
	return standin.SayReplica(body)
}

// operate sends a request to one control daemon and returns the status and body.
func (f *fleet) operate(i int, method, path, body string) (int, string) {
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

// metrics returns what a daemon serves at its internal address.
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

// publish sends a configuration until a control daemon acknowledges it.
func (f *fleet) publish(body string) {
	f.t.Helper()
	i := 0
	acknowledged := standin.WaitFor(10*time.Second, func() bool {
		i++
		status, _ := f.operate(i%4, "POST", standin.PublishPath, body)
		return status == http.StatusOK
	})
	assert.Assert(f.t, acknowledged)
}

// query runs one statement in a session of its own through an entry.
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

func (f *fleet) eventually(entry int, text string) {
	f.t.Helper()
	var last string
	ok := standin.WaitFor(8*time.Second, func() bool {
		last = f.query(entry, text)
		return strings.HasPrefix(last, "COMPLETE") || strings.HasPrefix(last, "ROW")
	})
	assert.Assert(f.t, ok, "%s: %s", text, last)
}

func TestCalmPath(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Configuration(5, 800))
	for entry := range 2 {
		f.eventually(entry, "STORE item v")
		f.eventually(entry, "FETCH item")
	}
	const replace, get = standin.PublishPath, standin.ReadPath
	status, _ := f.operate(0, "POST", replace, standin.Configuration(6, 0))
	assert.Equal(t, status, http.StatusBadRequest)
	status, _ = f.operate(1, "POST", replace, standin.Configuration(4, 10))
	assert.Equal(t, status, http.StatusOK)
	// Other content under the version held is acknowledged and changes nothing.
	status, _ = f.operate(1, "POST", replace, standin.Configuration(5, 10))
	assert.Equal(t, status, http.StatusOK)
	for i := range 4 {
		// A daemon that has not joined yet may say that it is not sure, nothing else.
		answered := standin.WaitFor(5*time.Second, func() bool {
			status, body := f.operate(i, "GET", get, "")
			if status == http.StatusOK {
				assert.Equal(t, body, standin.Configuration(5, 800))
				return true
			}
			assert.Equal(t, status, http.StatusServiceUnavailable)
			return false
		})
		assert.Assert(t, answered, "control %d", i)
	}
}

func TestCrashedPrimaryIsReplaced(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Configuration(5, 800))
	f.eventually(0, "STORE item v0")
	f.group.Nodes()[0].Set(standin.Faults{Down: true})
	f.eventually(0, "STORE item v1")
	f.eventually(1, "STORE item v2")
	assert.Assert(t, f.group.Primary().ID != "svc-0")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// TestEndedReplicaMayHoldTheLastCommit is the finding of a hunt (day file
// primary-lost-while-control-moves, seed 139129557736): the only replica that
// received a commit ends, then the primary crashes. Nobody may be promoted before
// the primary is back.
func TestEndedReplicaMayHoldTheLastCommit(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.eventually(0, "STORE item v0")
	nodes := f.group.Nodes()
	nodes[1].Set(standin.Faults{Deaf: true})
	f.eventually(0, "STORE item v1")
	status, _ := f.operate(0, "POST", standin.LeavePath(nodes[2].ID), "")
	assert.Equal(t, status, http.StatusOK)
	nodes[2].Set(standin.Faults{Down: true})
	nodes[0].Set(standin.Faults{Down: true})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.query(0, "STORE item v2")
		assert.Equal(t, f.group.Primary().ID, "svc-0")
	}
	nodes[1].Set(standin.Faults{})
	nodes[0].Set(standin.Faults{})
	f.eventually(0, "STORE item v3")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// TestCoveredReplicaIsNotWaitedFor has a replica end while the primary and another
// one go on.
func TestCoveredReplicaIsNotWaitedFor(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.eventually(0, "STORE item v0")
	nodes := f.group.Nodes()
	nodes[2].Set(standin.Faults{Down: true})
	status, _ := f.operate(0, "POST", standin.LeavePath(nodes[2].ID), "")
	assert.Equal(t, status, http.StatusOK)
	time.Sleep(time.Second)
	nodes[0].Set(standin.Faults{Down: true})
	promoted := standin.WaitFor(5*time.Second, func() bool {
		f.query(0, "STORE item v1")
		return f.group.Primary().ID == "svc-1"
	})
	assert.Assert(t, promoted)
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// TestStalledPrimaryIsReplaced cuts a living primary off from its replicas, so that
// nothing is acknowledged.
func TestStalledPrimaryIsReplaced(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Configuration(5, 800))
	f.eventually(0, "STORE item v0")
	f.group.Nodes()[1].Set(standin.Faults{Deaf: true})
	f.group.Nodes()[2].Set(standin.Faults{Deaf: true})
	f.eventually(0, "STORE item v1")
	f.eventually(1, "STORE item v2")
	assert.Assert(t, f.group.Primary().ID != "svc-0")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// TestOverloadedPrimaryIsRelieved has replicas that receive everything and apply it
// far too late, so that the primary alone could answer reads, and it has no room.
func TestOverloadedPrimaryIsRelieved(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Configuration(5, 800))
	f.eventually(0, "STORE item v0")
	nodes := f.group.Nodes()
	nodes[1].Set(standin.Faults{Late: true, LagMs: 5000})
	nodes[2].Set(standin.Faults{Late: true, LagMs: 9000})
	f.eventually(0, "STORE item v1")
	// Reads may be older by as much as the route allows; afterwards they must see v1.
	time.Sleep(1600 * time.Millisecond)
	nodes[0].Set(standin.Faults{Busy: true})
	f.eventually(1, "FETCH item")
	assert.Equal(t, f.query(1, "FETCH item"), "ROW v1\r\n")
	assert.Equal(t, f.group.Primary().ID, "svc-2")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

// TestOldAnnouncementsAfterAPromotion is the finding of a day (grown sankofa,
// fresh-a94b): after a promotion the endpoints still announce their former roles. The
// record stays as it is, and nobody is promoted once more.
func TestOldAnnouncementsAfterAPromotion(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.publish(standin.Configuration(5, 800))
	f.eventually(0, "STORE item v0")
	f.mu.Lock()
	f.roles = map[string]bool{"svc-0": true}
	f.mu.Unlock()
	nodes := f.group.Nodes()
	nodes[2].Set(standin.Faults{Late: true, LagMs: 9000})
	nodes[1].Set(standin.Faults{Late: true, LagMs: 5000})
	f.eventually(0, "STORE item v1")
	time.Sleep(1600 * time.Millisecond)
	nodes[0].Set(standin.Faults{Busy: true})
	f.eventually(1, "FETCH item")
	assert.Equal(t, f.group.Primary().ID, "svc-2")
	nodes[0].Set(standin.Faults{})
	for i := range 20 {
		f.eventually(i%2, fmt.Sprintf("STORE item w%d", i))
		assert.Equal(t, f.group.Primary().ID, "svc-2")
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
	// The false claim does not keep a crashed primary from being replaced.
	nodes[1].Set(standin.Faults{})
	nodes[2].Set(standin.Faults{Down: true})
	f.eventually(0, "STORE item x")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
}

func TestLeavingPrimaryIsReplaced(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.eventually(0, "STORE item v0")
	f.mu.Lock()
	f.leaving["svc-0"] = true
	f.mu.Unlock()
	replaced := standin.WaitFor(5*time.Second, func() bool { return f.group.Primary().ID != "svc-0" })
	assert.Assert(t, replaced)
	f.eventually(0, "STORE item v1")
	assert.Equal(t, len(f.group.Primary().Lost()), 0)
	// The daemon that did it counts it.
	counted := standin.WaitFor(3*time.Second, func() bool {
		for i := range 4 {
			if strings.Contains(f.metrics(fmt.Sprintf("127.0.1.%d:%d", i+1, f.port)),
				`hemlockmast_promotions_total{outcome="done",reason="leaving"} 1`) {
				return true
			}
		}
		return false
	})
	assert.Assert(t, counted)
}

// TestControlSurvives stops all control daemons at once and starts them again,
// then replaces the disk of one and loses another right after.
func TestControlSurvives(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.publish(standin.Configuration(6, 800))
	var all []*fleetpb.DaemonSettings
	for i := range 4 {
		all = append(all, f.stop(fmt.Sprintf("control-%d", i)))
	}
	for _, s := range all {
		s.MayFound = false
		f.start(s)
	}
	holds := func(i int, version int) bool {
		status, body := f.operate(i, "GET", standin.ReadPath, "")
		return status == http.StatusOK && body == standin.Configuration(version, 800)
	}
	for i := range 4 {
		assert.Assert(t, standin.WaitFor(8*time.Second, func() bool { return holds(i, 6) }), "control %d", i)
	}
	wiped := f.stop("control-1")
	wiped.DataFolder = t.TempDir()
	f.start(wiped)
	assert.Assert(t, standin.WaitFor(8*time.Second, func() bool { return holds(1, 6) }))
	// Until it has a vote again it counts as lost, and the loss of another one would
	// leave two of four.
	assert.Assert(t, standin.WaitFor(8*time.Second, func() bool { return f.isCurrent(1) }))
	f.stop("control-2")
	f.publish(standin.Configuration(7, 800))
	for _, i := range []int{0, 1, 3} {
		assert.Assert(t, standin.WaitFor(8*time.Second, func() bool { return holds(i, 7) }), "control %d", i)
	}
}

// isCurrent reports whether a control daemon has a vote and hears a leader.
func (f *fleet) isCurrent(i int) bool {
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	address := fmt.Sprintf("127.0.1.%d:%d", i+1, f.port)
	answer, err := fleetrpc.Client(http.DefaultClient, address).Follow(ctx, &fleetpb.FollowRequest{Daemon: "test"})
	return err == nil && answer.Current
}

// TestAcknowledgedNeedsCopies has a single control daemon, whose disk may be lost.
func TestAcknowledgedNeedsCopies(t *testing.T) {
	f := newFleet(t, 1, 0)
	time.Sleep(500 * time.Millisecond)
	status, _ := f.operate(0, "POST", standin.PublishPath, standin.Configuration(5, 800))
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// TestRestartedEntryWaitsForAConfiguration has control lose its majority: a
// daemon that starts then serves nobody, until control says what is in force.
func TestRestartedEntryWaitsForAConfiguration(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.publish(standin.Configuration(5, 800))
	f.eventually(0, "STORE item v")
	var stopped []*fleetpb.DaemonSettings
	for i := range 2 {
		stopped = append(stopped, f.stop(fmt.Sprintf("control-%d", i)))
	}
	time.Sleep(time.Second)
	f.start(f.stop("entry-0"))
	answer := f.query(0, "FETCH item")
	assert.Assert(t, strings.HasPrefix(answer, "ERROR BUSY") || strings.Contains(answer, "refused"), answer)
	for _, s := range stopped {
		s.MayFound = false
		f.start(s)
	}
	f.eventually(0, "FETCH item")
}

func TestParseRefusesMistakes(t *testing.T) {
	for _, role := range []string{RoleEntry, RoleControl, "other", ""} {
		_, err := Parse("f", []byte(fmt.Sprintf(`{"role":%q,"seeds":["x"]}`, role)))
		for _, field := range []string{"name", "failure_domain", "internal", "control_port", "seeds[0]", "grace_ms"} {
			assert.ErrorContains(t, err, "f: "+field+": ")
		}
	}
	_, err := Parse("f", []byte(`{"nam`))
	assert.ErrorContains(t, err, "docs/platform.md")
}
