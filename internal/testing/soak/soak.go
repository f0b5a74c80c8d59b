// Package soak runs the daemons of the users' platform as separate processes in front
// of a group of stand-in endpoints, injects faults from outside the processes, and
// checks the daemons' guarantees by what callers, operators and endpoints observe.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"hemlockmast/internal/shared/wait"
	"hemlockmast/platform/standin"
)

const (
	// publishPause is the pause between two published configurations.
	publishPause = 400 * time.Millisecond
	// recoveryTimeout bounds the time from the end of the faults until every entry
	// serves all read levels and has the newest configuration.
	recoveryTimeout = 15 * time.Second
	// routeTimeoutMs is the statement timeout and stalenessMs the staleness limit of the
	// routes in the configurations, in milliseconds.
	routeTimeoutMs, stalenessMs = 800, 1500
)

// Config describes one run.
type Config struct {
	// Binary is the path of hemlockmastd. Folder is an empty folder for the daemons'
	// settings files, data folders and logs.
	Binary, Folder string
	Seed           uint64
	// Length is the period in which faults begin; the last ones end after it.
	Length time.Duration
	// Promotions selects faults around promotions of several services. Large has most of
	// the processes that a shared machine bears.
	Promotions, Large bool
	// Stops selects planned stops only, of several daemons at once.
	Stops bool
}

// Result is the outcome of a run.
type Result struct {
	Counts Counts
	// Configuration is the version of the newest acknowledged configuration.
	Configuration uint64
	// Promotions is the number of promotions that took effect.
	Promotions int
	// Schedule lists the faults in the order in which they began and ended.
	Schedule []string
	// Broken describes each violation of a guarantee. It is empty in a good run.
	Broken []string
}

// Run injects the faults of one schedule. An error means that the run itself failed;
// violated guarantees are in Result.Broken.
func Run(ctx context.Context, cfg Config) (Result, error) {
	f, err := startFleet(cfg)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	working, stop := context.WithCancel(ctx)
	defer stop()
	w := newWriteHistory()
	o := &operator{fleet: f, history: w, client: &http.Client{Timeout: time.Second}}
	var background sync.WaitGroup
	background.Go(func() { f.announce(working) })
	background.Go(func() { f.announceForeign(working, cfg.Seed) })
	if err := o.publishFirst(ctx); err != nil {
		return Result{}, err
	}
	background.Go(func() { o.publishLoop(working) })
	background.Go(func() { o.checkVersions(working) })
	calling, stopCalling := context.WithCancel(working)
	defer stopCalling()
	var calls sync.WaitGroup
	for i := range f.callers {
		c := &caller{fleet: f, history: w, number: i, service: i % f.services, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(i)))}
		calls.Go(func() { c.run(calling) })
	}
	var played []string
	err = inject(ctx, f, schedule(cfg), func(text string) {
		f.noteEvent(text)
		played = append(played, text)
	})
	wait.For(ctx, time.Until(f.platform.BusyUntil()))
	f.background.Wait()
	if err == nil {
		o.checkRecovery(ctx)
	}
	stopCalling()
	calls.Wait()
	stop()
	background.Wait()
	result := Result{Counts: w.counts, Configuration: o.newestAcknowledged, Schedule: played}
	for i, g := range f.groups {
		result.Promotions += len(g.Promotions())
		w.checkPromotions(g.Promotions())
		if g.Primary() == nil {
			w.recordViolation("service %s has no primary at the end", g.Service)
			continue
		}
		w.checkCommits(g.Commits(), func(item string) bool {
			number, err := strconv.Atoi(strings.TrimPrefix(item, "item"))
			return err == nil && number%f.services == i
		})
	}
	result.Broken = w.violations
	return result, err
}

// operator publishes configurations and checks that acknowledged ones are kept and reach
// all daemons.
type operator struct {
	fleet   *fleet
	history *history
	client  *http.Client

	// mu guards the fields below.
	mu sync.Mutex
	// newestAcknowledged is the newest acknowledged version, newestSent the newest sent one.
	newestAcknowledged, newestSent uint64
}

func (o *operator) acknowledgedVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newestAcknowledged
}

// NotReadyError reports that no control daemon acknowledged the first configuration
// within readyTimeout.
type NotReadyError struct{}

func (*NotReadyError) Error() string { return "first configuration was not acknowledged in time" }

func (o *operator) publishFirst(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if o.publishVersion(0, 1) {
			return nil
		}
	}
	return &NotReadyError{}
}

// publishVersion publishes a version through one control daemon and reports whether it
// was acknowledged.
func (o *operator) publishVersion(control int, version uint64) bool {
	body := standin.Levels(int(version), routeTimeoutMs, stalenessMs, o.fleet.connectionLimit, o.fleet.serviceNames()...)
	o.mu.Lock()
	o.newestSent = max(o.newestSent, version)
	o.mu.Unlock()
	status, answer := o.fleet.call(o.client, control, http.MethodPost, standin.PublishPath, body)
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		o.history.recordViolation("valid configuration %d was refused with %d: %s", version, status, answer)
	}
	if status != http.StatusOK {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newestAcknowledged = max(o.newestAcknowledged, version)
	return true
}

