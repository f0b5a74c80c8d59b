package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"hemlockmast/platform/standin"
)

const (
	// settleTime is the time from the first configuration to the first series, in which
	// the control group records the primaries.
	settleTime = 1500 * time.Millisecond
	// minSeriesGap and maxSeriesGap bound the time between the starts of two series of
	// faults around promotions. Series overlap.
	minSeriesGap = 2 * time.Second
	maxSeriesGap = 6 * time.Second
	// maxCarryOutAfter is how late the platform carries out a call that it did not answer,
	// and an endpoint an order.
	maxCarryOutAfter = 12 * time.Second
	minOrderDelay    = 2 * time.Second
	minEffectAfter   = 300 * time.Millisecond
	maxEffectAfter   = 900 * time.Millisecond
	// drainTime is the least time that an endpoint serves after it announced that it
	// leaves, and maxDrainTime the longest that it waits to be replaced as the primary.
	drainTime    = 1500 * time.Millisecond
	maxDrainTime = 20 * time.Second
	// minDetection and maxDetection bound the time from the cut of a primary until its
	// promotion is under way.
	minDetection = 1200 * time.Millisecond
	maxDetection = 2400 * time.Millisecond
	// leaderTimeout bounds the search for the leader of the control group.
	leaderTimeout = 300 * time.Millisecond
	// joinTime is the time from the start of a new control VM to the stop of the one that
	// it replaces, and diskLossDelay the time from that to the loss of another disk.
	joinTime      = 2500 * time.Millisecond
	diskLossDelay = 5 * time.Second
)

// promotionDraw draws the faults of a run with promotions.
type promotionDraw struct {
	*rand.Rand
	size  size
	steps []step
}

// newPromotionDraw returns a draw with the run's seed. stream tells those of a run apart.
func newPromotionDraw(cfg Config, stream uint64) *promotionDraw {
	return &promotionDraw{Rand: rand.New(rand.NewPCG(cfg.Seed, stream)), size: cfg.size()}
}

// promotionSteps returns series of faults around promotions, drawn with the run's seed.
func promotionSteps(cfg Config) []step {
	d := newPromotionDraw(cfg, 3)
	for at := settleTime; at < cfg.Length; at += d.between(minSeriesGap, maxSeriesGap) {
		if d.isOneOf(2) {
			d.supersede(at)
			at += minSeriesGap
		} else {
			d.series(at)
		}
	}
	if at := cfg.Length / 4; d.isOneOf(2) && cfg.Length > at+joinTime+diskLossDelay {
		d.replaceControl(at)
	}
	return d.steps
}

func (d *promotionDraw) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.Int64N(int64(high-low)))
}

// isOneOf is true once in n draws.
func (d *promotionDraw) isOneOf(n int) bool { return d.IntN(n) == 0 }

// add adds a fault whose begin chooses its target, describes it and returns its end.
func (d *promotionDraw) add(at, length time.Duration, kind string, begin func(f *fleet) (target string, end func() error)) {
	var end func() error
	text := fmt.Sprintf("%6.2f s %s for %.2f s", at.Seconds(), kind, length.Seconds())
	d.steps = append(d.steps,
		step{at, "begin " + text, func(f *fleet) (target string, _ error) {
			target, end = begin(f)
			return target, nil
		}},
		step{at + length, "end   " + text, func(*fleet) (string, error) {
			if end == nil {
				return "", nil
			}
			return "", end()
		}})
}

// series draws faults that hit promotions of some services at about the same time.
func (d *promotionDraw) series(at time.Duration) {
	for _, service := range d.Perm(d.size.services)[:1+d.IntN(d.size.services)] {
		d.trigger(at+d.between(0, 300*time.Millisecond), service)
		d.hinder(at, service)
	}
	if !d.isOneOf(3) {
		d.add(at, d.between(time.Second, 5*time.Second), "calls to the platform disturbed", func(f *fleet) (string, func() error) {
			f.disturbances.Add(1)
			return "", func() error { f.disturbances.Add(-1); return nil }
		})
	}
	at += d.between(100*time.Millisecond, 2500*time.Millisecond)
	for k := 4; d.IntN(5) < k; k -= 2 {
		d.disturbLeader(at)
		at += d.between(500*time.Millisecond, 2*time.Second)
	}
}

