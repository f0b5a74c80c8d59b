package driver

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"hemlockmast/internal/controlgroup/failover"
	"hemlockmast/internal/controlgroup/quorum"
	"hemlockmast/internal/endpointside/commitack"
	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/endpointside/endpoint/pgcontrol"
	"hemlockmast/internal/endpointside/suspect"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/testing/standin"
)

const (
	connectDelay      = 10 * time.Millisecond
	eventuallyTimeout = 20 * time.Second
)

// One-way delays between failure domains in the two deployments.
const (
	eisgrundDelay = 500 * time.Microsecond
	sankofaDelay  = 1500 * time.Microsecond
)

// slowConn delays each Write and Read by oneWay. That models the link's delay only
// if requests and answers alternate.
type slowConn struct {
	net.Conn
	oneWay time.Duration
}

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(c.oneWay)
	return c.Conn.Write(b)
}

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(c.oneWay)
	return n, err
}

func (c *cluster) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	time.Sleep(2 * c.oneWay)
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return slowConn{conn, c.oneWay}, nil
}

// cluster is one group of stand-in endpoints, a driver with observers in two
// failure domains, and a caller whose writes commitack confirms.
type cluster struct {
	t         testing.TB
	endpoints map[string]*standin.Endpoint
	oneWay    time.Duration
	driver    *Driver
	cancel    context.CancelFunc
	tasks     sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	primary  failover.Current
	acks     *commitack.Group
	outcomes map[commitack.ID]chan commitack.Outcome
	acked    []int
	conns    map[string]*pgx.Conn
	events   []Event
}

