package contracttest

import (
	"sync"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
)

const createTable = "CREATE TABLE t (k int PRIMARY KEY, v text)"

// cases holds one test case for each guarantee of the contract.
var cases = []struct {
	name string
	run  func(*group)
}{
	{"an empty endpoint is a replica in term 0 and refuses writes", emptyEndpointIsReplica},
	{"a fence grants a term to one promoter", fenceGrantsOnce},
	{"of many promoters at once one gets the term", concurrentFences},
	{"a grant outlives a crash", grantIsDurable},
	{"a promotion needs the grant and starts the term in the log", promotionNeedsGrant},
	{"a commit reports its position and a read does not", commitReportsPosition},
	{"a fenced primary refuses writes without effect", fencedPrimaryRefusesWrites},
	{"a transaction that was open at the fence is refused at commit", fenceInTransaction},
	{"a replica refuses writes without effect", replicaRefusesWrites},
	{"a replica copies the primary's log and passes it on after its promotion", replicaCopiesLog},
	{"a primary waits for nobody", primaryWritesWithoutReplicas},
	{"synced and applied are apart", syncedIsNotApplied},
	{"a fence stops replication from lower terms", fenceStopsReplication},
	{"the fenced term is not the log term", fencedTermIsNotLogTerm},
	{"a divergent tail is rewound before it can be read", divergentTailIsRewound},
	{"a restart keeps role, log and incarnation", restartKeepsState},
	{"an empty disk is a new incarnation and catches up", emptyDiskIsNewIncarnation},
	{"follow refuses lower terms and the term's own primary", followRefuses},
	{"wait returns when the status changes", waitReturnsAtChange},
	{"the connection limit is the slot's", connectionLimitApplies},
	{"holders are listed while they have connections", holdersAreListed},
	{"a connection names the endpoint's incarnation", connectionIncarnation},
	{"a connection is active while it runs a statement", activityOfConnection},
}

func emptyEndpointIsReplica(g *group) {
	st := g.status(0)
	assert.Equal(g.t, st.Group, "g")
	assert.Equal(g.t, st.Slot, "s0")
	assert.Assert(g.t, st.Incarnation != "")
	assert.Equal(g.t, st.Role, endpoint.RoleReplica)
	assert.Equal(g.t, st.FencedTerm, uint64(0))
	assert.Assert(g.t, st.Synced.IsZero() && st.Applied.IsZero())
	code, _ := g.exec(0, createTable)
	assert.Equal(g.t, code, endpoint.CodeReadOnly)
}

func fenceGrantsOnce(g *group) {
	assert.NilError(g.t, g.fence(0, 3, "a"))
	assert.NilError(g.t, g.fence(0, 3, "a"))
	for _, row := range []struct {
		term     uint64
		promoter string
	}{{3, "b"}, {2, "a"}, {0, "a"}} {
		f := g.requireFencedError(g.fence(0, row.term, row.promoter))
		assert.DeepEqual(g.t, *f, endpoint.FencedError{Term: row.term, FencedTerm: 3, FencedBy: "a"})
	}
	assert.NilError(g.t, g.fence(0, 4, "b it's"))
	st := g.status(0)
	assert.Equal(g.t, st.FencedTerm, uint64(4))
	assert.Equal(g.t, st.FencedBy, "b it's")
}

func concurrentFences(g *group) {
	names := []string{"a", "b", "c", "d"}
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		c := g.control(0)
		wg.Go(func() { _, errs[i] = c.Fence(g.ctx, 1, name) })
	}
	wg.Wait()
	granted := ""
	for i, err := range errs {
		if err == nil {
			assert.Equal(g.t, granted, "", "%s got the term as well", names[i])
			granted = names[i]
			continue
		}
		g.requireFencedError(err)
	}
	assert.Equal(g.t, granted, g.status(0).FencedBy)
}

func grantIsDurable(g *group) {
	assert.NilError(g.t, g.fence(0, 5, "a"))
	g.endpoints[0].Kill()
	assert.NilError(g.t, g.endpoints[0].Restart())
	f := g.requireFencedError(g.fence(0, 5, "b"))
	assert.Equal(g.t, f.FencedBy, "a")
}

