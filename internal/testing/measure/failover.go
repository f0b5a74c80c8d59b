package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/testing/devcluster"
	"hemlockmast/internal/testing/standin"
)

const (
	// writePause is the time between two writes of one caller.
	writePause = 5 * time.Millisecond
	// callerDeadline is the deadline of each write.
	callerDeadline = 2 * time.Second
	// beforeFault and afterFault bound the time in which callers write.
	beforeFault = 300 * time.Millisecond
	afterFault  = 4 * time.Second
	// callersPerDaemon write during a failover.
	callersPerDaemon = 4
)

// Ways in which a primary is taken away.
const (
	FaultKill   = "kill"
	FaultFreeze = "freeze"
	FaultCut    = "cut"
)

// FailoverConfig describes a failover experiment.
type FailoverConfig struct {
	// Folder holds the service files; the first group is the one that fails.
	Folder string
	// Daemons is the number of daemons in each failure domain.
	Daemons int
	// Delay is one way, between daemons and to endpoints.
	Delay time.Duration
	Fault string
	Runs  int
	// DataFolder is used for the control daemons' state.
	DataFolder string
}

// FailoverResult is what callers saw. Gaps are the longest time between two
// acknowledged writes of a caller, one for each caller and run.
type FailoverResult struct {
	Fault        string  `json:"fault"`
	Runs         int     `json:"runs"`
	Callers      int     `json:"callers"`
	Acknowledged int     `json:"acknowledged"`
	Lost         int     `json:"lost"`
	Doubled      int     `json:"doubled"`
	NotRun       int     `json:"not_run"`
	Unknown      int     `json:"unknown"`
	P50          float64 `json:"gap_p50_ms"`
	P99          float64 `json:"gap_p99_ms"`
	Max          float64 `json:"gap_max_ms"`
}

// String returns the result as one line.
func (r FailoverResult) String() string {
	return fmt.Sprintf("%s: %d runs, %d callers, gap p50 %.0f ms, p99 %.0f ms, max %.0f ms; %d acknowledged, %d lost, %d doubled, %d not run, %d unknown",
		r.Fault, r.Runs, r.Callers, r.P50, r.P99, r.Max, r.Acknowledged, r.Lost, r.Doubled, r.NotRun, r.Unknown)
}

// RunFailover starts a cluster for each run, takes the primary away and adds up
// what callers saw.
func RunFailover(ctx context.Context, cfg FailoverConfig) (FailoverResult, error) {
	result := FailoverResult{Fault: cfg.Fault, Runs: cfg.Runs}
	var gaps []time.Duration
	for i := range cfg.Runs {
		runGaps, err := failoverOnce(ctx, cfg, i, &result)
		if err != nil {
			return result, err
		}
		gaps = append(gaps, runGaps...)
	}
	slices.Sort(gaps)
	result.Callers = len(gaps)
	result.P50 = milliseconds(quantile(gaps, 50))
	result.P99 = milliseconds(quantile(gaps, 99))
	result.Max = milliseconds(quantile(gaps, 100))
	return result, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile returns the smallest value that percent of the sorted list does not
// exceed.
func quantile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, (len(sorted)*percent+99)/100-1)]
}

