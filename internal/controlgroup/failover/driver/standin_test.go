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
	connectDelay = 10 * time.Millisecond
	patience     = 20 * time.Second
)

// The links of the two deployments, one way between failure domains.
const (
	eisgrundLink = 500 * time.Microsecond
	sankofaLink  = 1500 * time.Microsecond
)

// slowConn delays each direction by oneWay for requests and answers that take
// turns.
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

// cluster is one group of real stand-ins, a driver with observers in two failure
// domains, and a caller whose writes are confirmed by commitack.
type cluster struct {
	t      testing.TB
	eps    map[string]*standin.Endpoint
	oneWay time.Duration
	driver *Driver
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex // guards what follows
	primary failover.Current
	acks    *commitack.Group
	verdict map[commitack.ID]chan commitack.Outcome
	acked   []int
	conns   map[string]*pgx.Conn
	events  []Event
}

func newCluster(t testing.TB, oneWay time.Duration) *cluster {
	c := &cluster{t: t, oneWay: oneWay, eps: map[string]*standin.Endpoint{}, verdict: map[commitack.ID]chan commitack.Outcome{}, conns: map[string]*pgx.Conn{}}
	current := failover.Current{Term: 1, Primary: "a"}
	for _, slot := range slots {
		cfg := standin.Config{Group: "g", Slot: slot, ConnectDelay: connectDelay, ReplicationLag: oneWay, Primary: slot == "a"}
		if slot != "a" {
			cfg.Follow = c.eps["a"].Addr()
		}
		e, err := standin.Start(cfg)
		assert.NilError(t, err)
		c.eps[slot] = e
		current.Members = append(current.Members, quorum.Member{Slot: slot, Incarnation: e.Status().Incarnation})
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	terms := newTerms()
	terms.begin("g", current.Members)
	timing := failover.DefaultTiming()
	timing.Follow = 100 * time.Millisecond // what comes later is corrected
	d, err := New(ctx, Config{
		Promotion: timing,
		Promoter:  "p1", Connect: c.connect, Terms: terms, Confirmer: c, Announcer: c, Recorder: c,
		Address: func(_, slot string) (string, bool) { return c.eps[slot].Addr(), true },
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
	for _, e := range c.eps {
		assert.NilError(c.t, e.Close())
	}
}

func (c *cluster) connect(ctx context.Context, _, slot string) (endpoint.Controller, error) {
	ctl, err := pgcontrol.Dial(ctx, pgcontrol.Options{Addr: c.eps[slot].Addr(), Database: "d", Dial: c.dial})
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
		c.settle(c.acks.Close(nil))
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
	c.settle(out)
}

func (c *cluster) settle(results []commitack.Result) {
	for _, r := range results {
		c.verdict[r.ID] <- r.Outcome
		delete(c.verdict, r.ID)
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
	c.verdict[commitack.ID(id)] = done
	out, err := c.acks.Add(nil, commitack.ID(id), pos, time.Now().Add(patience))
	if err != nil {
		delete(c.verdict, commitack.ID(id))
		c.mu.Unlock()
		return false
	}
	c.settle(out)
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

// insert commits a row at slot and returns its position.
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
	cfg, err := pgx.ParseConfig("postgres://caller@" + c.eps[slot].Addr() + "/d?sslmode=disable")
	assert.NilError(c.t, err)
	cfg.DialFunc, cfg.DefaultQueryExecMode = c.dial, pgx.QueryExecModeSimpleProtocol
	return pgx.ConnectConfig(ctx, cfg)
}

// begin creates the table and writes until writes are acknowledged.
func (c *cluster) begin() {
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
	time.Sleep(suspect.ProbeInterval) // observers are connected
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("%s: not within %v; events %v", what, patience, c.events)
		}
	}
}

// gap waits for the first acknowledged write and returns how long that took.
func (c *cluster) gap() time.Duration {
	began := time.Now()
	id := 1000
	c.eventually("a write after the fault", func() bool { id++; return c.write(id) })
	return time.Since(began)
}

// awaitOther waits until another slot than this is the primary.
func (c *cluster) awaitOther(slot string) {
	c.t.Helper()
	c.eventually("another primary", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.primary.Primary != slot
	})
}

// awaitDone waits until the promotion no longer waits for any slot.
func (c *cluster) awaitDone() {
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

// converge waits until all slots have the primary's log and acknowledged rows.
func (c *cluster) converge() {
	c.t.Helper()
	c.eventually("all slots in line", func() bool {
		c.mu.Lock()
		p := c.primary.Primary
		c.mu.Unlock()
		want := c.eps[p].Status()
		for slot, e := range c.eps {
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
				c.eps[s].PauseReplication(true)
			}
			assert.Assert(c.t, !c.write(tail))
			c.eps["a"].Kill()
			// What a replica has received and not taken may survive: it is fenced
			// before it goes on.
			c.awaitOther("a")
			for _, s := range []string{"b", "c"} {
				c.eps[s].PauseReplication(false)
			}
			c.gap()
			c.awaitDone()
			assert.NilError(c.t, c.eps["a"].Restart())
			c.converge()
			assert.Assert(c.t, !slices.Contains(c.rows("a"), tail))
		}},
		{"primary freezes and wakes", func(c *cluster) {
			old := c.primary
			c.eps["a"].Freeze()
			c.gap()
			c.awaitDone()
			c.eps["a"].Thaw()
			c.converge()
			assert.Assert(c.t, c.primary.Term > old.Term)
		}},
		{"one direction: the primary's answers are lost", func(c *cluster) {
			c.eps["a"].Cut(standin.AnyPeer, standin.Out)
			c.gap()
			c.awaitDone()
			c.eps["a"].Heal()
			c.converge()
		}},
		{"one direction: nothing reaches the primary", func(c *cluster) {
			c.eps["a"].Cut(standin.AnyPeer, standin.In)
			c.gap()
			c.awaitDone()
			c.eps["a"].Heal()
			c.converge()
		}},
		{"primary loses its disk", func(c *cluster) {
			c.eps["a"].Kill()
			assert.NilError(c.t, c.eps["a"].RestartEmpty())
			c.gap()
			c.converge()
			c.eventually("new incarnation counts", func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return c.primary.Members[0].Incarnation == c.eps["a"].Status().Incarnation
			})
			c.eps["b"].Kill() // with a's new disk counting, the group goes on
			c.gap()
			assert.NilError(c.t, c.eps["b"].Restart())
			c.converge()
		}},
		{"killed again right after each promotion", func(c *cluster) {
			for range 3 {
				c.mu.Lock()
				p := c.primary.Primary
				c.mu.Unlock()
				c.eps[p].Kill()
				c.awaitOther(p)
				assert.NilError(c.t, c.eps[p].Restart())
			}
			c.gap()
			c.converge()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, eisgrundLink)
			defer c.close()
			c.begin()
			tc.run(c)
		})
	}
}

