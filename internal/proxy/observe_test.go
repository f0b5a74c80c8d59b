package proxy_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/platform/standin"
)

// logLine returns the log line with a message about the request id, or ""; any with no id.
func (f *fixture) logLine(message, id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.logLines {
		if strings.Contains(line, `"msg":"`+message+`"`) && (id == "" || strings.Contains(line, `"id":"`+id+`"`)) {
			return line
		}
	}
	return ""
}

// TestFailedRequestIsExplainedByItsLogLine checks the log lines with which
// docs/OPERATIONS.md explains three kinds of failed request.
func TestFailedRequestIsExplainedByItsLogLine(t *testing.T) {
	f := newFixture(t)
	has := func(line string, fields ...string) {
		t.Helper()
		for _, field := range fields {
			assert.Assert(t, strings.Contains(line, field), "%s in %s", field, line)
		}
	}
	t.Run("write around a promotion", func(t *testing.T) {
		f.session("session").ok("STORE item v")
		f.group.Nodes()[0].Set(standin.Faults{Down: true})
		f.session("session").query("STORE item v")
		id, result, _ := f.session("session").queryID("STORE item v")
		assert.Assert(t, strings.HasPrefix(result, "ERROR BUSY"), result)
		has(f.logLine("statement failed", id), `"code":"busy"`, `"primary":"svc-0"`, `"promoting":false`, `"endpoint":"svc-0"`)
	})
	t.Run("read refused for its age", func(t *testing.T) {
		time.Sleep(350 * time.Millisecond)
		f.mu.Lock()
		f.controlLostFor = time.Second
		f.mu.Unlock()
		id, result, _ := f.session("bounded").queryID("FETCH item")
		assert.Assert(t, strings.HasPrefix(result, "ERROR"), result)
		has(f.logLine("statement failed", id), `"level":"LEVEL_BOUNDED"`, `"cutOff":`, `"tries":`)
	})
	t.Run("refused under overload", func(t *testing.T) {
		f.group.Nodes()[0].Set(standin.Faults{Busy: true})
		isBack := func() bool {
			result, _ := f.session("session").query("STORE item v")
			return strings.HasPrefix(result, "ERROR BUSY svc-0")
		}
		assert.Assert(t, standin.WaitFor(3*time.Second, isBack))
		id, _, _ := f.session("session").queryID("STORE item v")
		has(f.logLine("statement failed", id), `"code":"busy"`, `"detail":"svc-0"`, `"tries":`, `"elapsed":`)
	})
	// The metrics agree with the log.
	w := httptest.NewRecorder()
	f.metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	has(w.Body.String(), `hemlockmast_refusals_total{reason="busy",service="session"}`, `hemlockmast_config_revision 1`)
}