func failoverOnce(ctx context.Context, cfg FailoverConfig, run int, result *FailoverResult) ([]time.Duration, error) {
	c, err := devcluster.Start(ctx, devcluster.Config{
		Folders: []string{cfg.Folder}, DaemonsPerDomain: cfg.Daemons, Control: 3,
		DataFolder: fmt.Sprintf("%s/%d", cfg.DataFolder, run), Delay: cfg.Delay,
		ConnectDelay: 10 * time.Millisecond, ReplicationLag: cfg.Delay, DrainTimeout: time.Second,
		Log: logr.Discard(),
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	e, err := newExperiment(ctx, c)
	if err != nil {
		return nil, err
	}
	callers := e.startCallers(ctx, c)
	time.Sleep(beforeFault)
	if err := e.strike(cfg.Fault); err != nil {
		return nil, err
	}
	time.Sleep(afterFault)
	e.stop.Store(true)
	e.wg.Wait()
	if err := e.count(ctx, c, callers, result); err != nil {
		return nil, err
	}
	gaps := make([]time.Duration, len(callers))
	for i, w := range callers {
		gaps[i] = w.gap
	}
	return gaps, nil
}

// experiment is one run on one group.
type experiment struct {
	group    string
	user, db string
	slots    map[string]*standin.Endpoint
	stop     atomic.Bool
	wg       sync.WaitGroup
}

// newExperiment makes the table and waits until writes are acknowledged.
func newExperiment(ctx context.Context, c *devcluster.Cluster) (*experiment, error) {
	s := c.Configuration.Services[0]
	e := &experiment{group: s.Group, user: s.Users[0], db: s.Databases[0], slots: c.Endpoints[s.Group]}
	conn, err := pgx.Connect(ctx, e.url(c.Daemons[0]))
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close(ctx) }()
	for {
		_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS measured (k text PRIMARY KEY, v int)")
		if err == nil {
			_, err = conn.Exec(ctx, insert("warm"))
		}
		if err == nil || ctx.Err() != nil {
			return e, err
		}
		time.Sleep(writePause)
	}
}

func (e *experiment) url(d *devcluster.Daemon) string {
	return fmt.Sprintf("postgres://%s@%s/%s?hemlock.deadline=%s", e.user, d.CallerAddr(), e.db, callerDeadline)
}

// insert returns a write that may be resent.
func insert(k string) string {
	return fmt.Sprintf("/*hemlock request_id=%s*/ INSERT INTO measured (k, v) VALUES ('%s', 1)", k, k)
}

// strike takes the primary away.
func (e *experiment) strike(fault string) error {
	for _, ep := range e.slots {
		if ep.Status().Role != endpoint.RolePrimary {
			continue
		}
		switch fault {
		case FaultKill:
			ep.Kill()
		case FaultFreeze:
			ep.Freeze()
		case FaultCut:
			ep.Cut("*", standin.Both)
		default:
			return &FaultError{Fault: fault}
		}
		return nil
	}
	return &FaultError{Fault: fault}
}

// FaultError reports a fault that cannot be made to happen.
type FaultError struct{ Fault string }

func (e *FaultError) Error() string {
	return fmt.Sprintf("fault %q is unknown or has no primary", e.Fault)
}

// writeCaller writes rows one after the other.
type writeCaller struct {
	name            string
	url             string
	conn            *pgx.Conn
	done            []string
	gap             time.Duration
	notRun, unknown int
}

func (e *experiment) startCallers(ctx context.Context, c *devcluster.Cluster) []*writeCaller {
	var callers []*writeCaller
	for _, d := range c.Daemons {
		for i := range callersPerDaemon {
			w := &writeCaller{name: fmt.Sprintf("%s-%d", d.Name, i), url: e.url(d)}
			callers = append(callers, w)
			e.wg.Go(func() { w.run(ctx, &e.stop) })
		}
	}
	return callers
}

func (w *writeCaller) run(ctx context.Context, stop *atomic.Bool) {
	var last time.Time
	for i := 0; !stop.Load() && ctx.Err() == nil; i++ {
		k := fmt.Sprintf("%s-%d", w.name, i)
		if err := w.write(ctx, k); err != nil {
			w.countError(err)
			continue
		}
		now := time.Now()
		if !last.IsZero() {
			w.gap = max(w.gap, now.Sub(last))
		}
		last = now
		w.done = append(w.done, k)
		time.Sleep(writePause)
	}
	if !last.IsZero() {
		w.gap = max(w.gap, time.Since(last))
	}
}

func (w *writeCaller) write(ctx context.Context, k string) error {
	if w.conn == nil || w.conn.IsClosed() {
		conn, err := pgx.Connect(ctx, w.url)
		if err != nil {
			return err
		}
		w.conn = conn
	}
	_, err := w.conn.Exec(ctx, insert(k))
	return err
}

func (w *writeCaller) countError(err error) {
	if isNotRun(err) {
		w.notRun++
		return
	}
	w.unknown++
}

// count adds a run to the result. Rows are read at the new primary itself.
func (e *experiment) count(ctx context.Context, c *devcluster.Cluster, callers []*writeCaller, result *FailoverResult) error {
	conn, err := pgx.Connect(ctx, e.url(c.Daemons[len(c.Daemons)-1]))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	rows, err := conn.Query(ctx, "SELECT k FROM measured")
	if err != nil {
		return err
	}
	keys, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		return err
	}
	seen := make(map[string]int, len(keys))
	for _, k := range keys {
		seen[k]++
	}
	for _, w := range callers {
		result.NotRun += w.notRun
		result.Unknown += w.unknown
		result.Acknowledged += len(w.done)
		for _, k := range w.done {
			switch {
			case seen[k] == 0:
				result.Lost++
			case seen[k] > 1:
				result.Doubled++
			}
		}
	}
	return nil
}
