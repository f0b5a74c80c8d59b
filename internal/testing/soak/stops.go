package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"hemlockmast/platform/standin"
)

const (
	// stopGap is the mean time between the starts of two series of planned stops. One series takes
	// up to the grace time, so that those of different daemons overlap.
	stopGap = 2500 * time.Millisecond
	// stopWorkTime is the time of a statement at an endpoint, so that some are at work at each end.
	stopWorkTime = 40 * time.Millisecond
	// minStopped is the least number of entries that stop at once.
	minStopped = 2
)

// stopSteps returns the steps of a run with planned stops only: several entries and at times a
// control daemon get SIGTERM at once, and again while they stop; others get SIGHUP. Callers keep
// their sessions, and open new ones at entries that stop.
func stopSteps(cfg Config) []step {
	steps := []step{{0, "statements take " + stopWorkTime.String(), slowStatements(stopWorkTime)}}
	rng := rand.New(rand.NewPCG(cfg.Seed, 5))
	for at := time.Second; at < cfg.Length; at += stopGap/2 + time.Duration(rng.Int64N(int64(stopGap))) {
		// At least one entry goes on in each series.
		order := rng.Perm(cfg.size().entries)
		count := minStopped + rng.IntN(len(order)-minStopped)
		var names []string
		for _, i := range order[:count] {
			names = append(names, entryName(i))
		}
		reloads := entryName(order[count])
		control := -1
		if rng.IntN(3) == 0 {
			control = rng.IntN(cfg.size().controls)
		}
		again := time.Duration(rng.Int64N(int64(graceMs))) * time.Millisecond
		text := fmt.Sprintf("%6.2f s SIGTERM to %s and control %d, again after %.2f s", at.Seconds(), strings.Join(names, " "), control, again.Seconds())
		steps = append(steps, step{at, text, func(f *fleet) (string, error) {
			all := names
			if control >= 0 {
				all = append([]string{f.control(control)}, names...)
			}
			f.signal(reloads, syscall.SIGHUP)
			for _, name := range all {
				f.background.Go(func() { f.stopAndRestart(name, again) })
			}
			return "", nil
		}})
	}
	// The last daemons have ended by then. Slow statements are more than 19 connections bear, so
	// that entries would go on to refuse some.
	steps = append(steps, step{cfg.Length + stopTimeout, "statements are fast again", slowStatements(0)})
	return steps
}

// slowStatements makes all statements at endpoints take the given time.
func slowStatements(d time.Duration) func(f *fleet) (string, error) {
	return func(f *fleet) (string, error) {
		for _, n := range f.nodes {
			n.Set(standin.Faults{Slow: d})
		}
		return "", nil
	}
}

// stopAndRestart stops a daemon, signals it again while it stops, and starts it once it has ended.
func (f *fleet) stopAndRestart(name string, again time.Duration) {
	p := f.process(name)
	if !p.isRunning() {
		return
	}
	timer := time.AfterFunc(again, func() { f.signalProcess(p, syscall.SIGTERM) })
	defer timer.Stop()
	f.stop(name, syscall.SIGTERM)
	if err := f.restart(name); err != nil {
		f.noteEvent("restart failed: " + err.Error())
	}
}

// checkCut records a violation if a statement that reached an endpoint had no answer although all
// stops were planned.
func (c *caller) checkCut(id, text string, err error) {
	if c.fleet.onlyStops && c.fleet.groups[c.service].Ran(id) > 0 {
		c.history.recordViolation("%s %s through entry %d ran and was not answered: %v", id, text, c.entry, err)
	}
}
