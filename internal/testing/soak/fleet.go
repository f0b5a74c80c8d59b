package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleetd"
	"hemlockmast/internal/testing/ports"
	"hemlockmast/platform/standin"
)

const (
	controlCount      = 4
	entryCount        = 9
	endpointCount     = 3
	heartbeatInterval = 200 * time.Millisecond
	graceMs           = 3000
	// readyTimeout bounds the wait until the first configuration is acknowledged.
	readyTimeout = 20 * time.Second
	// directConnectionLimit is enough for each entry to open connections of its own.
	// With carriedConnectionLimit and all entries in one failure domain, carriers open
	// the connections for the other entries.
	directConnectionLimit  = 40
	carriedConnectionLimit = 19
)

// connectionLimit returns the connection limit of each endpoint. Runs with an odd seed
// have carriers.
func connectionLimit(seed uint64) int {
	if seed%2 == 1 {
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
	binary, folder  string
	port            int
	group           *standin.Group
	links           []*link
	promoter        *http.Server
	promoterAddress string
	startMillis     int64
	// connectionLimit is the connection limit of each endpoint.
	connectionLimit int

	// mu guards daemons; processes are started and ended under it.
	mu      sync.Mutex
	daemons map[string]*process
}

// hosts returns the IP addresses of all daemons.
func hosts() []string {
	var list []string
	for i := range max(controlCount, entryCount) {
		list = append(list, host(controlNetwork, i), host(entryNetwork, i))
	}
	return list
}

// startFleet starts the endpoints and all daemons.
func startFleet(binary, folder string, connectionLimit int) (*fleet, error) {
	port, err := ports.Free(4, hosts()...)
	if err != nil {
		return nil, err
	}
	group, err := standin.Start("svc", endpointCount)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		binary: binary, folder: folder, port: port, group: group, connectionLimit: connectionLimit,
		startMillis: time.Now().UnixMilli(), daemons: make(map[string]*process),
	}
	if err := f.startAll(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) startAll() error {
	for _, n := range f.group.Nodes() {
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
	f.promoter = &http.Server{Handler: f.group}
	go func() { _ = f.promoter.Serve(listener) }()
	for i := range controlCount {
		if err := f.start(f.controlSettings(i, true)); err != nil {
			return err
		}
	}
	for i := range entryCount {
		if err := f.start(f.entrySettings(i)); err != nil {
			return err
		}
	}
	return nil
}

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
		list = append(list, f.address(controlNetwork, i, 1))
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
	p := f.process(name)
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
	case <-time.After(graceMs*time.Millisecond + time.Second):
		f.signal(name, syscall.SIGKILL)
		<-p.exited
	}
}

// restart starts a daemon again without the permission to found a control group.
func (f *fleet) restart(name string) error {
	s := f.process(name).settings
	s.MayFound = false
	return f.start(s)
}

func (f *fleet) close() {
	for name := range f.daemons {
		f.signal(name, syscall.SIGCONT)
		f.signal(name, syscall.SIGKILL)
	}
	for _, p := range f.daemons {
		<-p.exited
	}
	if f.promoter != nil {
		_ = f.promoter.Close()
	}
	for _, l := range f.links {
		l.close()
	}
	f.group.Close()
}

// announce sends the heartbeats of the running endpoints until ctx ends.
func (f *fleet) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		for i, n := range f.group.Nodes() {
			if n.IsDown() {
				continue
			}
			body := n.Beat(domain(i), false, sequence, f.startMillis)
			for c := range controlCount {
				if status, _ := f.call(client, c, http.MethodPost, standin.BeatPath(n.ID), body); status == http.StatusOK {
					break
				}
			}
		}
		time.Sleep(heartbeatInterval / 2)
	}
}

// call sends a request to a control daemon. Status 0 means that no answer arrived; answer
// is then the error.
func (f *fleet) call(client *http.Client, i int, method, path, body string) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+f.address(controlNetwork, i, 1)+path, strings.NewReader(body))
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
