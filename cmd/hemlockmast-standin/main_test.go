package main

import (
	"bufio"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// testTimeout bounds the whole test. No check depends on its value.
const testTimeout = 60 * time.Second

func startProcess(t *testing.T, ctx context.Context, binary string, args ...string) (*exec.Cmd, string) {
	t.Helper()
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	addr, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	return cmd, strings.TrimSpace(addr)
}

func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// TestProcess kills a process with its fault command, restarts it with the same
// data folder, checks that the row is still there and stops it with SIGTERM. It
// also checks the exit codes.
func TestProcess(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	binary := filepath.Join(t.TempDir(), "standin")
	assert.NilError(t, exec.CommandContext(ctx, "go", "build", "-o", binary, ".").Run())
	args := []string{"--group", "g", "--slot", "s1", "--primary", "--data", t.TempDir()}

	cmd, addr := startProcess(t, ctx, binary, args...)
	c, err := pgx.Connect(ctx, "postgres://app@"+addr+"/db?sslmode=disable")
	assert.NilError(t, err)
	for _, text := range []string{"CREATE TABLE t (k int PRIMARY KEY)", "INSERT INTO t VALUES (1)", "HEMLOCK FAULT KILL"} {
		_, err = c.Exec(ctx, text, pgx.QueryExecModeSimpleProtocol)
		assert.NilError(t, err)
	}
	assert.Equal(t, exitCode(cmd.Wait()), exitKilled)

	cmd, addr = startProcess(t, ctx, binary, args...)
	c, err = pgx.Connect(ctx, "postgres://app@"+addr+"/db?sslmode=disable")
	assert.NilError(t, err)
	var n int
	assert.NilError(t, c.QueryRow(ctx, "SELECT count(*) FROM t").Scan(&n))
	assert.Equal(t, n, 1)
	assert.NilError(t, c.Close(ctx))
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, cmd.Wait())
	assert.Equal(t, exitCode(exec.CommandContext(ctx, binary, "--group", "g").Run()), exitFailure)
}
