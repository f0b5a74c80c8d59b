package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func scrape(s *Set) string {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func TestEveryPromisedSeriesIsThere(t *testing.T) {
	s := New()
	for _, o := range []Outcome{OutcomeDone, OutcomeNotRun, OutcomeUnknown, OutcomeAbandoned} {
		s.Request("bulletin", o, time.Millisecond)
	}
	s.Read("bulletin", TargetReplica)
	s.Read("bulletin", TargetPrimary)
	s.Retry("bulletin", true)
	s.Retry("bulletin", false)
	s.Refused("bulletin", "queue_full")
	s.Queued("bulletin", time.Millisecond)
	s.Floor(false)
	s.FailoverGap("north", 400*time.Millisecond)
	s.Connections("north", "a", 3, 2, 1, 7)
	s.Revision(12, true)
	text := scrape(s)
	for _, want := range []string{
		`hemlockmast_requests_total{outcome="done",service="bulletin"} 1`,
		`hemlockmast_requests_total{outcome="not_run",service="bulletin"} 1`,
		`hemlockmast_requests_total{outcome="unknown",service="bulletin"} 1`,
		`hemlockmast_requests_total{outcome="abandoned",service="bulletin"} 1`,
		`hemlockmast_reads_total{service="bulletin",target="replica"} 1`,
		`hemlockmast_reads_total{service="bulletin",target="primary"} 1`,
		`hemlockmast_retries_total{granted="no",service="bulletin"} 1`,
		`hemlockmast_refusals_total{reason="queue_full",service="bulletin"} 1`,
		`hemlockmast_queue_seconds_count{service="bulletin"} 1`,
		`hemlockmast_session_floors_total{found="unknown"} 1`,
		`hemlockmast_failover_gap_seconds_bucket{group="north",le="0.5"} 1`,
		`hemlockmast_endpoint_connections{group="north",slot="a",state="pinned"} 1`,
		`hemlockmast_endpoint_connection_share{group="north",slot="a"} 7`,
		`hemlockmast_config_revision 12`,
		`hemlockmast_config_current 1`,
	} {
		assert.Assert(t, strings.Contains(text, want+"\n"), want)
	}
}

func TestInventedNamesAreCountedTogether(t *testing.T) {
	s := New()
	for i := range 3 * maxNames {
		s.Read(fmt.Sprint("invented", i), TargetReplica)
	}
	text := scrape(s)
	assert.Equal(t, strings.Count(text, "hemlockmast_reads_total{"), maxNames+1)
	assert.Assert(t, strings.Contains(text, fmt.Sprintf(`service="other",target="replica"} %d`, 2*maxNames)))
}