func newCluster(t testing.TB, oneWay time.Duration) *cluster {
	c := &cluster{t: t, oneWay: oneWay, endpoints: map[string]*standin.Endpoint{}, outcomes: map[commitack.ID]chan commitack.Outcome{}, conns: map[string]*pgx.Conn{}}
	current := failover.Current{Term: 1, Primary: "a"}
	for _, slot := range slots {
		cfg := standin.Config{Group: "g", Slot: slot, ConnectDelay: connectDelay, ReplicationLag: oneWay, Primary: slot == "a"}
		if slot != "a" {
			cfg.Follow = c.endpoints["a"].Addr()
		}
		e, err := standin.Start(cfg)
		assert.NilError(t, err)
		c.endpoints[slot] = e
		current.Members = append(current.Members, quorum.Member{Slot: slot, Incarnation: e.Status().Incarnation})
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	terms := newFakeTerms()
	terms.recordMembers("g", current.Members)
	timing := failover.DefaultTiming()
	timing.Follow = 100 * time.Millisecond // slots that follow later are corrected
	d, err := New(ctx, Config{
		PromotionTiming: timing,
		Promoter:        "p1", Connect: c.connect, Terms: terms, Confirmer: c, Announcer: c, Recorder: c,
		Address: func(_, slot string) (string, bool) { return c.endpoints[slot].Addr(), true },
	})
	assert.NilError(t, err)
	c.driver = d
	c.Announce("g", current)
	d.Add("g", current)
	for _, slot := range slots {
		for _, domain := range []string{"d1", "d2"} {
			o := &Observer{Name: domain, Domain: domain, Group: "g", Slot: slot, Connect: c.connect, Report: d.Report, Status: c.observe}
			c.tasks.Go(func() { o.Run(ctx) })
		}
	}
	return c
}

func (c *cluster) close() {
	c.cancel()
	c.tasks.Wait()
	assert.NilError(c.t, c.driver.Wait())
	for _, conn := range c.conns {
		conn.PgConn().Conn().Close()
	}
	for _, e := range c.endpoints {
		assert.NilError(c.t, e.Close())
	}
}

func (c *cluster) connect(ctx context.Context, _, slot string) (endpoint.Controller, error) {
	ctl, err := pgcontrol.Dial(ctx, pgcontrol.Options{Addr: c.endpoints[slot].Addr(), Database: "d", Dial: c.dial})
	if err != nil {
		return nil, err
	}
	return ctl, nil
}

func (c *cluster) Confirm(ctx context.Context, group string, ask suspect.AskConfirm) (suspect.Confirmation, error) {
	answer := suspect.Confirmation{Domain: "d3", Slot: ask.Slot, Level: suspect.Undialable}
	if ctl, err := c.connect(ctx, group, ask.Slot); err == nil {
		defer ctl.Close()
		if _, err := ctl.Status(ctx); err == nil {
			answer.Level = suspect.Well
		}
	}
	return answer, nil
}

func (c *cluster) Announce(_ string, primary failover.Current) {
	acks, err := commitack.New(primary.Term, primary.Primary, primary.Members)
	assert.NilError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acks != nil {
		c.deliverOutcomes(c.acks.Close(nil))
	}
	c.primary, c.acks = primary, acks
}

func (c *cluster) Record(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

func (c *cluster) observe(group string, st endpoint.Status, _ time.Time) {
	c.driver.Observe(group, st)
	c.mu.Lock()
	defer c.mu.Unlock()
	out, err := c.acks.Observe(nil, st)
	assert.NilError(c.t, err)
	c.deliverOutcomes(out)
}

func (c *cluster) deliverOutcomes(results []commitack.Result) {
	for _, r := range results {
		c.outcomes[r.ID] <- r.Outcome
		delete(c.outcomes, r.ID)
	}
}

// write inserts row id at the announced primary and reports whether it was
// acknowledged.
func (c *cluster) write(id int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	c.mu.Lock()
	primary := c.primary
	c.mu.Unlock()
	pos, err := c.insert(ctx, primary.Primary, id)
	if err != nil {
		return false
	}
	done := make(chan commitack.Outcome, 1)
	c.mu.Lock()
	c.outcomes[commitack.ID(id)] = done
	out, err := c.acks.Add(nil, commitack.ID(id), pos, time.Now().Add(eventuallyTimeout))
	if err != nil {
		delete(c.outcomes, commitack.ID(id))
		c.mu.Unlock()
		return false
	}
	c.deliverOutcomes(out)
	c.mu.Unlock()
	select {
	case outcome := <-done:
		if outcome != commitack.Confirmed {
			return false
		}
	case <-ctx.Done():
		return false
	}
	c.acked = append(c.acked, id)
	return true
}

// insert commits a row at slot and returns the commit's log position.
func (c *cluster) insert(ctx context.Context, slot string, id int) (pos logpos.Pos, err error) {
	conn := c.conns[slot]
	if conn == nil {
		if conn, err = c.open(ctx, slot); err != nil {
			return pos, err
		}
		c.conns[slot] = conn
	}
	if _, err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO t VALUES (%d)", id)); err != nil {
		conn.PgConn().Conn().Close()
		delete(c.conns, slot)
		return pos, err
	}
	return logpos.Parse(conn.PgConn().ParameterStatus(endpoint.ParamCommit))
}

func (c *cluster) open(ctx context.Context, slot string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://caller@" + c.endpoints[slot].Addr() + "/d?sslmode=disable")
	assert.NilError(c.t, err)
	cfg.DialFunc, cfg.DefaultQueryExecMode = c.dial, pgx.QueryExecModeSimpleProtocol
	return pgx.ConnectConfig(ctx, cfg)
}

// warmUp creates the table and writes until the first 20 rows are acknowledged.
func (c *cluster) warmUp() {
	c.eventually("table", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		conn, err := c.open(ctx, "a")
		if err != nil {
			return false
		}
		_, err = conn.Exec(ctx, "CREATE TABLE IF NOT EXISTS t (k int PRIMARY KEY)")
		_ = conn.Close(ctx)
		return err == nil
	})
	for id := range 20 {
		c.eventually("first writes", func() bool { return slices.Contains(c.acked, id) || c.write(id) })
	}
	time.Sleep(suspect.ProbeInterval) // gives the observers time to connect
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(eventuallyTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("%s: not within %v; events %v", what, eventuallyTimeout, c.events)
		}
	}
}

// measureGap returns the time until a write is acknowledged.
func (c *cluster) measureGap() time.Duration {
	began := time.Now()
	id := 1000
	c.eventually("a write after the fault", func() bool { id++; return c.write(id) })
	return time.Since(began)
}

// awaitOtherPrimary waits until a slot other than slot is the primary.
func (c *cluster) awaitOtherPrimary(slot string) {
	c.t.Helper()
	c.eventually("another primary", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.primary.Primary != slot
	})
}

// awaitPromotionDone waits until a promotion is complete.
func (c *cluster) awaitPromotionDone() {
	c.t.Helper()
	c.eventually("promotion done", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return slices.ContainsFunc(c.events, func(e Event) bool { return e.Kind == PromotionDone })
	})
}

// rows returns the rows at slot.
func (c *cluster) rows(slot string) []int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := c.open(ctx, slot)
	if err != nil {
		return nil
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, "SELECT k FROM t ORDER BY k")
	if err != nil {
		return nil
	}
	ids, _ := pgx.CollectRows(rows, pgx.RowTo[int])
	return ids
}

