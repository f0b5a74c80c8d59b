package fleetd

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/platform/standin"
)

// Statements reached a primary that had been leaving for longer than it serves, as nothing could
// replace it: an entry that started meanwhile counted from its own start. The age of the
// announcement outlives the control daemons that received it.
func TestEntryThatStartsLaterKnowsForHowLongAPrimaryLeaves(t *testing.T) {
	for name, meanwhile := range map[string]func(f *fleet){
		"entry starts":                           func(*fleet) {},
		"control daemons start again one by one": func(f *fleet) { f.restartControls(1) },
		"all control daemons start again":        func(f *fleet) { f.restartControls(3) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, 1, withoutPreparedStops)
			f.promoteDelay.Store(int64(time.Minute))
			f.publish(standin.Configuration(5, 800))
			f.querySucceeds(0, "STORE item v0")
			f.mu.Lock()
			f.leaving["svc-0"] = true
			f.mu.Unlock()
			leaves := time.Now()
			meanwhile(f)
			late := f.entrySettings(1)
			time.Sleep(time.Until(leaves.Add(defaultMaxLeavingWork / 2)))
			f.start(late)
			f.querySucceeds(1, "FETCH item")
			// One heartbeat may pass before the announcement.
			time.Sleep(time.Until(leaves.Add(defaultMaxLeavingWork - 500*time.Millisecond)))
			for i := range 2 {
				answer := f.query(i, "STORE item v1")
				assert.Assert(t, strings.Contains(answer, "the primary leaves"), "entry %d: %s", i, answer)
			}
		})
	}
}

// restartControls stops the control daemons, atOnce of them at a time, and starts them again.
func (f *fleet) restartControls(atOnce int) {
	for batch := range slices.Chunk([]string{"control-0", "control-1", "control-2"}, atOnce) {
		var stopped []*fleetpb.DaemonSettings
		for _, name := range batch {
			stopped = append(stopped, f.stop(name))
		}
		for _, s := range stopped {
			s.MayFound = false
			f.start(s)
		}
		time.Sleep(400 * time.Millisecond)
	}
}
