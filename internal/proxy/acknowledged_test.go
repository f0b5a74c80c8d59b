package proxy_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/platform/standin"
)

// TestEntrySeesLostAcknowledgedCommit acknowledges a write or a transaction through one replica
// and promotes the other.
func TestEntrySeesLostAcknowledgedCommit(t *testing.T) {
	for name, tc := range map[string]struct {
		write    func(c *caller)
		promoted int
		missing  string
	}{
		"write":       {func(c *caller) { c.ok("STORE item v1") }, 1, " 1"},
		"transaction": {func(c *caller) { c.ok("BEGIN"); c.ok("STORE item v1"); c.ok("COMMIT") }, 1, " 1"},
		"nothing":     {func(c *caller) { c.ok("STORE item v1") }, 2, " 0"},
		"rolled back": {func(c *caller) { c.ok("BEGIN"); c.ok("STORE item v1"); c.ok("ROLLBACK") }, 1, " 0"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.session("session")
			c.ok("STORE item v0")
			f.group.Nodes()[1].Set(standin.Faults{Deaf: true})
			tc.write(c)
			f.promoteWithLog(tc.promoted)
			f.session("session").ok("STORE item v2")
			w := httptest.NewRecorder()
			f.metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			assert.Assert(t, strings.Contains(w.Body.String(), "hemlockmast_acknowledged_commits_missing_total"+tc.missing+"\n"))
			line := f.logLine("acknowledged commit is missing", "")
			if tc.missing == " 0" {
				assert.Equal(t, line, "")
				return
			}
			assert.Assert(t, strings.Contains(line, `"service":"svc","endpoint":"svc-1","number":2,"token":2,"term":2,"acknowledged":"1/2","inherited":"1/1"`), line)
		})
	}
}

// promoteWithLog makes node i the primary, deaf or not, and sends the entry a record that tells
// with which log the node began to lead.
func (f *fixture) promoteWithLog(i int) {
	node := f.group.Nodes()[i]
	end := node.Position()
	term, number, _ := strings.Cut(end, ".")
	assert.Equal(f.t, term, "1")
	inherited := &fleetpb.LogPosition{Term: 1, Index: uint64(number[0] - '0')}
	f.primaryNumber++
	assert.Equal(f.t, f.group.Promote(node.ID, f.primaryNumber), 200)
	f.view.Apply(&fleetpb.FollowResponse{Current: true, Entries: 1, Primaries: []*fleetpb.Primary{
		{Service: "svc", EndpointId: node.ID, Number: f.primaryNumber, Token: f.primaryNumber, Term: 2, Inherited: inherited},
	}})
}