func promotionNeedsGrant(g *group) {
	g.requireFencedError(g.promote(0, 1, "a"))
	assert.NilError(g.t, g.fence(0, 1, "a"))
	g.requireFencedError(g.promote(0, 1, "b"))
	g.requireFencedError(g.promote(0, 2, "a"))
	assert.NilError(g.t, g.promote(0, 1, "a"))
	assert.NilError(g.t, g.promote(0, 1, "a"))
	st := g.status(0)
	assert.Equal(g.t, st.Role, endpoint.RolePrimary)
	assert.Equal(g.t, st.Synced, logpos.Pos{Term: 1, Index: 1})
	assert.Equal(g.t, st.Applied, st.Synced)
}

func commitReportsPosition(g *group) {
	g.elect(1, 0)
	c := g.connect(0)
	reported := func() string { return c.PgConn().ParameterStatus(endpoint.ParamCommit) }
	run := func(text string) {
		_, err := c.Exec(g.ctx, text)
		assert.NilError(g.t, err)
	}
	run("SELECT 1")
	assert.Equal(g.t, reported(), "")
	run(createTable)
	assert.Equal(g.t, reported(), "1/2")
	run("BEGIN")
	run("INSERT INTO t VALUES (1, 'a')")
	run("INSERT INTO t VALUES (2, 'b')")
	assert.Equal(g.t, reported(), "1/2")
	run("COMMIT")
	assert.Equal(g.t, reported(), "1/3")
	run("BEGIN")
	run("INSERT INTO t VALUES (3, 'c')")
	run("ROLLBACK")
	assert.Equal(g.t, reported(), "1/3")
	assert.Equal(g.t, g.status(0).Synced.String(), "1/3")
}

func fencedPrimaryRefusesWrites(g *group) {
	g.elect(1, 0)
	g.write(0, createTable)
	before := g.status(0).Synced
	assert.NilError(g.t, g.fence(0, 2, "b"))
	code, _ := g.exec(0, "INSERT INTO t VALUES (1, 'a')")
	assert.Equal(g.t, code, endpoint.CodeReadOnly)
	st := g.status(0)
	assert.Equal(g.t, st.Role, endpoint.RolePrimary)
	assert.Equal(g.t, st.Synced, before)
	assert.Equal(g.t, g.count(0), 0)
}

func fenceInTransaction(g *group) {
	g.elect(1, 0)
	g.write(0, createTable)
	c := g.connect(0)
	for _, text := range []string{"BEGIN", "INSERT INTO t VALUES (1, 'a')"} {
		_, err := c.Exec(g.ctx, text)
		assert.NilError(g.t, err)
	}
	assert.NilError(g.t, g.fence(0, 2, "b"))
	_, err := c.Exec(g.ctx, "COMMIT")
	assert.Equal(g.t, sqlState(err), endpoint.CodeReadOnly)
	assert.Equal(g.t, g.count(0), 0)
}

func replicaRefusesWrites(g *group) {
	g.elect(1, 0, 1)
	g.awaitApplied(1, g.write(0, createTable))
	for _, text := range []string{"INSERT INTO t VALUES (1, 'a')", "DELETE FROM t", "CREATE TABLE u (k int)"} {
		code, _ := g.exec(1, text)
		assert.Equal(g.t, code, endpoint.CodeReadOnly, text)
	}
	assert.Equal(g.t, g.count(1), 0)
}

func replicaCopiesLog(g *group) {
	g.elect(1, 0, 1, 2)
	g.write(0, createTable)
	pos := g.write(0, "INSERT INTO t VALUES (1, 'a')")
	g.awaitApplied(1, pos)
	g.elect(2, 1, 2, 0)
	pos = g.write(1, "INSERT INTO t VALUES (2, 'b')")
	assert.Equal(g.t, pos, logpos.Pos{Term: 2, Index: 5})
	for _, i := range []int{0, 2} {
		g.awaitApplied(i, pos)
		assert.Equal(g.t, g.count(i), 2)
	}
}

