package fleetctl

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/metrics"
)

// TestLateReportAboutFormerPrimary delivers a report of overload after the overloaded
// primary was replaced. It must not start another replacement.
func TestLateReportAboutFormerPrimary(t *testing.T) {
	w := newWatcher(&Node{cfg: Config{Metrics: metrics.NewControl()}, log: logr.Discard()})
	w.handleReport(&fleetpb.ReportRequest{
		Service: "svc", EndpointId: "svc-0", Suspicion: fleetpb.Suspicion_SUSPICION_OVERLOADED,
	})
	now := time.Now()
	assert.Assert(t, w.isOverloaded("svc", "svc-0", now))
	assert.Assert(t, !w.isOverloaded("svc", "svc-2", now))
}

// TestDemotedPrimary checks that a recorded primary which announces that it is a replica is
// noticed, and that its announcement can be ignored for some time.
func TestDemotedPrimary(t *testing.T) {
	w := newWatcher(&Node{cfg: Config{Metrics: metrics.NewControl()}, log: logr.Discard()})
	e := &fleetpb.Endpoint{Id: "svc-0"}
	assert.Assert(t, w.isDemoted(e, time.Now()))
	w.ignoreRole("svc-0", time.Minute)
	assert.Assert(t, !w.isDemoted(e, time.Now()))
	assert.Assert(t, w.isDemoted(e, time.Now().Add(2*time.Minute)))
	e.Primary = true
	assert.Assert(t, !w.isDemoted(e, time.Now().Add(2*time.Minute)))
}
