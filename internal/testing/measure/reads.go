package measure

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/testing/devcluster"
	"hemlockmast/internal/testing/standin"
)

const (
	// writeEvery makes one of ten statements a write.
	writeEvery = 10
	// readsSettle lets replicas catch up before the measurement.
	readsSettle = time.Second
	// readsMetric is the counter of reads by target.
	readsMetric = "hemlockmast_reads_total"
)

// ReadsConfig describes an experiment on replica reads.
type ReadsConfig struct {
	Folder        string
	Daemons       int
	Delay         time.Duration
	Lag, ApplyLag time.Duration
	Sessions      int
	Duration      time.Duration
	// Named lets each statement of a session go to the next daemon, under the
	// session's id; otherwise a session stays on its connection.
	Named bool
}

// ReadsResult is the share of reads at replicas outside transactions.
type ReadsResult struct {
	Reads   int     `json:"reads"`
	Replica int     `json:"replica"`
	Percent float64 `json:"replica_percent"`
	Stale   int     `json:"stale"`
	Errors  int     `json:"errors"`
	// Possible counts reads for which a replica showed the session's writes at
	// the moment of the read.
	Possible int     `json:"possible"`
	ReadP50  float64 `json:"read_p50_ms"`
	ReadP99  float64 `json:"read_p99_ms"`
	WriteP50 float64 `json:"write_p50_ms"`
	WriteP99 float64 `json:"write_p99_ms"`
}

// String returns the result as one line.
func (r ReadsResult) String() string {
	return fmt.Sprintf("%d reads, %.2f %% at replicas, %.2f %% possible at once, %d stale, %d errors; read p50 %.2f ms p99 %.2f ms, write p50 %.2f ms p99 %.2f ms",
		r.Reads, r.Percent, 100*float64(r.Possible)/float64(max(1, r.Reads)), r.Stale, r.Errors, r.ReadP50, r.ReadP99, r.WriteP50, r.WriteP99)
}

// roamer is one session.
type roamer struct {
	conns         []*pgx.Conn
	key           string
	slots         map[string]*standin.Endpoint
	written       int
	stale, errors int
	// floor is the primary's position when the last write was acknowledged.
	floor logpos.Pos
	// possible counts reads for which some replica showed the floor at once.
	possible      int
	reads, writes []time.Duration
}

// RunReads measures on a cluster of its own. The service is the first of the
// folder whose undeclared statements are tried at replicas.
func RunReads(ctx context.Context, cfg ReadsConfig) (ReadsResult, error) {
	c, err := devcluster.Start(ctx, devcluster.Config{
		Folders: []string{cfg.Folder}, DaemonsPerDomain: cfg.Daemons, Delay: cfg.Delay,
		ConnectDelay: 10 * time.Millisecond, ReplicationLag: cfg.Lag, ApplyLag: cfg.ApplyLag,
		DrainTimeout: time.Second, Log: logr.Discard(),
	})
	if err != nil {
		return ReadsResult{}, err
	}
	defer func() { _ = c.Close() }()
	roamers, err := connectRoamers(ctx, c, cfg)
	if err != nil {
		return ReadsResult{}, err
	}
	time.Sleep(readsSettle)
	before, err := countReads(c)
	if err != nil {
		return ReadsResult{}, err
	}
	driveRoamers(ctx, roamers, cfg.Duration)
	after, err := countReads(c)
	if err != nil {
		return ReadsResult{}, err
	}
	return sumUp(roamers, after["replica"]-before["replica"], after["primary"]-before["primary"]), nil
}

// connectRoamers makes the table and opens each session's connections.
func connectRoamers(ctx context.Context, c *devcluster.Cluster, cfg ReadsConfig) ([]*roamer, error) {
	s := c.Configuration.Services[0]
	url := func(d *devcluster.Daemon) string {
		return fmt.Sprintf("postgres://%s@%s/%s?", s.Users[0], d.CallerAddr(), s.Databases[0])
	}
	setup, err := pgx.Connect(ctx, url(c.Daemons[0]))
	if err != nil {
		return nil, err
	}
	defer func() { _ = setup.Close(ctx) }()
	for {
		_, err = setup.Exec(ctx, "/*hemlock access=write*/ CREATE TABLE IF NOT EXISTS measured (k text PRIMARY KEY, v int)")
		if err == nil || ctx.Err() != nil {
			break
		}
		time.Sleep(writePause)
	}
	if err != nil {
		return nil, err
	}
	roamers := make([]*roamer, cfg.Sessions)
	for i := range roamers {
		r := &roamer{key: fmt.Sprintf("session-%d", i), slots: c.Endpoints[s.Group]}
		roamers[i] = r
		daemons := c.Daemons[i%len(c.Daemons) : i%len(c.Daemons)+1]
		params := ""
		if cfg.Named {
			daemons = c.Daemons
			params = "hemlock.session_id=" + r.key
		}
		for _, d := range daemons {
			conn, err := pgx.Connect(ctx, url(d)+params)
			if err != nil {
				return nil, err
			}
			r.conns = append(r.conns, conn)
		}
		insert := "/*hemlock access=write*/ INSERT INTO measured (k, v) VALUES ('" + r.key + "', 0)"
		if _, err := r.conns[0].Exec(ctx, insert); err != nil {
			return nil, err
		}
	}
	return roamers, nil
}