// publishLoop publishes ascending versions. It retries each through random control daemons
// until it is acknowledged, and also sends an older version after every fifth.
func (o *operator) publishLoop(ctx context.Context) {
	version := o.acknowledgedVersion()
	for ctx.Err() == nil {
		version++
		for ctx.Err() == nil && !o.publishVersion(rand.IntN(o.fleet.controls), version) {
			time.Sleep(publishPause / 4)
		}
		if version%5 == 0 {
			o.publishVersion(rand.IntN(o.fleet.controls), version-3)
		}
		time.Sleep(publishPause)
	}
}

var versionField = regexp.MustCompile(`"Version":(\d+)`)

// publishedVersion returns the version that a control daemon returns to a read.
func (o *operator) publishedVersion(control int) (version uint64, ok bool) {
	status, body := o.fleet.call(o.client, control, http.MethodGet, standin.ReadPath, "")
	if status != http.StatusOK {
		return 0, false
	}
	found := versionField.FindStringSubmatch(body)
	if found == nil {
		o.history.recordViolation("control %d answered a read of the configuration with %q", control, body)
		return 0, false
	}
	version, err := strconv.ParseUint(found[1], 10, 64)
	return version, err == nil
}

// checkVersions polls the configuration of every control daemon and the version in force
// at every entry. A control daemon must not return a version older than one acknowledged
// before the read. An entry must not return to an older version while its process lives.
func (o *operator) checkVersions(ctx context.Context) {
	type key struct{ entry, generation int }
	inForce := make(map[key]uint64)
	for ctx.Err() == nil {
		for i := range o.fleet.controls {
			before := o.acknowledgedVersion()
			if version, ok := o.publishedVersion(i); ok && version < before {
				o.history.recordViolation("control %d answered with configuration %d after %d was acknowledged", i, version, before)
			}
		}
		for i := range o.fleet.entries {
			k := key{i, o.fleet.process(entryName(i)).generation}
			version, ok := o.inForceAt(ctx, i)
			if !ok || k.generation != o.fleet.process(entryName(i)).generation {
				continue
			}
			if version < inForce[k] {
				o.history.recordViolation("entry %d went back from configuration %d to %d", i, inForce[k], version)
			}
			inForce[k] = version
		}
		time.Sleep(50 * time.Millisecond)
	}
}

var revisionLine = regexp.MustCompile(`(?m)^hemlockmast_config_revision (\S+)$`)

// inForceAt returns the version in force at an entry, from its metrics.
func (o *operator) inForceAt(ctx context.Context, i int) (version uint64, ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.fleet.address(entryNetwork, i, 2)+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	found := revisionLine.FindStringSubmatch(string(body))
	if err != nil || found == nil {
		return 0, false
	}
	revision, err := strconv.ParseFloat(found[1], 64)
	return uint64(revision), err == nil
}

// checkRecovery waits until the system has recovered after the last fault, and records a
// violation if that takes longer than recoveryTimeout.
func (o *operator) checkRecovery(ctx context.Context) {
	end := time.Now().Add(recoveryTimeout)
	unrecovered := "nothing was looked at"
	for time.Now().Before(end) && ctx.Err() == nil {
		if unrecovered = o.unrecovered(ctx); unrecovered == "" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.history.recordViolation("%s, %s after the last fault", unrecovered, recoveryTimeout)
}

// unrecovered describes the first daemon that has not recovered, or returns "".
func (o *operator) unrecovered(ctx context.Context) string {
	wanted := o.acknowledgedVersion()
	for i := range o.fleet.controls {
		if version, ok := o.publishedVersion(i); !ok || version < wanted {
			return fmt.Sprintf("control %d does not answer with configuration %d", i, wanted)
		}
	}
	found := make([]string, o.fleet.entries)
	var wait sync.WaitGroup
	for i := range o.fleet.entries {
		wait.Go(func() { found[i] = o.unrecoveredEntry(ctx, i, wanted) })
	}
	wait.Wait()
	return cmp.Or(found...)
}

// unrecoveredEntry is unrecovered for one entry and the configuration wanted.
func (o *operator) unrecoveredEntry(ctx context.Context, i int, wanted uint64) string {
	if version, ok := o.inForceAt(ctx, i); !ok || version < wanted {
		return fmt.Sprintf("entry %d does not run configuration %d", i, wanted)
	}
	for _, service := range o.fleet.serviceNames() {
		for _, level := range []string{"current", "session", "bounded"} {
			if answer := o.probe(i, service, level); answer != "" {
				return fmt.Sprintf("entry %d for %s at level %s answers %s", i, service, level, answer)
			}
		}
	}
	return ""
}

// probe writes and reads once through an entry. It returns the error, or "".
func (o *operator) probe(i int, service, level string) string {
	c, err := standin.Open(o.fleet.address(entryNetwork, i, 0), standin.Database(service, level), openTimeout)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	for n, text := range []string{"STORE probe x", "FETCH probe"} {
		a, err := c.Query(fmt.Sprintf("probe%d-%d-%d", i, n, rand.Uint64()), text, queryTimeout)
		if err != nil {
			return err.Error()
		}
		if a.Code != "" {
			return a.Code + " to " + text
		}
	}
	return ""
}