// supersede pauses the leader in the middle of promotions that fail since it does not reach
// a replica, so that another daemon promotes before the leader goes on. The primaries are
// cut off from control only, and go on acknowledging.
func (d *promotionDraw) supersede(at time.Duration) {
	for service := range d.size.services {
		d.changeNode(at, d.between(5*time.Second, 8*time.Second), "primary cut off from control", service, primaryOf,
			func(faults *standin.Faults, isOn bool) { setSilentTo(faults, "control-", isOn) })
		d.cutFromLeader(at, d.between(4*time.Second, 7*time.Second), service, replicaOf(d.IntN(endpointCount)))
	}
	d.pauseLeader(at+d.between(minDetection, maxDetection), d.between(700*time.Millisecond, 2500*time.Millisecond))
}

// trigger draws a reason to replace the primary of a service.
func (d *promotionDraw) trigger(at time.Duration, service int) {
	switch k := d.IntN(10); {
	case k < 5:
		d.changeNode(at, d.between(2*time.Second, 7*time.Second), "primary cut off from control", service, primaryOf,
			func(faults *standin.Faults, isOn bool) { setSilentTo(faults, "control-", isOn) })
	case k < 7:
		d.restartNode(at, d.between(time.Second, 4*time.Second), "primary down", service, primaryOf)
	case k < 9:
		d.release(at, "primary released", service, primaryOf)
	default:
		d.release(at, "replica released", service, replicaOf(d.IntN(endpointCount)))
	}
}

// hinder draws faults of the replicas of a service.
func (d *promotionDraw) hinder(at time.Duration, service int) {
	replica := func() choice { return replicaOf(d.IntN(endpointCount)) }
	if d.isOneOf(3) {
		delay := d.between(minOrderDelay, maxCarryOutAfter)
		d.changeNode(at, d.between(300*time.Millisecond, 4*time.Second), fmt.Sprintf("orders carried out %.1f s later", delay.Seconds()), service,
			nodeOf(d.IntN(endpointCount)), func(faults *standin.Faults, isOn bool) {
				faults.OrdersAfter = 0
				if isOn {
					faults.OrdersAfter = delay
				}
			})
	}
	if d.isOneOf(3) {
		d.changeNode(at, d.between(500*time.Millisecond, 4*time.Second), "replica deaf", service, replica(),
			func(faults *standin.Faults, isOn bool) { faults.Deaf = isOn })
	}
	if d.isOneOf(4) {
		d.restartNode(at+d.between(200*time.Millisecond, 2500*time.Millisecond), d.between(100*time.Millisecond, time.Second), "replica restarted", service, replica())
	}
	if d.isOneOf(2) {
		d.cutFromLeader(at, d.between(time.Second, 5*time.Second), service, replica())
	}
}

// choice chooses an endpoint of a service.
type choice func(g *standin.Group) *standin.Node

// primaryOf chooses the primary, or the first endpoint without one.
func primaryOf(g *standin.Group) *standin.Node {
	if p := g.Primary(); p != nil {
		return p
	}
	return g.Nodes()[0]
}

func nodeOf(i int) choice { return func(g *standin.Group) *standin.Node { return g.Nodes()[i] } }

// replicaOf chooses endpoint i, or the next one if that is the primary.
func replicaOf(i int) choice {
	return func(g *standin.Group) *standin.Node {
		if g.Nodes()[i] == g.Primary() {
			i = (i + 1) % endpointCount
		}
		return g.Nodes()[i]
	}
}

// setSilentTo adds a prefix to faults.SilentTo or takes it out once. Overlapping faults may
// add the same one.
func setSilentTo(faults *standin.Faults, prefix string, isOn bool) {
	list := slices.Clone(faults.SilentTo)
	if isOn {
		list = append(list, prefix)
	} else if i := slices.Index(list, prefix); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	faults.SilentTo = list
}