func driveRoamers(ctx context.Context, roamers []*roamer, d time.Duration) {
	var stop atomic.Bool
	timer := time.AfterFunc(d, func() { stop.Store(true) })
	defer timer.Stop()
	var wg sync.WaitGroup
	for _, r := range roamers {
		wg.Go(func() {
			for i := 0; !stop.Load() && ctx.Err() == nil; i++ {
				r.step(ctx, r.conns[i%len(r.conns)], i)
				time.Sleep(writePause)
			}
			for _, conn := range r.conns {
				_ = conn.Close(ctx)
			}
		})
	}
	wg.Wait()
}

// step reads the session's own row, or writes it.
func (r *roamer) step(ctx context.Context, conn *pgx.Conn, i int) {
	began := time.Now()
	if i%writeEvery == writeEvery-1 {
		sql := fmt.Sprintf("/*hemlock access=write*/ UPDATE measured SET v = %d WHERE k = '%s'", r.written+1, r.key)
		if _, err := conn.Exec(ctx, sql); err != nil {
			r.errors++
			return
		}
		r.written++
		r.floor = r.primaryPosition()
		r.writes = append(r.writes, time.Since(began))
		return
	}
	if r.canRead() {
		r.possible++
	}
	var v int
	sql := fmt.Sprintf("/*hemlock access=read*/ SELECT v FROM measured WHERE k = '%s'", r.key)
	if err := conn.QueryRow(ctx, sql).Scan(&v); err != nil {
		r.errors++
		return
	}
	if v < r.written {
		r.stale++
	}
	r.reads = append(r.reads, time.Since(began))
}

// primaryPosition returns the end of the primary's log, which is at or past the
// session's last write.
func (r *roamer) primaryPosition() logpos.Pos {
	var pos logpos.Pos
	for _, e := range r.slots {
		if st := e.Status(); st.Role == endpoint.RolePrimary {
			pos = logpos.Max(pos, st.Synced)
		}
	}
	return pos
}

// canRead reports whether a router with perfect knowledge would find a replica
// that shows the session's writes now.
func (r *roamer) canRead() bool {
	for _, e := range r.slots {
		st := e.Status()
		if st.Role == endpoint.RoleReplica && !st.Applied.Less(r.floor) {
			return true
		}
	}
	return false
}

func sumUp(roamers []*roamer, replica, primary int) ReadsResult {
	result := ReadsResult{Reads: replica + primary, Replica: replica}
	if result.Reads > 0 {
		result.Percent = 100 * float64(replica) / float64(result.Reads)
	}
	var reads, writes []time.Duration
	for _, r := range roamers {
		result.Stale += r.stale
		result.Errors += r.errors
		result.Possible += r.possible
		reads = append(reads, r.reads...)
		writes = append(writes, r.writes...)
	}
	slices.Sort(reads)
	slices.Sort(writes)
	result.ReadP50, result.ReadP99 = milliseconds(quantile(reads, 50)), milliseconds(quantile(reads, 99))
	result.WriteP50, result.WriteP99 = milliseconds(quantile(writes, 50)), milliseconds(quantile(writes, 99))
	return result
}

// countReads adds up the daemons' own counters of reads by target.
func countReads(c *devcluster.Cluster) (map[string]int, error) {
	totals := map[string]int{}
	for _, d := range c.Daemons {
		resp, err := http.Get(d.AdminURL() + "/metrics")
		if err != nil {
			return nil, err
		}
		scanner := bufio.NewScanner(resp.Body)
		for scanner.Scan() {
			addRead(totals, scanner.Text())
		}
		_ = resp.Body.Close()
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	return totals, nil
}

func addRead(totals map[string]int, line string) {
	if !strings.HasPrefix(line, readsMetric+"{") {
		return
	}
	n, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
	if err != nil {
		return
	}
	for _, target := range []string{"replica", "primary"} {
		if strings.Contains(line, `target="`+target+`"`) {
			totals[target] += int(n)
		}
	}
}