// BenchmarkFailoverGap measures from a fault of the primary to the first
// acknowledged write, at each deployment's links and 10 ms to connect.
func BenchmarkFailoverGap(b *testing.B) {
	for _, bm := range []struct {
		name   string
		oneWay time.Duration
		fault  func(e *standin.Endpoint)
	}{
		{"Eisgrund/killed", eisgrundLink, (*standin.Endpoint).Kill},
		{"Eisgrund/silent", eisgrundLink, (*standin.Endpoint).Freeze},
		{"Sankofa/killed", sankofaLink, (*standin.Endpoint).Kill},
		{"Sankofa/silent", sankofaLink, (*standin.Endpoint).Freeze},
	} {
		b.Run(bm.name, func(b *testing.B) {
			var gaps []time.Duration
			for range b.N {
				c := newCluster(b, bm.oneWay)
				c.begin()
				bm.fault(c.eps["a"])
				gaps = append(gaps, c.gap())
				c.eps["a"].Thaw()
				c.close()
			}
			slices.Sort(gaps)
			for name, i := range map[string]int{"ms-p50": len(gaps) / 2, "ms-p99": len(gaps) * 99 / 100, "ms-max": len(gaps) - 1} {
				b.ReportMetric(float64(gaps[i].Microseconds())/1000, name)
			}
		})
	}
}
