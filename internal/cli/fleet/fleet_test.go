package fleet_test

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/cli/fleet"
	"hemlockmast/internal/shared/metrics"
)

// TestShow checks the rows of a control leader, an entry and an unreachable daemon.
func TestShow(t *testing.T) {
	control := metrics.NewControl()
	control.Member(4, true, 5, 17)
	control.LossesBorne(1, map[string]time.Duration{"10.1.0.8:7440#3f": 4 * time.Second})
	control.Promoted("leaving", time.Second, nil)
	control.Promoted("gone", time.Second, nil)
	control.Attempts(3, 7)
	control.PrimaryBehind()
	entry := metrics.New()
	entry.CommitMissing()
	entry.CommitMissing()
	entry.Revision(16, true)
	entry.Request("r", metrics.OutcomeDone, time.Millisecond)
	entry.Refused("r", "busy")
	controlServer, entryServer := httptest.NewServer(control.Handler()), httptest.NewServer(entry.Handler())
	defer controlServer.Close()
	defer entryServer.Close()
	gone := httptest.NewServer(entry.Handler())
	gone.Close()
	addresses := []string{
		controlServer.Listener.Addr().String(), entryServer.Listener.Addr().String(), gone.Listener.Addr().String(),
	}
	var out strings.Builder
	err := fleet.Show(t.Context(), &out, addresses)
	var missing *fleet.UnreachableError
	assert.Assert(t, errors.As(err, &missing))
	assert.DeepEqual(t, missing.Addresses, addresses[2:])
	lines := strings.Split(out.String(), "\n")
	fields := func(i int) string { return strings.Join(strings.Fields(lines[i])[1:], " ") }
	assert.Equal(t, fields(1), "control, leads 17 4 5 1 2 - - 3 7 1")
	assert.Equal(t, fields(2), "entry 16 - - - - 1 1 - - 2")
	assert.Assert(t, strings.Contains(lines[3], "no answer"))
	assert.Equal(t, lines[4], "control voter 10.1.0.8:7440#3f has been silent for 4s")
}
