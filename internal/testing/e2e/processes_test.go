// Package e2e tests the whole path with separate processes.
package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/testing/ports"
)

// waitLimit bounds every wait of these tests.
const waitLimit = 30 * time.Second

// buildPrograms builds the daemon and the stand-in once for a test.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+"/", "../../../cmd/hemlockmastd", "../../../cmd/hemlockmast-standin")
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, string(out))
	return dir
}

// start runs a program until the end of the test.
func start(t *testing.T, path string, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(path, args...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	if strings.Contains(path, "standin") {
		line, err := bufio.NewReader(stdout).ReadString('\n')
		assert.NilError(t, err)
		cmd.Args = append(cmd.Args, strings.TrimSpace(line))
	}
	return cmd
}

// daemonSpec is one daemon of a test.
type daemonSpec struct {
	Name    string            `json:"name"`
	Domain  string            `json:"failure_domain"`
	Roles   []string          `json:"roles"`
	Listen  map[string]string `json:"listen"`
	Peers   []map[string]any  `json:"peers"`
	Folders []string          `json:"configuration_folders"`
}

func newSpec(t *testing.T, name, domain string, folder string, roles ...string) *daemonSpec {
	s := &daemonSpec{
		Name: name, Domain: domain, Roles: roles, Folders: []string{folder},
		Listen: map[string]string{"link": ports.Own(), "admin": ports.Own(), "heartbeat": ports.Own()},
	}
	if roles[0] == "entry" {
		s.Listen["callers"] = ports.Own()
	}
	return s
}

func (s *daemonSpec) knows(other *daemonSpec) {
	s.Peers = append(s.Peers, map[string]any{
		"name": other.Name, "failure_domain": other.Domain, "roles": other.Roles,
		"link": other.Listen["link"], "admin": other.Listen["admin"], "heartbeat": other.Listen["heartbeat"],
	})
}

func (s *daemonSpec) run(t *testing.T, bin string) *exec.Cmd {
	t.Helper()
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), s.Name+".json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return start(t, filepath.Join(bin, "hemlockmastd"), "run", "--settings", path)
}

const groupFile = `{"group": {"name": "g", "databases": ["db"], "slots": [
  {"name": "s1", "failure_domain": "a", "connection_limit": 20},
  {"name": "s2", "failure_domain": "b", "connection_limit": 20},
  {"name": "s3", "failure_domain": "c", "connection_limit": 20}]}}`

const readerFile = `{"service": {"name": "reader", "group": "g", "databases": ["db"], "users": ["reader"],
  "deadline": "5s", "concurrency": 100, "queue_length": 100, "repeatable": true, "default_access": "read_only",
  "connections": {"min": 1, "max": 10}}}`

const serviceFile = `{"service": {"name": "svc", "group": "g", "databases": ["db"], "users": ["app"],
  "deadline": "5s", "concurrency": 100, "queue_length": 100, "repeatable": false,
  "connections": {"min": 1, "max": 10}}}`

func writeFolder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "group.hemlock.json"), []byte(groupFile), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "service.hemlock.json"), []byte(serviceFile), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "reader.hemlock.json"), []byte(readerFile), 0o600))
	return dir
}

// waitReady waits until the daemon says that it is ready.
func waitReady(t *testing.T, s *daemonSpec) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + s.Listen["admin"] + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("daemon %s is not ready", s.Name)
}

// TestStatementThroughEntryAndHolderProcesses runs a caller with the default
// settings of pgx through an entry and a holder in another process to stand-in
// endpoints in processes of their own, then stops the entry gracefully.
func TestStatementThroughEntryAndHolderProcesses(t *testing.T) {
	bin := buildPrograms(t)
	folder := writeFolder(t)
	entry := newSpec(t, "e1", "a", folder, "entry")
	holder := newSpec(t, "h1", "b", folder, "holder")
	entry.knows(holder)
	holder.knows(entry)
	holder.run(t, bin)
	process := entry.run(t, bin)
	waitReady(t, holder)
	waitReady(t, entry)
	standin := filepath.Join(bin, "hemlockmast-standin")
	url := "http://" + entry.Listen["admin"]
	s1 := start(t, standin, "--group", "g", "--slot", "s1", "--database", "db", "--announce", url, "--primary")
	addr := s1.Args[len(s1.Args)-1]
	start(t, standin, "--group", "g", "--slot", "s2", "--database", "db", "--announce", url, "--follow", addr)
	start(t, standin, "--group", "g", "--slot", "s3", "--database", "db", "--announce", url, "--follow", addr)

	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://app@"+entry.Listen["callers"]+"/db")
	assert.NilError(t, err)
	_, err = conn.Exec(ctx, "CREATE TABLE reports (k text PRIMARY KEY, v text)")
	assert.NilError(t, err)
	_, err = conn.Exec(ctx, "INSERT INTO reports (k, v) VALUES ($1, $2)", "floe-1", "drifting")
	assert.NilError(t, err)
	var v string
	assert.NilError(t, conn.QueryRow(ctx, "SELECT v FROM reports WHERE k = $1", "floe-1").Scan(&v))
	assert.Equal(t, v, "drifting")

	assert.NilError(t, process.Process.Signal(syscall.SIGTERM))
	state, err := process.Process.Wait()
	assert.NilError(t, err)
	assert.Equal(t, state.ExitCode(), 0)
}