func primaryWritesWithoutReplicas(g *group) {
	g.elect(1, 0, 1, 2)
	g.endpoints[1].Kill()
	g.endpoints[2].Kill()
	g.write(0, createTable)
	assert.Equal(g.t, g.write(0, "INSERT INTO t VALUES (1, 'a')").Index, uint64(3))
}

func syncedIsNotApplied(g *group) {
	g.elect(1, 0, 1)
	g.awaitApplied(1, g.write(0, createTable))
	g.endpoints[1].PauseApply(true)
	pos := g.write(0, "INSERT INTO t VALUES (1, 'a')")
	st := g.await(1, "synced", func(s endpoint.Status) bool { return s.Synced == pos })
	assert.Assert(g.t, st.Applied.Less(pos))
	assert.Equal(g.t, g.count(1), 0)
	g.endpoints[1].PauseApply(false)
	g.awaitApplied(1, pos)
	assert.Equal(g.t, g.count(1), 1)
}

// fenceStopsReplication lets the primary continue to write after one of its
// replicas is fenced. These writes must never reach that replica.
func fenceStopsReplication(g *group) {
	g.elect(1, 0, 1, 2)
	pos := g.write(0, createTable)
	g.awaitApplied(1, pos)
	assert.NilError(g.t, g.fence(1, 2, "b"))
	lastWrite := g.write(0, "INSERT INTO t VALUES (1, 'a')")
	g.awaitApplied(2, lastWrite)
	assert.Equal(g.t, g.status(1).Synced, pos)
	g.requireFencedError(g.follow(1, 1, 0))
	g.endpoints[1].Kill()
	assert.NilError(g.t, g.endpoints[1].Restart())
	g.awaitApplied(2, g.write(0, "INSERT INTO t VALUES (2, 'a')"))
	assert.Equal(g.t, g.status(1).Synced, pos)
}

func fencedTermIsNotLogTerm(g *group) {
	g.elect(1, 0, 1)
	pos := g.write(0, createTable)
	g.awaitApplied(1, pos)
	assert.NilError(g.t, g.fence(1, 9, "b"))
	st := g.status(1)
	assert.Equal(g.t, st.FencedTerm, uint64(9))
	assert.Equal(g.t, st.Synced, pos)
}

// divergentTailIsRewound gives the old primary log records that no replica has.
// The endpoint then follows a new primary that is unreachable at first. It must
// not serve reads until it has rewound these records.
func divergentTailIsRewound(g *group) {
	g.elect(1, 0, 1, 2)
	g.write(0, createTable)
	pos := g.write(0, "INSERT INTO t VALUES (1, 'kept')")
	g.awaitApplied(1, pos)
	g.awaitApplied(2, pos)
	assert.NilError(g.t, g.fence(1, 2, "p"))
	assert.NilError(g.t, g.fence(2, 2, "p"))
	g.write(0, "INSERT INTO t VALUES (2, 'lost')")
	g.write(0, "UPDATE t SET v = 'lost' WHERE k = 1")
	assert.NilError(g.t, g.promote(1, 2, "p"))
	g.endpoints[1].Kill()
	assert.NilError(g.t, g.follow(0, 2, 1))
	code, _ := g.exec(0, "SELECT v FROM t")
	assert.Equal(g.t, code, "57P03")
	assert.NilError(g.t, g.endpoints[1].Restart())
	newPos := g.write(1, "INSERT INTO t VALUES (3, 'new')")
	g.awaitApplied(0, newPos)
	assert.Equal(g.t, g.count(0), 2)
	var v string
	assert.NilError(g.t, g.connect(0).QueryRow(g.ctx, "SELECT v FROM t WHERE k = 1").Scan(&v))
	assert.Equal(g.t, v, "kept")
}

func restartKeepsState(g *group) {
	g.elect(1, 0, 1)
	pos := g.write(0, createTable)
	g.awaitApplied(1, pos)
	for i := range 2 {
		before := g.status(i)
		g.endpoints[i].Kill()
		assert.NilError(g.t, g.endpoints[i].Restart())
		after := g.status(i)
		assert.Equal(g.t, after.ConnsInUse, 1)
		after.ConnsInUse = before.ConnsInUse
		assert.DeepEqual(g.t, after, before)
	}
	g.awaitApplied(1, g.write(0, "INSERT INTO t VALUES (1, 'a')"))
}

