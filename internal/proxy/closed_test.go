package proxy_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/platform/standin"
)

// setClosed tells the entry that the acknowledgements of the present primary, node 0, are closed
// by the attempt with the given token, or open if it is 0.
func (f *fixture) setClosed(token, revision uint64) { f.setSuccessor(token, revision, "") }

// setSuccessor is setClosed with the endpoint that is to replace the primary as planned.
func (f *fixture) setSuccessor(token, revision uint64, successor string) {
	f.view.Apply(&fleetpb.FollowResponse{Current: true, Entries: 1, Primaries: []*fleetpb.Primary{{
		Service: "svc", EndpointId: f.group.Nodes()[0].ID, Number: f.primaryNumber, ClosedToken: token, Revision: revision,
		SuccessorId: successor,
	}}})
}

// awaitConfirmation waits for the entry's n-th confirmation.
func (f *fixture) awaitConfirmation(n int) *fleetpb.ConfirmClosedRequest {
	f.t.Helper()
	var last *fleetpb.ConfirmClosedRequest
	assert.Assert(f.t, standin.WaitFor(2*time.Second, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.confirmations) >= n {
			last = f.confirmations[n-1]
		}
		return last != nil
	}))
	return last
}

// confirmedTokens returns the tokens of all confirmations so far in ascending order.
func (f *fixture) confirmedTokens() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tokens []uint64
	for _, r := range f.confirmations {
		tokens = append(tokens, r.Token)
	}
	slices.Sort(tokens)
	return tokens
}

// Callers lost commits that an endpoint unknown to control had received: their success must not
// be passed on once another endpoint is being promoted.
func TestSuccessIsNotPassedOnWhileThePrimaryIsReplaced(t *testing.T) {
	t.Run("write", func(t *testing.T) {
		f := newFixture(t)
		c := f.session("session")
		c.ok("STORE item v0")
		f.group.Nodes()[0].Set(standin.Faults{Slow: 200 * time.Millisecond})
		answer := make(chan string)
		go func() { result, _ := c.query("STORE item v1"); answer <- result }()
		time.Sleep(80 * time.Millisecond)
		f.setClosed(7, 1)
		confirmed := f.awaitConfirmation(1)
		assert.Equal(t, confirmed.Token, uint64(7))
		assert.Equal(t, confirmed.Acknowledged.Index, uint64(1))
		assert.Assert(t, strings.Contains(<-answer, "INDOUBT"))
	})
	t.Run("commit", func(t *testing.T) {
		f := newFixture(t)
		c := f.session("session")
		c.ok("BEGIN")
		c.ok("STORE item v1")
		f.group.Nodes()[0].Set(standin.Faults{Slow: 200 * time.Millisecond})
		answer := make(chan string)
		go func() { result, _ := c.query("COMMIT"); answer <- result }()
		time.Sleep(80 * time.Millisecond)
		f.setClosed(7, 1)
		assert.Assert(t, strings.Contains(<-answer, "INDOUBT"))
	})
}

// What was not sent yet is refused as not run, and reads go on.
func TestClosedPrimaryGetsNoWrites(t *testing.T) {
	f := newFixture(t)
	c, open := f.session("session"), f.session("session")
	open.ok("BEGIN")
	open.ok("STORE item v1")
	f.setClosed(7, 1)
	f.awaitConfirmation(1)
	id, result, _ := c.queryID("STORE item v2")
	assert.Assert(t, strings.Contains(result, "BUSY"), result)
	assert.Equal(t, f.group.Ran(id), 0)
	result, state := open.query("COMMIT")
	assert.Assert(t, strings.Contains(result, "ABORTED"), result)
	assert.Equal(t, state, "I")
	assert.Equal(t, len(f.group.Acked()), 0)
	assert.Assert(t, strings.Contains(c.ok("FETCH item"), "COMPLETE"))
}

// The acknowledgements of the next primary, or of the same one after the attempt failed, are
// open; those of the former one stay closed.
func TestAcknowledgementsOpenAgain(t *testing.T) {
	f := newFixture(t)
	c := f.session("session")
	f.setClosed(7, 1)
	f.setClosed(0, 2)
	c.ok("STORE item v1")
	f.setClosed(8, 3)
	f.setClosed(7, 1) // from a control daemon that is behind
	f.awaitConfirmation(2)
	result, _ := c.query("STORE item v2")
	assert.Assert(t, strings.Contains(result, "BUSY"), result)
	f.promote(1)
	c.ok("STORE item v3")
	// Confirmations are sent side by side, so that they arrive in any order. Each attempt has one.
	assert.DeepEqual(t, f.confirmedTokens(), []uint64{7, 8})
}

// Callers lost commits of a planned replacement that its successor had not received. While the
// primary serves on, a success is passed on once the successor holds the commit, and not before.
func TestSuccessWaitsForTheSuccessor(t *testing.T) {
	f := newFixture(t)
	c := f.session("session")
	c.ok("STORE item v0")
	nodes := f.group.Nodes()
	f.setSuccessor(7, 1, nodes[1].ID)
	assert.Equal(t, f.awaitConfirmation(1).Acknowledged.Index, uint64(1))
	c.ok("STORE item v1")
	c.ok("BEGIN")
	c.ok("STORE item v2")
	c.ok("COMMIT")

	// The other replica has the primary acknowledge what the successor does not receive.
	nodes[1].Set(standin.Faults{Deaf: true})
	answer := make(chan string)
	other := f.session("session")
	go func() { result, _ := other.query("STORE item v3"); answer <- result }()
	time.Sleep(300 * time.Millisecond)
	// A stalled successor holds further writes back; they have not run.
	id, result, _ := c.queryID("STORE item v4")
	assert.Assert(t, strings.Contains(result, "BUSY"), result)
	assert.Equal(t, f.group.Ran(id), 0)
	assert.Assert(t, strings.Contains(<-answer, "INDOUBT"))

	nodes[1].Set(standin.Faults{})
	c.ok("STORE item v5")
}

// A success that waits for the successor is answered as soon as it is known what became of the
// commit: the next primary holds it, or lacks it, or the primary is not replaced.
func TestWaitForTheSuccessorEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(f *fixture)
		want string
	}{
		"opened":          {func(f *fixture) { f.setSuccessor(0, 2, "") }, "COMPLETE"},
		"closed":          {func(f *fixture) { f.setSuccessor(7, 2, "") }, "INDOUBT"},
		"other successor": {func(f *fixture) { f.setSuccessor(8, 2, f.group.Nodes()[2].ID) }, "COMPLETE"},
		"replaced":        {func(f *fixture) { f.promoteWithLog(1) }, "INDOUBT"},
		"holds it":        {func(f *fixture) { f.promoteWithLog(2) }, "COMPLETE"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.session("session")
			c.ok("STORE item v0")
			f.setSuccessor(7, 1, f.group.Nodes()[1].ID)
			f.awaitConfirmation(1)
			f.group.Nodes()[1].Set(standin.Faults{Deaf: true})
			answer := make(chan string)
			go func() { result, _ := c.query("STORE item v1"); answer <- result }()
			time.Sleep(100 * time.Millisecond)
			started := time.Now()
			tc.end(f)
			assert.Assert(t, strings.Contains(<-answer, tc.want))
			assert.Assert(t, time.Since(started) < 300*time.Millisecond)
		})
	}
}
