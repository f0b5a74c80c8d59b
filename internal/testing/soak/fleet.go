package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleetd"
	"hemlockmast/internal/testing/ports"
	"hemlockmast/platform/standin"
)

const (
	// endpointCount is the number of endpoints of each service.
	endpointCount     = 3
	heartbeatInterval = 200 * time.Millisecond
	graceMs           = 3000
	// stopTimeout is the time from SIGTERM after which a process is killed.
	stopTimeout = (graceMs + 1000) * time.Millisecond
	// readyTimeout bounds the wait until the first configuration is acknowledged.
	readyTimeout = 20 * time.Second
	// directConnectionLimit is enough for each entry to open connections of its own.
	// With carriedConnectionLimit and all entries in one failure domain, carriers open
	// the connections for the other entries.
	directConnectionLimit  = 40
	carriedConnectionLimit = 19
	// promoteCallsPerSecond limits the calls to the platform in runs with promotions.
	promoteCallsPerSecond = 6
)

// size is the number of daemons, services and callers of a run.
type size struct{ controls, entries, services, callers int }

func (c Config) size() size {
	switch {
	case c.Large:
		return size{controls: 5, entries: 49, services: 6, callers: 24}
	case c.Promotions:
		return size{controls: 4, entries: 9, services: 3, callers: 12}
	}
	return size{controls: 4, entries: 9, services: 1, callers: 12}
}

// connectionLimit returns the connection limit of each endpoint. Runs with an odd seed
// have carriers.
func (c Config) connectionLimit() int {
	if c.Seed%2 == 1 {
		return carriedConnectionLimit
	}
	return directConnectionLimit
}

// process is a daemon that the run has started.
type process struct {
	settings     *fleetpb.DaemonSettings
	settingsPath string
	cmd          *exec.Cmd
	exited       chan struct{}
	// generation is 1 for the first process of a daemon and grows with each restart.
	generation int
}

// fleet holds the daemons, and the endpoints behind their links.
type fleet struct {
	size
	binary, folder string
	port           int
	groups         []*standin.Group
	// nodes holds the endpoints of all services and links their links.
	nodes           []*standin.Node
	links           []*link
	platform        *standin.Platform
	promoter        *http.Server
	promoterAddress string
	startMillis     int64
	// connectionLimit is the connection limit of each endpoint.
	connectionLimit int
	// onlyStops means that nothing happens to daemons and endpoints but planned stops.
	onlyStops bool
	events    *os.File

	// mu guards the fields below; processes are started and ended under it.
	mu      sync.Mutex
	daemons map[string]*process
	// controlVMs holds the number of the VM of each control daemon. A replacement has a new
	// one.
	controlVMs []int
	// leaving holds the endpoints that announce that they leave. claimed holds those whose
	// process a fault ends, so that no second one starts it too early.
	leaving, claimed map[*standin.Node]bool
	// background waits for slow stops and planned replacements under way.
	background sync.WaitGroup
	// calls draws what happens to calls to the platform.
	calls *promotionDraw
	// disturbances is the number of faults under way of the calls to the platform.
	disturbances atomic.Int32
}

// hosts returns the IP addresses of all daemons, also of replacements.
func (s size) hosts() []string {
	var list []string
	for i := range s.controls + 1 {
		list = append(list, host(controlNetwork, i))
	}
	for i := range s.entries {
		list = append(list, host(entryNetwork, i))
	}
	return list
}

