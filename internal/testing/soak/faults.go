package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
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

// fault begins and ends one kind of fault at any of its targets.
type fault struct {
	targets int
	begin   func(f *fleet, target int) error
	end     func(f *fleet, target int) error
}

func stopControl(signal syscall.Signal) func(*fleet, int) error {
	return func(f *fleet, i int) error { f.stop(controlName(i), signal); return nil }
}

func stopEntry(signal syscall.Signal) func(*fleet, int) error {
	return func(f *fleet, i int) error { f.stop(entryName(i), signal); return nil }
}

func restartControl(f *fleet, i int) error { return f.restart(controlName(i)) }
func restartEntry(f *fleet, i int) error   { return f.restart(entryName(i)) }

func pauseProcess(name func(int) string) fault {
	return fault{
		begin: func(f *fleet, i int) error { f.signal(name(i), syscall.SIGSTOP); return nil },
		end:   func(f *fleet, i int) error { f.signal(name(i), syscall.SIGCONT); return nil },
	}
}

func endpointFault(faults standin.Faults) fault {
	return fault{
		targets: endpointCount,
		begin:   func(f *fleet, i int) error { f.group.Nodes()[i].Set(faults); return nil },
		end:     func(f *fleet, i int) error { f.group.Nodes()[i].Set(standin.Faults{}); return nil },
	}
}

func impairLink(d Impairment) fault {
	return fault{
		targets: endpointCount,
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

func withTargets(f fault, targets int) fault {
	f.targets = targets
	return f
}

func noop(*fleet, int) error { return nil }

// loseDisk kills a control daemon and deletes its data folder.
func loseDisk(f *fleet, i int) error {
	f.stop(controlName(i), syscall.SIGKILL)
	return os.RemoveAll(f.process(controlName(i)).settings.DataFolder)
}

// tearWrite kills a control daemon and appends an incomplete record to its log, as a crash
// during a write leaves it.
func tearWrite(f *fleet, i int) error {
	f.stop(controlName(i), syscall.SIGKILL)
	files, err := filepath.Glob(filepath.Join(f.process(controlName(i)).settings.DataFolder, "control", "*.log"))
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
		for i := range controlCount {
			if err := do(f, i); err != nil {
				return err
			}
		}
		return nil
	}
}

// faultKinds maps names to faults. The schedule of a seed depends on the sorted names.
var faultKinds = map[string]fault{
	"entry killed":            {entryCount, stopEntry(syscall.SIGKILL), restartEntry},
	"entry stopped":           {entryCount, stopEntry(syscall.SIGTERM), restartEntry},
	"entry paused":            withTargets(pauseProcess(entryName), entryCount),
	"entry's settings change": {entryCount, changeSettings, noop},
	"control killed":          {controlCount, stopControl(syscall.SIGKILL), restartControl},
	"control stopped":         {controlCount, stopControl(syscall.SIGTERM), restartControl},
	"control paused":          withTargets(pauseProcess(controlName), controlCount),
	"all controls killed":     {1, forAllControls(stopControl(syscall.SIGKILL)), forAllControls(restartControl)},
	"control's disk lost":     {controlCount, loseDisk, restartControl},
	"control's write torn":    {controlCount, tearWrite, restartControl},
	"endpoint down":           endpointFault(standin.Faults{Down: true}),
	"endpoint silent":         endpointFault(standin.Faults{Silent: true}),
	"endpoint deaf":           endpointFault(standin.Faults{Deaf: true}),
	"endpoint late":           endpointFault(standin.Faults{Late: true, LagMs: 5000}),
	"endpoint loses answers":  endpointFault(standin.Faults{LoseAnswers: true}),
	"endpoint busy":           endpointFault(standin.Faults{Busy: true}),
	"link delayed":            impairLink(Impairment{Delay: 30 * time.Millisecond}),
	"link silent":             impairLink(Impairment{Silent: true}),
	"link cut one way":        impairLink(Impairment{OneWay: true}),
	"link reset": {endpointCount, func(f *fleet, i int) error { f.links[i].resetConnections(); return nil },
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

// schedule returns the faults of a run, drawn with its seed.
func schedule(seed uint64, length time.Duration) []scheduledFault {
	rng := rand.New(rand.NewPCG(seed, 2))
	names := make([]string, 0, len(faultKinds))
	for name := range faultKinds {
		names = append(names, name)
	}
	slices.Sort(names)
	var list []scheduledFault
	lastDisk := -minDiskLossGap
	free := make(map[string]time.Duration)
	for at := time.Duration(0); at < length; at += meanFaultGap/2 + time.Duration(rng.Int64N(int64(meanFaultGap))) {
		e := scheduledFault{at: at, kind: names[rng.IntN(len(names))], length: minFaultLength + time.Duration(rng.Int64N(int64(maxFaultLength-minFaultLength)))}
		e.target = rng.IntN(faultKinds[e.kind].targets)
		if e.kind == "control's disk lost" {
			if at-lastDisk < minDiskLossGap {
				continue
			}
			lastDisk = at
		}
		// Each resource has at most one fault at a time; faults of different resources
		// may overlap.
		resources := e.resources()
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
func (e scheduledFault) resources() []string {
	if e.kind == "all controls killed" {
		var all []string
		for i := range controlCount {
			all = append(all, fmt.Sprint("control", i))
		}
		return all
	}
	return []string{fmt.Sprint(e.kind[:4], e.target)}
}

// inject begins and ends the faults of the schedule and calls note before each step. It
// returns once every fault has ended, or with the first error.
func inject(ctx context.Context, f *fleet, list []scheduledFault, note func(string)) error {
	type step struct {
		at   time.Duration
		text string
		do   func() error
	}
	var steps []step
	for _, e := range list {
		k := faultKinds[e.kind]
		steps = append(steps,
			step{e.at, "begin " + e.String(), func() error { return k.begin(f, e.target) }},
			step{e.at + e.length, "end   " + e.String(), func() error { return k.end(f, e.target) }})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	started := time.Now()
	for _, s := range steps {
		select {
		case <-time.After(time.Until(started.Add(s.at))):
		case <-ctx.Done():
			return ctx.Err()
		}
		note(s.text)
		if err := s.do(); err != nil {
			return err
		}
	}
	return nil
}