func emptyDiskIsNewIncarnation(g *group) {
	g.elect(1, 0, 1)
	g.write(0, createTable)
	before := g.status(1)
	g.endpoints[1].Kill()
	assert.NilError(g.t, g.endpoints[1].RestartEmpty())
	st := g.status(1)
	assert.Assert(g.t, st.Incarnation != before.Incarnation)
	assert.Assert(g.t, st.Synced.IsZero())
	assert.Equal(g.t, st.FencedTerm, uint64(0))
	assert.NilError(g.t, g.follow(1, 1, 0))
	g.awaitApplied(1, g.write(0, "INSERT INTO t VALUES (1, 'a')"))
	assert.Equal(g.t, g.count(1), 1)
}

func followRefuses(g *group) {
	g.elect(2, 0, 1)
	g.requireFencedError(g.follow(1, 1, 0))
	g.requireFencedError(g.follow(0, 2, 1))
	g.requireFencedError(g.promote(1, 2, "p"))
	assert.NilError(g.t, g.follow(1, 3, 2))
	st := g.status(1)
	assert.Equal(g.t, st.FencedTerm, uint64(3))
	assert.Equal(g.t, st.FencedBy, "")
	g.requireFencedError(g.fence(1, 3, "p"))
	g.requireFencedError(g.promote(1, 3, ""))
}

func waitReturnsAtChange(g *group) {
	g.elect(1, 0)
	c := g.control(0)
	seen, err := c.Status(g.ctx)
	assert.NilError(g.t, err)
	unchanged, err := c.Wait(g.ctx, seen, 0)
	assert.NilError(g.t, err)
	assert.Equal(g.t, unchanged.Synced, seen.Synced)
	type answer struct {
		st  endpoint.Status
		err error
	}
	done := make(chan answer, 1)
	go func() {
		st, err := c.Wait(g.ctx, seen, caseDeadline)
		done <- answer{st, err}
	}()
	pos := g.write(0, createTable)
	a := <-done
	assert.NilError(g.t, a.err)
	assert.Equal(g.t, a.st.Synced, pos)
}

func connectionLimitApplies(g *group) {
	for range connLimit - 1 {
		g.connect(0)
	}
	c := g.control(0)
	st, err := c.Status(g.ctx)
	assert.NilError(g.t, err)
	assert.Equal(g.t, st.ConnLimit, connLimit)
	assert.Equal(g.t, st.ConnsInUse, connLimit)
	_, err = g.tryConnect(0)
	assert.Equal(g.t, sqlState(err), endpoint.CodeTooManyConnections)
}

func holdersAreListed(g *group) {
	c := g.control(0)
	a, _ := g.connect(0), g.connect(0)
	assert.NilError(g.t, a.Close(g.ctx))
	for {
		holderList, err := c.Holders(g.ctx)
		assert.NilError(g.t, err)
		if len(holderList) == 2 && holderList[0].Conns == 1 {
			assert.Equal(g.t, holderList[0].Holder, "h0")
			assert.Equal(g.t, holderList[1].Holder, "test")
			return
		}
	}
}

func connectionIncarnation(g *group) {
	conn := g.connect(0)
	assert.Equal(g.t, conn.PgConn().ParameterStatus(endpoint.ParamIncarnation), g.status(0).Incarnation)
}

func activityOfConnection(g *group) {
	c, conn := g.control(0), g.connect(0)
	active := func() bool {
		running, err := c.Active(g.ctx, conn.PgConn().PID())
		assert.NilError(g.t, err)
		return running
	}
	assert.Assert(g.t, !active())
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(g.ctx, "SELECT pg_sleep(0.5)")
		done <- err
	}()
	for !active() {
		assert.NilError(g.t, g.ctx.Err())
	}
	assert.NilError(g.t, <-done)
	assert.Assert(g.t, !active())
	running, err := c.Active(g.ctx, 1<<31)
	assert.NilError(g.t, err)
	assert.Assert(g.t, !running)
}