func (d *promotionDraw) changeNode(at, length time.Duration, kind string, service int, choose choice, change func(faults *standin.Faults, isOn bool)) {
	d.add(at, length, kind, func(f *fleet) (string, func() error) {
		n := choose(f.groups[service])
		n.Change(func(faults *standin.Faults) { change(faults, true) })
		id, _ := n.Identity()
		return id, func() error {
			n.Change(func(faults *standin.Faults) { change(faults, false) })
			return nil
		}
	})
}

// cutFromLeader cuts an endpoint off from the daemon that leads the control group.
func (d *promotionDraw) cutFromLeader(at, length time.Duration, service int, choose choice) {
	d.add(at, length, "replica cut off from the leader", func(f *fleet) (string, func() error) {
		leader, ok := f.leader()
		if !ok {
			return "no leader", nil
		}
		n := choose(f.groups[service])
		n.Change(func(faults *standin.Faults) { setSilentTo(faults, leader, true) })
		id, _ := n.Identity()
		return id + " from " + leader, func() error {
			n.Change(func(faults *standin.Faults) { setSilentTo(faults, leader, false) })
			return nil
		}
	})
}

// restartNode ends an endpoint's process and starts it again with its log.
func (d *promotionDraw) restartNode(at, length time.Duration, kind string, service int, choose choice) {
	d.add(at, length, kind, func(f *fleet) (string, func() error) {
		n := choose(f.groups[service])
		if !f.claim(n) {
			return "ends already", nil
		}
		id, _ := n.Identity()
		f.endNode(n)
		return id, func() error { return f.startNode(n, id) }
	})
}

// release replaces an endpoint as planned: it announces that it leaves, serves until it
// is not the primary, ends, and a new one starts at its address with its log.
func (d *promotionDraw) release(at time.Duration, kind string, service int, choose choice) {
	gap := d.between(100*time.Millisecond, time.Second)
	d.add(at, 0, kind, func(f *fleet) (string, func() error) {
		g := f.groups[service]
		n := choose(g)
		if f.isReleasing(g) || !f.claim(n) {
			return "ends already", nil
		}
		f.setLeaving(n, true)
		f.background.Go(func() {
			if err := f.finishRelease(g, n, gap); err != nil {
				f.noteEvent("release failed: " + err.Error())
			}
		})
		id, _ := n.Identity()
		return id, nil
	})
}

func (f *fleet) isReleasing(g *standin.Group) bool {
	for _, n := range g.Nodes() {
		if f.isLeaving(n) {
			return true
		}
	}
	return false
}

// finishRelease ends a leaving endpoint and starts its replacement after gap.
func (f *fleet) finishRelease(g *standin.Group, n *standin.Node, gap time.Duration) error {
	started := time.Now()
	standin.WaitFor(maxDrainTime, func() bool { return time.Since(started) > drainTime && g.Primary() != n })
	id, _ := n.Identity()
	client := &http.Client{Timeout: time.Second}
	for i := range f.controls {
		if f.callFrom(n, client, i, standin.LeavePath(id), "") == http.StatusOK {
			break
		}
	}
	f.noteEvent("end of released " + id)
	f.endNode(n)
	time.Sleep(gap)
	f.setLeaving(n, false)
	return f.startNode(n, id+"r")
}

// claim reserves an endpoint's process for a fault that ends it, until startNode. It
// returns false if it is reserved already.
func (f *fleet) claim(n *standin.Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.claimed[n] {
		return false
	}
	f.claimed[n] = true
	return true
}

// endNode ends an endpoint's process. Nothing listens at its address then.
func (f *fleet) endNode(n *standin.Node) {
	f.linkOf(n).close()
	n.Change(func(faults *standin.Faults) { faults.Down = true })
}

func (f *fleet) startNode(n *standin.Node, id string) error {
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.claimed, n)
	}()
	n.Restart(id)
	return f.linkOf(n).reopen()
}

func (f *fleet) linkOf(n *standin.Node) *link {
	for i, other := range f.nodes {
		if other == n {
			return f.links[i]
		}
	}
	return nil
}

