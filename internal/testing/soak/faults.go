package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"hemlockmast/platform/standin"
)

// scheduledFault is one fault of the schedule. Its times are relative to the start.
type scheduledFault struct {
	at, length time.Duration
	kind       string
	target     int
}

func (e scheduledFault) String() string {
	return fmt.Sprintf("%6.2f s %s %d for %.2f s", e.at.Seconds(), e.kind, e.target, e.length.Seconds())
}

// targets returns the number of possible targets of a fault.
type targets func(size) int

func oneTarget(size) int     { return 1 }
func allEntries(s size) int  { return s.entries }
func allControls(s size) int { return s.controls }
func allNodes(s size) int    { return s.services * endpointCount }

// fault begins and ends one kind of fault at any of its targets.
type fault struct {
	targets targets
	begin   func(f *fleet, target int) error
	end     func(f *fleet, target int) error
}

func killControl(f *fleet, i int) error    { f.stop(f.control(i), syscall.SIGKILL); return nil }
func killEntry(f *fleet, i int) error      { f.stop(entryName(i), syscall.SIGKILL); return nil }
func restartEntry(f *fleet, i int) error   { return f.restart(entryName(i)) }
func restartControl(f *fleet, i int) error { return f.restart(f.control(i)) }

// stopsSlowly is a fault that stops a daemon with SIGTERM and starts it again after its
// end. Other faults begin meanwhile.
func stopsSlowly(targets targets, name func(*fleet, int) string) fault {
	return fault{
		targets: targets,
		begin: func(f *fleet, i int) error {
			f.background.Go(func() { f.stop(name(f, i), syscall.SIGTERM) })
			return nil
		},
		end: func(f *fleet, i int) error {
			f.background.Go(func() {
				p := f.process(name(f, i))
				standin.WaitFor(stopTimeout, func() bool { return !p.isRunning() })
				if err := f.restart(name(f, i)); err != nil {
					f.noteEvent("restart failed: " + err.Error())
				}
			})
			return nil
		},
	}
}

func pauseProcess(targets targets, name func(*fleet, int) string) fault {
	return fault{
		targets: targets,
		begin:   func(f *fleet, i int) error { f.signal(name(f, i), syscall.SIGSTOP); return nil },
		end:     func(f *fleet, i int) error { f.signal(name(f, i), syscall.SIGCONT); return nil },
	}
}

func endpointFault(faults standin.Faults) fault {
	return fault{
		targets: allNodes,
		begin:   func(f *fleet, i int) error { f.nodes[i].Set(faults); return nil },
		end:     func(f *fleet, i int) error { f.nodes[i].Set(standin.Faults{}); return nil },
	}
}

func impairLink(d Impairment) fault {
	return fault{
		targets: allNodes,
		begin:   func(f *fleet, i int) error { f.links[i].set(d); return nil },
		end: func(f *fleet, i int) error {
			f.links[i].set(Impairment{})
			// Data was lost on connections through a silent link, so they are unusable; the
			// reset makes daemons and endpoint drop them.
			f.links[i].resetConnections()
			return nil
		},
	}
}

func noop(*fleet, int) error { return nil }

// loseDisk kills a control daemon and deletes its data folder.
func loseDisk(f *fleet, i int) error {
	f.stop(f.control(i), syscall.SIGKILL)
	return os.RemoveAll(f.process(f.control(i)).settings.DataFolder)
}

// tearWrite kills a control daemon and appends an incomplete record to its log, as a crash
// during a write leaves it.
func tearWrite(f *fleet, i int) error {
	f.stop(f.control(i), syscall.SIGKILL)
	files, err := filepath.Glob(filepath.Join(f.process(f.control(i)).settings.DataFolder, "control", "*.log"))
	if err != nil || len(files) == 0 {
		return err
	}
	slices.Sort(files)
	file, err := os.OpenFile(files[len(files)-1], os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.Write([]byte{0, 0, 0, 40, 1, 2, 3})
	return err
}

// changeSettings changes the settings file of a running entry and sends it SIGHUP.
func changeSettings(f *fleet, i int) error {
	p := f.process(entryName(i))
	data, err := os.ReadFile(p.settingsPath)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settingsPath, append(data, '\n'), 0o600); err != nil {
		return err
	}
	f.signal(entryName(i), syscall.SIGHUP)
	return nil
}

func forAllControls(do func(*fleet, int) error) func(*fleet, int) error {
	return func(f *fleet, _ int) error {
		for i := range f.controls {
			if err := do(f, i); err != nil {
				return err
			}
		}
		return nil
	}
}