// awaitConvergence waits until all slots are in line with the primary, then checks
// that each has all acknowledged rows.
func (c *cluster) awaitConvergence() {
	c.t.Helper()
	c.eventually("all slots in line", func() bool {
		c.mu.Lock()
		p := c.primary.Primary
		c.mu.Unlock()
		want := c.endpoints[p].Status()
		for slot, e := range c.endpoints {
			st := e.Status()
			if st.FencedTerm != want.FencedTerm || st.Applied != want.Synced || (st.Role == endpoint.RolePrimary) != (slot == p) {
				return false
			}
		}
		return true
	})
	for _, slot := range slots {
		rows := c.rows(slot)
		for _, id := range c.acked {
			assert.Assert(c.t, slices.Contains(rows, id), "slot %s lacks acknowledged row %d", slot, id)
		}
	}
}

func TestStandIns(t *testing.T) {
	const tail = 500
	for _, tc := range []struct {
		name string
		run  func(c *cluster)
	}{
		{"primary killed, returns with an unacknowledged tail", func(c *cluster) {
			for _, s := range []string{"b", "c"} {
				c.endpoints[s].PauseReplication(true)
			}
			assert.Assert(c.t, !c.write(tail))
			c.endpoints["a"].Kill()
			// A record that a replica received but did not apply may survive. The
			// replicas resume only after they are fenced, so that the tail does not.
			c.awaitOtherPrimary("a")
			for _, s := range []string{"b", "c"} {
				c.endpoints[s].PauseReplication(false)
			}
			c.measureGap()
			c.awaitPromotionDone()
			assert.NilError(c.t, c.endpoints["a"].Restart())
			c.awaitConvergence()
			assert.Assert(c.t, !slices.Contains(c.rows("a"), tail))
		}},
		{"primary freezes and resumes", func(c *cluster) {
			old := c.primary
			c.endpoints["a"].Freeze()
			c.measureGap()
			c.awaitPromotionDone()
			c.endpoints["a"].Thaw()
			c.awaitConvergence()
			assert.Assert(c.t, c.primary.Term > old.Term)
		}},
		{"one-way partition: the primary's answers are lost", func(c *cluster) {
			c.endpoints["a"].Cut(standin.AnyPeer, standin.Out)
			c.measureGap()
			c.awaitPromotionDone()
			c.endpoints["a"].Heal()
			c.awaitConvergence()
		}},
		{"one-way partition: nothing reaches the primary", func(c *cluster) {
			c.endpoints["a"].Cut(standin.AnyPeer, standin.In)
			c.measureGap()
			c.awaitPromotionDone()
			c.endpoints["a"].Heal()
			c.awaitConvergence()
		}},
		{"primary loses its disk", func(c *cluster) {
			c.endpoints["a"].Kill()
			assert.NilError(c.t, c.endpoints["a"].RestartEmpty())
			c.measureGap()
			c.awaitConvergence()
			c.eventually("new incarnation counts", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.primary.Members[0].Incarnation == c.endpoints["a"].Status().Incarnation
			})
			c.endpoints["b"].Kill() // a's new incarnation counts, so a majority is left
			c.measureGap()
			assert.NilError(c.t, c.endpoints["b"].Restart())
			c.awaitConvergence()
		}},
		{"killed again right after each promotion", func(c *cluster) {
			for range 3 {
				c.mu.Lock()
				p := c.primary.Primary
				c.mu.Unlock()
				c.endpoints[p].Kill()
				c.awaitOtherPrimary(p)
				assert.NilError(c.t, c.endpoints[p].Restart())
			}
			c.measureGap()
			c.awaitConvergence()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, eisgrundDelay)
			defer c.close()
			c.warmUp()
			tc.run(c)
		})
	}
}

// BenchmarkFailoverGap measures the time from a fault of the primary to the first
// acknowledged write, with each deployment's link delay and 10 ms to connect.
func BenchmarkFailoverGap(b *testing.B) {
	for _, bm := range []struct {
		name   string
		oneWay time.Duration
		fault  func(e *standin.Endpoint)
	}{
		{"Eisgrund/killed", eisgrundDelay, (*standin.Endpoint).Kill},
		{"Eisgrund/silent", eisgrundDelay, (*standin.Endpoint).Freeze},
		{"Sankofa/killed", sankofaDelay, (*standin.Endpoint).Kill},
		{"Sankofa/silent", sankofaDelay, (*standin.Endpoint).Freeze},
	} {
		b.Run(bm.name, func(b *testing.B) {
			var gaps []time.Duration
			for range b.N {
				c := newCluster(b, bm.oneWay)
				c.warmUp()
				bm.fault(c.endpoints["a"])
				gaps = append(gaps, c.measureGap())
				c.endpoints["a"].Thaw()
				c.close()
			}
			slices.Sort(gaps)
			for name, i := range map[string]int{"ms-p50": len(gaps) / 2, "ms-p99": len(gaps) * 99 / 100, "ms-max": len(gaps) - 1} {
				b.ReportMetric(float64(gaps[i].Microseconds())/1000, name)
			}
		})
	}
}
