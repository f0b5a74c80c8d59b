package fleetctl

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/fleet/fleethub"
	"hemlockmast/internal/fleet/fleetstate"
	"hemlockmast/internal/fleet/promotion"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/metrics"
)

// TestLogFoundAfterItsServiceWasDropped guards against a control daemon that ends because an attempt
// found the log of an endpoint that a new configuration dropped meanwhile.
func TestLogFoundAfterItsServiceWasDropped(t *testing.T) {
	n := &Node{cfg: Config{Metrics: metrics.NewControl()}, log: logr.Discard(), machine: fleetstate.New(func() {})}
	n.hub = fleethub.New(1, n.machine, n, time.Now)
	w := newWatcher(n)
	w.noteLogFound(&promotion.LogFoundError{Endpoint: "svc-0", Acknowledged: logpos.Pos{Term: 1, Index: 1}})
	assert.Equal(t, len(w.answeredAsEnded), 0)
}