// startFleet starts the endpoints and all daemons.
func startFleet(cfg Config) (*fleet, error) {
	port, err := ports.Free(4, cfg.size().hosts()...)
	if err != nil {
		return nil, err
	}
	events, err := os.Create(filepath.Join(cfg.Folder, "events.log"))
	if err != nil {
		return nil, err
	}
	f := &fleet{
		size: cfg.size(), binary: cfg.Binary, folder: cfg.Folder, port: port, connectionLimit: cfg.connectionLimit(), onlyStops: cfg.Stops,
		platform: &standin.Platform{}, calls: newPromotionDraw(cfg, 4), startMillis: time.Now().UnixMilli(), events: events,
		daemons: make(map[string]*process), leaving: make(map[*standin.Node]bool), claimed: make(map[*standin.Node]bool),
	}
	for i := range f.controls {
		f.controlVMs = append(f.controlVMs, i)
	}
	if err := f.startAll(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// noteEvent appends a line to the run's events, which can be read beside the daemons' logs.
func (f *fleet) noteEvent(text string) {
	fmt.Fprintf(f.events, "%.3f %s\n", float64(time.Now().UnixMicro())/1e6, text)
}

func serviceName(i int) string {
	if i == 0 {
		return "svc"
	}
	return fmt.Sprintf("svc%d", i)
}

func (f *fleet) serviceNames() []string {
	var names []string
	for _, g := range f.groups {
		names = append(names, g.Service)
	}
	return names
}

func (f *fleet) startAll() error {
	for i := range f.services {
		group, err := standin.Start(serviceName(i), endpointCount)
		if err != nil {
			return err
		}
		group.OnEvent(f.noteEvent)
		f.groups = append(f.groups, group)
		f.nodes = append(f.nodes, group.Nodes()...)
	}
	for _, n := range f.nodes {
		l, err := newLink(n.Address)
		if err != nil {
			return err
		}
		f.links = append(f.links, l)
		n.Address = l.address()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.promoterAddress = listener.Addr().String()
	f.platform.Groups = f.groups
	if f.services > 1 {
		f.platform.Draw, f.platform.PerSecond = f.drawCall, promoteCallsPerSecond
	}
	f.promoter = &http.Server{Handler: f.platform}
	go func() { _ = f.promoter.Serve(listener) }()
	for i := range f.controls {
		if err := f.start(f.controlSettings(i, true)); err != nil {
			return err
		}
	}
	for i := range f.entries {
		if err := f.start(f.entrySettings(i)); err != nil {
			return err
		}
	}
	return nil
}

// vm returns the number of the VM on which control daemon i runs now.
func (f *fleet) vm(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controlVMs[i]
}

// control returns the name of control daemon i.
func (f *fleet) control(i int) string { return controlName(f.vm(i)) }
func (f *fleet) entry(i int) string   { return entryName(i) }

func controlName(i int) string { return fmt.Sprintf("control-%d", i) }
func entryName(i int) string   { return fmt.Sprintf("entry-%d", i) }
func domain(i int) string      { return string(rune('a' + i%endpointCount)) }

// host returns the loopback IP address of a daemon.
func host(network, i int) string { return fmt.Sprintf("127.0.%d.%d", network, i+1) }

// address returns a daemon's address with the port at offset from the first port.
func (f *fleet) address(network, i, offset int) string {
	return fmt.Sprintf("%s:%d", host(network, i), f.port+offset)
}

const controlNetwork, entryNetwork = 11, 12

func (f *fleet) seedAddresses() []string {
	var list []string
	for i := range 3 {
		list = append(list, f.address(controlNetwork, f.vm(i), 1))
	}
	return list
}

func (f *fleet) controlSettings(i int, mayFound bool) *fleetpb.DaemonSettings {
	return &fleetpb.DaemonSettings{
		Name: controlName(i), FailureDomain: domain(i), Role: fleetd.RoleControl,
		Operators: f.address(controlNetwork, i, 1), Internal: f.address(controlNetwork, i, 0),
		ControlPort: uint32(f.port), Seeds: f.seedAddresses(), MayFound: mayFound && i < 3,
		DataFolder: filepath.Join(f.folder, controlName(i)), Promoter: f.promoterAddress,
		GraceMs: graceMs, HeartbeatMs: uint32(heartbeatInterval.Milliseconds()),
	}
}

func (f *fleet) entrySettings(i int) *fleetpb.DaemonSettings {
	failureDomain := domain(i)
	if f.connectionLimit == carriedConnectionLimit {
		failureDomain = domain(0)
	}
	return &fleetpb.DaemonSettings{
		Name: entryName(i), FailureDomain: failureDomain, Role: fleetd.RoleEntry,
		Callers: f.address(entryNetwork, i, 0), Ready: f.address(entryNetwork, i, 1), Internal: f.address(entryNetwork, i, 2),
		Carrier:     f.address(entryNetwork, i, 3),
		ControlPort: uint32(f.port), Seeds: f.seedAddresses(), GraceMs: graceMs,
	}
}

// isRunning reports whether a process has not ended yet.
func (p *process) isRunning() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// start starts a daemon as a separate process with its output in a file. It does nothing
// if the daemon runs already, because overlapping faults may both restart it.
func (f *fleet) start(s *fleetpb.DaemonSettings) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.daemons[s.Name].isRunning() {
		return nil
	}
	data, err := protojson.Marshal(s)
	if err != nil {
		return err
	}
	settingsPath := filepath.Join(f.folder, s.Name+".json")
	if err := os.WriteFile(settingsPath, data, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(f.folder, s.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(f.binary, "serve", "--settings", settingsPath)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{settings: s, settingsPath: settingsPath, cmd: cmd, exited: make(chan struct{}), generation: 1}
	if old := f.daemons[s.Name]; old != nil {
		p.generation = old.generation + 1
	}
	f.daemons[s.Name] = p
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	return nil
}

func (f *fleet) process(name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[name]
}

// signal sends a signal to the newest process of the daemon, unless it has ended.
func (f *fleet) signal(name string, s syscall.Signal) {
	f.signalProcess(f.process(name), s)
}

func (f *fleet) signalProcess(p *process, s syscall.Signal) {
	select {
	case <-p.exited:
		return
	default:
	}
	_ = p.cmd.Process.Signal(s)
}

// stop ends a process with a signal and waits for its exit. It kills a process that is
// still running one second after the grace period.
func (f *fleet) stop(name string, s syscall.Signal) {
	p := f.process(name)
	f.signal(name, syscall.SIGCONT)
	f.signal(name, s)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		f.signal(name, syscall.SIGKILL)
		<-p.exited
	}
}

// restart starts a daemon again without the permission to found a control group and with
// the seeds of now.
func (f *fleet) restart(name string) error {
	s := f.process(name).settings
	s.MayFound, s.Seeds = false, f.seedAddresses()
	return f.start(s)
}

func (f *fleet) close() {
	var names []string
	f.mu.Lock()
	for name := range f.daemons {
		names = append(names, name)
	}
	f.mu.Unlock()
	for _, name := range names {
		f.signal(name, syscall.SIGCONT)
		f.signal(name, syscall.SIGKILL)
	}
	for _, name := range names {
		<-f.process(name).exited
	}
	if f.promoter != nil {
		_ = f.promoter.Close()
	}
	for _, l := range f.links {
		l.close()
	}
	for _, g := range f.groups {
		g.Close()
	}
	_ = f.events.Close()
}

// announce sends the heartbeats of the endpoints until ctx ends.
func (f *fleet) announce(ctx context.Context) {
	var wait sync.WaitGroup
	for i, n := range f.nodes {
		wait.Go(func() { f.announceNode(ctx, n, domain(i)) })
	}
	wait.Wait()
}

// announceNode sends the heartbeats of one endpoint while it runs, each to a random control
// daemon or, if that does not answer, to the next ones.
func (f *fleet) announceNode(ctx context.Context, n *standin.Node, failureDomain string) {
	client := &http.Client{Timeout: time.Second}
	sequence, lastStarts, born := 0, 0, f.startMillis
	for ; ctx.Err() == nil; time.Sleep(heartbeatInterval / 2) {
		if n.IsDown() {
			continue
		}
		id, starts := n.Identity()
		if starts != lastStarts {
			sequence, lastStarts, born = 0, starts, time.Now().UnixMilli()
		}
		sequence++
		body := n.Beat(failureDomain, f.isLeaving(n), sequence, born)
		for _, i := range rand.Perm(f.controls) {
			if f.callFrom(n, client, i, standin.BeatPath(id), body) == http.StatusOK {
				break
			}
		}
	}
}

func (f *fleet) isLeaving(n *standin.Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving[n]
}

func (f *fleet) setLeaving(n *standin.Node, isLeaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[n] = isLeaving
}

// callFrom sends an endpoint's request to control daemon i unless that link is cut. It
// returns 0 without an answer.
func (f *fleet) callFrom(n *standin.Node, client *http.Client, i int, path, body string) (status int) {
	if n.IsSilentTo(f.control(i)) {
		return 0
	}
	status, _ = f.call(client, i, http.MethodPost, path, body)
	return status
}

// call sends a request to a control daemon. Status 0 means that no answer arrived; answer
// is then the error.
func (f *fleet) call(client *http.Client, i int, method, path, body string) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+f.address(controlNetwork, f.vm(i), 1)+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}