// faultKinds maps names to faults. The schedule of a seed depends on the sorted names.
var faultKinds = map[string]fault{
	"entry killed":            {allEntries, killEntry, restartEntry},
	"entry stopped":           stopsSlowly(allEntries, (*fleet).entry),
	"entry paused":            pauseProcess(allEntries, (*fleet).entry),
	"entry's settings change": {allEntries, changeSettings, noop},
	"control killed":          {allControls, killControl, restartControl},
	"control stopped":         stopsSlowly(allControls, (*fleet).control),
	"control paused":          pauseProcess(allControls, (*fleet).control),
	"all controls killed":     {oneTarget, forAllControls(killControl), forAllControls(restartControl)},
	"control's disk lost":     {allControls, loseDisk, restartControl},
	"control's write torn":    {allControls, tearWrite, restartControl},
	"endpoint down":           endpointFault(standin.Faults{Down: true}),
	"endpoint silent":         endpointFault(standin.Faults{Silent: true}),
	"endpoint deaf":           endpointFault(standin.Faults{Deaf: true}),
	"endpoint late":           endpointFault(standin.Faults{Late: true, LagMs: 5000}),
	"endpoint loses answers":  endpointFault(standin.Faults{LoseAnswers: true}),
	"endpoint busy":           endpointFault(standin.Faults{Busy: true}),
	"link delayed":            impairLink(Impairment{Delay: 30 * time.Millisecond}),
	"link silent":             impairLink(Impairment{Silent: true}),
	"link cut one way":        impairLink(Impairment{OneWay: true}),
	"link reset": {allNodes, func(f *fleet, i int) error { f.links[i].resetConnections(); return nil },
		noop},
}

const (
	// meanFaultGap is the mean time between the starts of two faults. Faults last up to
	// maxFaultLength, so some overlap.
	meanFaultGap   = 700 * time.Millisecond
	minFaultLength = 200 * time.Millisecond
	maxFaultLength = 3 * time.Second
	// minDiskLossGap is the least time between two lost disks. The control group tolerates
	// one lost disk at a time, and the next may follow only once the daemon with the new
	// disk holds the log again.
	minDiskLossGap = 10 * time.Second
)

// step is one action of a run, which may return a text for its record.
type step struct {
	at   time.Duration
	text string
	do   func(f *fleet) (string, error)
}

// schedule returns the steps of a run, drawn with its seed.
func schedule(cfg Config) []step {
	if cfg.Stops {
		return stopSteps(cfg)
	}
	var steps []step
	keep := func(string) bool { return true }
	if cfg.Promotions {
		steps = promotionSteps(cfg)
		keep = func(kind string) bool { return strings.HasPrefix(kind, "entry") || strings.HasPrefix(kind, "link") }
	}
	for _, e := range draw(cfg, keep) {
		k := faultKinds[e.kind]
		steps = append(steps,
			step{e.at, "begin " + e.String(), func(f *fleet) (string, error) { return "", k.begin(f, e.target) }},
			step{e.at + e.length, "end   " + e.String(), func(f *fleet) (string, error) { return "", k.end(f, e.target) }})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// draw returns random faults of the kinds to keep.
func draw(cfg Config, keep func(kind string) bool) []scheduledFault {
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	var names []string
	for name := range faultKinds {
		if keep(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var list []scheduledFault
	lastDisk := -minDiskLossGap
	free := make(map[string]time.Duration)
	for at := time.Duration(0); at < cfg.Length; at += meanFaultGap/2 + time.Duration(rng.Int64N(int64(meanFaultGap))) {
		e := scheduledFault{at: at, kind: names[rng.IntN(len(names))], length: minFaultLength + time.Duration(rng.Int64N(int64(maxFaultLength-minFaultLength)))}
		e.target = rng.IntN(faultKinds[e.kind].targets(cfg.size()))
		if e.kind == "control's disk lost" {
			if at-lastDisk < minDiskLossGap {
				continue
			}
			lastDisk = at
		}
		// Each resource has at most one fault at a time; faults of different resources
		// may overlap.
		resources := e.resources(cfg.size())
		if slices.ContainsFunc(resources, func(t string) bool { return free[t] > at }) {
			continue
		}
		for _, t := range resources {
			free[t] = at + e.length + graceMs*time.Millisecond
		}
		list = append(list, e)
	}
	return list
}

// resources names the daemons, endpoints or links that the fault affects.
func (e scheduledFault) resources(s size) []string {
	if e.kind == "all controls killed" {
		var all []string
		for i := range s.controls {
			all = append(all, fmt.Sprint("control", i))
		}
		return all
	}
	return []string{fmt.Sprint(e.kind[:4], e.target)}
}

// inject runs the steps and calls note before or after each one. It returns after the last
// one, or with the first error.
func inject(ctx context.Context, f *fleet, steps []step, note func(string)) error {
	started := time.Now()
	for _, s := range steps {
		select {
		case <-time.After(time.Until(started.Add(s.at))):
		case <-ctx.Done():
			return ctx.Err()
		}
		note(s.text)
		detail, err := s.do(f)
		if err != nil {
			return err
		}
		if detail != "" {
			note(s.text + ": " + detail)
		}
	}
	return nil
}
