//go:build review

// Command review-3 plays the scripts of the third review: it starts hemlockmastd as separate
// processes with the commands of the deploy file, plays databases, the platform, the operator
// and clients on loopback, and checks what these see.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hemlockmast/internal/testing/ports"
)

// Values of the small deployment eisgrund-ops.
const (
	heartbeatMs   = 1200
	graceMs       = 6000
	drainMs       = 7000
	configApply   = 3 * time.Second
	promoteTime   = time.Second
	maxConns      = 21
	txIdleMs      = 3000
	controlNet    = 61
	entryNet      = 62
	controlCount  = 4
	entryCount    = 8
	portsOfDaemon = 16
)

var zones = []string{"wien-a", "wien-b", "linz", "graz"}

// edgeZones are the zones of the edge machines.
var edgeZones = []int{0, 0, 0, 1, 1, 2, 3, 3}

// daemon is a process of the system.
type daemon struct {
	name, settings string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// fleet is the system with its record.
type fleet struct {
	root, folder string
	port         int
	start        time.Time
	promoter     string
	record       *os.File
	recordMu     sync.Mutex
	daemons      map[string]*daemon
}

func controlHost(i int) string { return fmt.Sprintf("127.0.%d.%d", controlNet, i+1) }
func entryHost(i int) string   { return fmt.Sprintf("127.0.%d.%d", entryNet, i+1) }
func controlName(i int) string { return fmt.Sprintf("core-%s-1", zones[i]) }
func entryName(i int) string   { return fmt.Sprintf("edge-%s-%d", zones[edgeZones[i]], i+1) }

// newFleet returns a fleet without processes. root is the folder of the repository.
func newFleet(root, recordPath string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	var hosts []string
	for i := range controlCount + 1 {
		hosts = append(hosts, controlHost(i))
	}
	for i := range entryCount {
		hosts = append(hosts, entryHost(i))
	}
	port, err := ports.Free(portsOfDaemon+3, hosts...)
	if err != nil {
		return nil, err
	}
	return &fleet{root: root, folder: folder, port: port, start: time.Now(), record: record, daemons: make(map[string]*daemon)}, nil
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// Ports of a daemon: the first portsOfDaemon are those of InternalPorts.
func (f *fleet) internal(host string) string { return fmt.Sprintf("%s:%d", host, f.port) }
func (f *fleet) operators(host string) string {
	return fmt.Sprintf("%s:%d", host, f.port+portsOfDaemon)
}
func (f *fleet) callers(host string) string {
	return fmt.Sprintf("%s:%d", host, f.port+portsOfDaemon+1)
}
func (f *fleet) ready(host string) string { return fmt.Sprintf("%s:%d", host, f.port+portsOfDaemon+2) }

func (f *fleet) seeds() []string {
	var list []string
	for i := range 3 {
		list = append(list, f.operators(controlHost(i)))
	}
	return list
}

// controlSettings returns what deploy/control.json makes of the platform's settings.
func (f *fleet) controlSettings(i int, bootstrap bool) map[string]any {
	return map[string]any{
		"name": controlName(i), "failure_domain": zones[i], "role": "control",
		"operators": f.operators(controlHost(i)), "internal": f.internal(controlHost(i)), "control_port": f.port,
		"seeds": f.seeds(), "data_folder": filepath.Join(f.folder, "data-"+controlName(i)), "may_found": bootstrap,
		"promoter": f.promoter, "grace_ms": graceMs, "heartbeat_ms": heartbeatMs,
	}
}

// entrySettings returns what deploy/entry.json makes of the platform's settings.
func (f *fleet) entrySettings(i int) map[string]any {
	host := entryHost(i)
	return map[string]any{
		"name": entryName(i), "failure_domain": zones[edgeZones[i]], "role": "entry",
		"callers": f.callers(host), "ready": f.ready(host), "internal": fmt.Sprintf("%s:%d", host, f.port+portsOfDaemon-1),
		"carrier": f.internal(host), "control_port": f.port, "drain_ms": drainMs, "cross_domain_cost_ms": 10,
		"seeds": f.seeds(), "grace_ms": graceMs, "heartbeat_ms": heartbeatMs,
	}
}

// startDaemon starts a process as the deploy file does. A data folder is made as the platform makes
// the one of a disk.
func (f *fleet) startDaemon(settings map[string]any) error {
	name := settings["name"].(string)
	path := filepath.Join(f.folder, name+".conf")
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	if folder, ok := settings["data_folder"].(string); ok {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/hemlockmastd", "serve", "--settings", path)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, log, log
	// The process ends with this one, however this one ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d := &daemon{name: name, settings: path, cmd: cmd, exited: make(chan struct{})}
	f.daemons[name] = d
	go func() {
		_ = cmd.Wait()
		close(d.exited)
	}()
	f.note("start    %s, bootstrap %v", name, settings["may_found"])
	return nil
}

// signal sends a signal to a process that was started.
func (f *fleet) signal(name string, s syscall.Signal) {
	f.note("signal   %s to %s", s, name)
	_ = f.daemons[name].cmd.Process.Signal(s)
}

// kill ends a process with SIGKILL and waits for its end.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	<-f.daemons[name].exited
}

// close ends all processes and removes the folder unless keep is set.
func (f *fleet) close(keep bool) {
	for _, d := range f.daemons {
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
	_ = f.record.Close()
	if !keep {
		_ = os.RemoveAll(f.folder)
	}
}

var httpClient = &http.Client{Timeout: time.Second}

// call sends a request to a control daemon. Status 0 means no answer.
func (f *fleet) call(i int, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+f.operators(controlHost(i))+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(bytes.TrimSpace(data))
}

// publish sends a configuration as the operator does, to one daemon after the other, until it is
// acknowledged or until patience is over. It returns the last status.
func (f *fleet) publish(body string, patience time.Duration) int {
	status, text := 0, ""
	pause := 50 * time.Millisecond
	for n := 0; ; n++ {
		i := n % controlCount
		status, text = f.call(i, http.MethodPost, "/hemlockmast/config/replace", body)
		f.note("operator replace at %s: %d %s", controlName(i), status, text)
		if status == http.StatusOK || time.Since(f.start) > patience {
			return status
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
}

// configuration returns a configuration like those of the deployment, with one service.
func configuration(version int, service string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[`+
		`{"Name":"r-1","Database":"filing","PathPrefix":"/","Type":"primary","TimeoutMs":1000,"TargetLatencyMs":200,"Priority":1,"Backend":%[2]q,"MaxAttempts":2},`+
		`{"Name":"r-2","Database":"advisory","PathPrefix":"/","Type":"read_your_writes","TimeoutMs":1000,"TargetLatencyMs":400,"Priority":2,"Backend":%[2]q,"MaxAttempts":2,"MaxStalenessMs":2500},`+
		`{"Name":"r-3","Database":"bulletin","PathPrefix":"/","Type":"bounded_staleness","TimeoutMs":2000,"TargetLatencyMs":600,"Priority":2,"Backend":%[2]q,"MaxAttempts":2,"MaxStalenessMs":1500}],`+
		`"Services":[{"Name":%[2]q,"HealthCheckPath":"/health","MaxConnections":%[3]d,"Protocol":"h1","Tls":false,"SyncReplicas":1}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000,"TxIdleMs":%[4]d}}`,
		version, service, maxConns, txIdleMs)
}

// startAll starts all daemons as at the first start of the whole system.
func (f *fleet) startAll() bool {
	for i := range controlCount {
		if err := f.startDaemon(f.controlSettings(i, true)); err != nil {
			f.note("not started: %v", err)
			return false
		}
	}
	for i := range entryCount {
		if err := f.startDaemon(f.entrySettings(i)); err != nil {
			f.note("not started: %v", err)
			return false
		}
	}
	return true
}
