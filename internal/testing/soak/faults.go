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

// event is one fault of the schedule.
type event struct {
	at, length time.Duration
	kind       string
	target     int
}

func (e event) String() string {
	return fmt.Sprintf("%6.2f s %s %d for %.2f s", e.at.Seconds(), e.kind, e.target, e.length.Seconds())
}

// fault says how to begin and end a fault, and how many targets there are.
type fault struct {
	targets int
	begin   func(f *fleet, target int) error
	end     func(f *fleet, target int) error
}

func control(signal syscall.Signal) func(*fleet, int) error {
	return func(f *fleet, i int) error { f.stop(controlName(i), signal); return nil }
}

func entry(signal syscall.Signal) func(*fleet, int) error {
	return func(f *fleet, i int) error { f.stop(entryName(i), signal); return nil }
}

func restartControl(f *fleet, i int) error { return f.restart(controlName(i)) }
func restartEntry(f *fleet, i int) error   { return f.restart(entryName(i)) }

func pause(name func(int) string) fault {
	return fault{
		begin: func(f *fleet, i int) error { f.signal(name(i), syscall.SIGSTOP); return nil },
		end:   func(f *fleet, i int) error { f.signal(name(i), syscall.SIGCONT); return nil },
	}
}

func endpoint(faults standin.Faults) fault {
	return fault{
		targets: endpoints,
		begin:   func(f *fleet, i int) error { f.group.Nodes()[i].Set(faults); return nil },
		end:     func(f *fleet, i int) error { f.group.Nodes()[i].Set(standin.Faults{}); return nil },
	}
}

func disturbed(d Disturbance) fault {
	return fault{
		targets: endpoints,
		begin:   func(f *fleet, i int) error { f.links[i].set(d); return nil },
		end: func(f *fleet, i int) error {
			f.links[i].set(Disturbance{})
			// Connections that went silent stay so; the endpoint drops them.
			f.links[i].reset()
			return nil
		},
	}
}

func with(f fault, targets int) fault {
	f.targets = targets
	return f
}

func nothing(*fleet, int) error { return nil }

// wipe ends a control daemon and takes its disk.
func wipe(f *fleet, i int) error {
	f.stop(controlName(i), syscall.SIGKILL)
	return os.RemoveAll(f.process(controlName(i)).settings.DataFolder)
}

// tear ends a control daemon and leaves a write after its last sync half done.
func tear(f *fleet, i int) error {
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

// hangUp changes the settings file of a running entry and says so.
func hangUp(f *fleet, i int) error {
	p := f.process(entryName(i))
	data, err := os.ReadFile(p.path)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.path, append(data, '\n'), 0o600); err != nil {
		return err
	}
	f.signal(entryName(i), syscall.SIGHUP)
	return nil
}

func allControls(do func(*fleet, int) error) func(*fleet, int) error {
	return func(f *fleet, _ int) error {
		for i := range controls {
			if err := do(f, i); err != nil {
				return err
			}
		}
		return nil
	}
}

// kinds are all faults by name.
var kinds = map[string]fault{
	"entry killed":            {entries, entry(syscall.SIGKILL), restartEntry},
	"entry stopped":           {entries, entry(syscall.SIGTERM), restartEntry},
	"entry paused":            with(pause(entryName), entries),
	"entry's settings change": {entries, hangUp, nothing},
	"control killed":          {controls, control(syscall.SIGKILL), restartControl},
	"control stopped":         {controls, control(syscall.SIGTERM), restartControl},
	"control paused":          with(pause(controlName), controls),
	"all controls killed":     {1, allControls(control(syscall.SIGKILL)), allControls(restartControl)},
	"control's disk lost":     {controls, wipe, restartControl},
	"control's write torn":    {controls, tear, restartControl},
	"endpoint down":           endpoint(standin.Faults{Down: true}),
	"endpoint silent":         endpoint(standin.Faults{Silent: true}),
	"endpoint deaf":           endpoint(standin.Faults{Deaf: true}),
	"endpoint late":           endpoint(standin.Faults{Late: true, LagMs: 5000}),
	"endpoint loses answers":  endpoint(standin.Faults{LoseAnswers: true}),
	"endpoint busy":           endpoint(standin.Faults{Busy: true}),
	"link delayed":            disturbed(Disturbance{Delay: 30 * time.Millisecond}),
	"link silent":             disturbed(Disturbance{Silent: true}),
	"link cut one way":        disturbed(Disturbance{OneWay: true}),
	"link reset": {endpoints, func(f *fleet, i int) error { f.links[i].reset(); return nil },
		nothing},
}

const (
	// meanGap is the mean time between two faults. They last up to maxLength, so that
	// some overlap.
	meanGap   = 700 * time.Millisecond
	minLength = 200 * time.Millisecond
	maxLength = 3 * time.Second
	// diskGap is the least time between two lost disks: one at a time is borne, and a
	// new one counts once its daemon holds the log.
	diskGap = 10 * time.Second
)

// schedule draws the faults of a run from its seed.
func schedule(seed uint64, length time.Duration) []event {
	rng := rand.New(rand.NewPCG(seed, 2))
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	var list []event
	lastDisk := -diskGap
	free := make(map[string]time.Duration)
	for at := time.Duration(0); at < length; at += meanGap/2 + time.Duration(rng.Int64N(int64(meanGap))) {
		e := event{at: at, kind: names[rng.IntN(len(names))], length: minLength + time.Duration(rng.Int64N(int64(maxLength-minLength)))}
		e.target = rng.IntN(kinds[e.kind].targets)
		if e.kind == "control's disk lost" {
			if at-lastDisk < diskGap {
				continue
			}
			lastDisk = at
		}
		// One fault at a time for each thing; faults of different things overlap.
		things := e.things()
		if slices.ContainsFunc(things, func(t string) bool { return free[t] > at }) {
			continue
		}
		for _, t := range things {
			free[t] = at + e.length + graceMs*time.Millisecond
		}
		list = append(list, e)
	}
	return list
}

// things names what the fault holds.
func (e event) things() []string {
	if e.kind == "all controls killed" {
		var all []string
		for i := range controls {
			all = append(all, fmt.Sprint("control", i))
		}
		return all
	}
	return []string{fmt.Sprint(e.kind[:4], e.target)}
}

// inject plays the schedule; it returns once every fault has ended.
func inject(ctx context.Context, f *fleet, list []event, note func(string)) error {
	type step struct {
		at   time.Duration
		text string
		do   func() error
	}
	var steps []step
	for _, e := range list {
		k := kinds[e.kind]
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
