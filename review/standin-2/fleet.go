//go:build review2

// Command standin-2 plays one case of the review: it starts the project's daemons as processes
// with the command of the deploy file, and plays the endpoints, the platform, the operator and
// the clients beside them. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"encoding/json"
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
)

// Settings of a small deployment, as the pages name them.
const (
	heartbeat = 1200 * time.Millisecond
	graceMs   = 6000
	drainMs   = 7000
	contactMs = 4000
)

// fleet holds the daemons of a case.
type fleet struct {
	folder string
	ports  []int
	seeds  []string
	// promoter is the address of the platform.
	promoter string

	mu      sync.Mutex
	record  *os.File
	started time.Time
	running []*daemon
}

// daemon is a process of the project.
type daemon struct {
	name, host, role, domain string
	settings                 map[string]any
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

// impossible reports that the case could not run.
type impossible struct{ cause string }

func (e *impossible) Error() string { return e.cause }

// newFleet returns a fleet without daemons that writes to the file record.
func newFleet(record string) (*fleet, error) {
	f := &fleet{started: time.Now()}
	var err error
	if f.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if f.record, err = os.Create(record); err != nil {
		return nil, err
	}
	for range 5 {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		f.ports = append(f.ports, port)
	}
	for i := range 3 {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", controlHost(i), f.ports[1]))
	}
	return f, nil
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func controlHost(i int) string { return fmt.Sprintf("127.0.41.%d", i+1) }
func entryHost(i int) string   { return fmt.Sprintf("127.0.42.%d", i+1) }

// note writes a line to the record, with the time since the start of the case.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(f.started).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(f.record, line)
	fmt.Println(line)
}

// control returns control daemon i with the settings that deploy/control.json gives it.
func (f *fleet) control(i int, mayFound bool) *daemon {
	host, name := controlHost(i), fmt.Sprintf("core-%d", i+1)
	return &daemon{name: name, host: host, role: "control", settings: map[string]any{
		"name": name, "failure_domain": domainOf(i), "role": "control",
		"operators": fmt.Sprintf("%s:%d", host, f.ports[1]), "internal": fmt.Sprintf("%s:%d", host, f.ports[0]),
		"control_port": f.ports[0], "seeds": f.seeds, "data_folder": filepath.Join(f.folder, name), "may_found": mayFound,
		"promoter": f.promoter, "grace_ms": graceMs, "heartbeat_ms": heartbeat.Milliseconds(),
	}}
}

// entry returns entry i with the settings that deploy/entry.json gives it.
func (f *fleet) entry(i int) *daemon {
	host, name := entryHost(i), fmt.Sprintf("edge-%d", i+1)
	return &daemon{name: name, host: host, role: "entry", settings: map[string]any{
		"name": name, "failure_domain": domainOf(i), "role": "entry",
		"callers": f.callers(i), "ready": fmt.Sprintf("%s:%d", host, f.ports[3]),
		"internal": fmt.Sprintf("%s:%d", host, f.ports[4]), "carrier": fmt.Sprintf("%s:%d", host, f.ports[0]),
		"control_port": f.ports[0], "drain_ms": drainMs, "cross_domain_cost_ms": 10,
		"seeds": f.seeds, "grace_ms": graceMs, "heartbeat_ms": heartbeat.Milliseconds(),
	}}
}

func domainOf(i int) string { return "zone-" + string(rune('a'+i%3)) }

// callers returns the address where entry i accepts clients.
func (f *fleet) callers(i int) string { return fmt.Sprintf("%s:%d", entryHost(i), f.ports[2]) }

// start starts the daemon's process.
func (f *fleet) start(d *daemon) error {
	data, err := json.Marshal(d.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, d.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/hemlockmastd", "serve", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return &impossible{cause: err.Error()}
	}
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.mu.Lock()
	f.running = append(f.running, &daemon{name: d.name, cmd: cmd, exited: exited})
	f.mu.Unlock()
	f.note("%s starts as process", d.name)
	return nil
}

// signal sends a signal to the daemon's process and, if it ends that, waits for the end.
func (f *fleet) signal(d *daemon, s syscall.Signal) {
	f.note("%s gets %s", d.name, s)
	_ = d.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-d.exited
	}
}

// close ends all processes and removes the folder. The ends of the daemons' logs go to the record.
func (f *fleet) close(logLines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.running {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
	seen := make(map[string]bool)
	for _, d := range f.running {
		if logLines == 0 || seen[d.name] {
			continue
		}
		seen[d.name] = true
		data, _ := os.ReadFile(filepath.Join(f.folder, d.name+".log"))
		lines := strings.Split(strings.TrimSpace(strings.ReplaceAll(string(data), f.folder, "FOLDER")), "\n")
		_, _ = fmt.Fprintf(f.record, "\nlog of %s, last lines:\n", d.name)
		for _, line := range lines[max(0, len(lines)-logLines):] {
			_, _ = fmt.Fprintln(f.record, "  "+line)
		}
	}
	_ = f.record.Close()
	_ = os.RemoveAll(f.folder)
}

// operatorClient is the operator's, and that of the endpoints: a second without an answer ends a
// call.
var operatorClient = &http.Client{Timeout: time.Second}

// call sends a request to a control daemon and returns the status, 0 without an answer.
func (f *fleet) call(method string, i int, path, body string) (status int, answer string) {
	r, err := http.NewRequest(method, "http://"+f.seeds[i]+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := operatorClient.Do(r)
	if err != nil {
		return 0, "no answer"
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(data))
}

// publish sends a configuration to one control daemon after the other until it is acknowledged
// or the time is over. It reports whether it was.
func (f *fleet) publish(body string, until time.Time) bool {
	last := ""
	for i := 0; time.Now().Before(until); i++ {
		status, answer := f.call(http.MethodPost, i%3, "/hemlockmast/config/replace", body)
		if said := fmt.Sprintf("%d %s", status, answer); said != last {
			f.note("the operator's configuration is answered by core-%d: %s", i%3+1, said)
			last = said
		}
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
