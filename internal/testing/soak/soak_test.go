package soak_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/testing/soak"
)

// seeds are run in CI: two fixed ones, and each seed that found a fault, with a comment on
// the cause.
var seeds = []uint64{1, 2}

// TestSoak does short runs against daemons in separate processes.
func TestSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "hemlockmastd")
	output, err := exec.Command("go", "build", "-o", daemon, "hemlockmast/cmd/hemlockmastd").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			result, err := soak.Run(t.Context(), soak.Config{
				Binary: daemon, Folder: t.TempDir(), Seed: seed, Length: 5 * time.Second,
			})
			assert.NilError(t, err)
			t.Logf("%+v, configuration %d", result.Counts, result.Configuration)
			assert.Equal(t, len(result.Broken), 0, "%s", strings.Join(append(result.Schedule, result.Broken...), "\n"))
			// With hardly any successful reads and writes the checks would be void.
			assert.Assert(t, result.Counts.Acknowledged > 100 && result.Counts.Reads > 100, "%+v", result.Counts)
		})
	}
}