// disturbLeader pauses or kills the daemon that leads the control group.
func (d *promotionDraw) disturbLeader(at time.Duration) {
	if d.IntN(4) > 0 {
		d.pauseLeader(at, d.between(300*time.Millisecond, 3*time.Second))
		return
	}
	d.add(at, d.between(200*time.Millisecond, 2*time.Second), "control leader killed", func(f *fleet) (string, func() error) {
		leader, ok := f.leader()
		if !ok {
			return "no leader", nil
		}
		f.stop(leader, syscall.SIGKILL)
		return leader, func() error { return f.restart(leader) }
	})
}

func (d *promotionDraw) pauseLeader(at, length time.Duration) {
	d.add(at, length, "control leader paused", func(f *fleet) (string, func() error) {
		leader, ok := f.leader()
		if !ok {
			return "no leader", nil
		}
		f.signal(leader, syscall.SIGSTOP)
		return leader, func() error { f.signal(leader, syscall.SIGCONT); return nil }
	})
}

// leader returns the name of the daemon that says in its metrics that it leads the control
// group.
func (f *fleet) leader() (name string, ok bool) {
	client := &http.Client{Timeout: leaderTimeout}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range f.controls {
		wait.Go(func() {
			response, err := client.Get("http://" + f.address(controlNetwork, f.vm(i), 0) + "/metrics")
			if err != nil {
				return
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err == nil && strings.Contains(string(body), "\nhemlockmast_control_leads 1\n") {
				mu.Lock()
				defer mu.Unlock()
				name, ok = f.control(i), true
			}
		})
	}
	wait.Wait()
	return name, ok
}

// drawCall draws what the platform does with a call. The platform runs one at a time.
func (f *fleet) drawCall() standin.CallFault {
	between := f.calls.between
	fault := standin.CallFault{EffectAfter: between(minEffectAfter, maxEffectAfter)}
	if f.disturbances.Load() == 0 {
		return fault
	}
	switch k := f.calls.IntN(10); {
	case k < 4:
		fault.Unanswered, fault.CarryOutAfter = true, between(0, maxCarryOutAfter)
	case k < 6:
		fault.AnswerAfter = between(200*time.Millisecond, 3*time.Second)
	case k < 7:
		fault.Status = http.StatusTooManyRequests
	case k < 8:
		fault.Status = http.StatusServiceUnavailable
	case k < 9:
		fault.Reset = true
	}
	return fault
}

// replaceControl replaces a control VM as planned: a new one joins and the old one is
// stopped for good. Later another one loses its disk.
func (d *promotionDraw) replaceControl(at time.Duration) {
	replaced := d.IntN(d.size.controls)
	wiped := (replaced + 1 + d.IntN(d.size.controls-1)) % d.size.controls
	number := d.size.controls
	d.add(at, joinTime, "control VM replaced", func(f *fleet) (string, func() error) {
		s := f.controlSettings(number, false)
		s.FailureDomain = domain(replaced)
		if err := f.start(s); err != nil {
			return err.Error(), nil
		}
		return f.control(replaced) + " by " + s.Name, func() error { return f.retireControl(replaced, number) }
	})
	d.add(at+joinTime+diskLossDelay, d.between(300*time.Millisecond, 2*time.Second), "control's disk lost after the replacement",
		func(f *fleet) (string, func() error) {
			if err := loseDisk(f, wiped); err != nil {
				return err.Error(), nil
			}
			return f.control(wiped), func() error { return restartControl(f, wiped) }
		})
}

// retireControl stops control daemon i for good; the one on the VM with the given number
// takes its place.
func (f *fleet) retireControl(i, number int) error {
	old := f.control(i)
	f.mu.Lock()
	f.controlVMs[i] = number
	f.mu.Unlock()
	f.background.Go(func() {
		f.stop(old, syscall.SIGTERM)
		if err := os.RemoveAll(f.process(old).settings.DataFolder); err != nil {
			f.noteEvent(err.Error())
		}
	})
	return nil
}
