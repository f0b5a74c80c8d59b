package fleetstate

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
)

func (m *Machine) apply(t *testing.T, cmd *fleetpb.Command) *fleetpb.CommandResult {
	data, err := Encode(cmd)
	assert.NilError(t, err)
	result := &fleetpb.CommandResult{}
	assert.NilError(t, proto.Unmarshal(m.Apply(0, data), result))
	return result
}

func (m *Machine) begin(t *testing.T) uint64 {
	return m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_AllocateToken{AllocateToken: &fleetpb.AllocateToken{Service: "s"}}}).Token
}

func (m *Machine) recordCallFor(t *testing.T, token uint64, id string) bool {
	return m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_RecordCall{
		RecordCall: &fleetpb.RecordCall{Service: "s", Token: token, EndpointId: id},
	}}).Taken
}

func (m *Machine) set(t *testing.T, s *fleetpb.SetPrimary) {
	s.Service, s.IfNumber = "s", m.Primary("s").Number
	m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_SetPrimary{SetPrimary: s}})
}

func (m *Machine) close(t *testing.T, c *fleetpb.CloseAttempt) {
	c.Service = "s"
	m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_CloseAttempt{CloseAttempt: c}})
}

func TestSupersededAttemptMayNotCall(t *testing.T) {
	m := New(nil)
	first, second := m.begin(t), m.begin(t)
	assert.Assert(t, !m.recordCallFor(t, first, "a"))
	assert.Assert(t, m.recordCallFor(t, second, "a"))
}

func TestAttemptMayNotCallAfterAChangeOfPrimary(t *testing.T) {
	m := New(nil)
	token := m.begin(t)
	m.set(t, &fleetpb.SetPrimary{EndpointId: "b"})
	assert.Assert(t, !m.recordCallFor(t, token, "a"))
}

// TestOpenCallsAndUnfinishedAttempts has one row for each way in which an attempt ends.
func TestOpenCallsAndUnfinishedAttempts(t *testing.T) {
	for name, row := range map[string]struct {
		end        func(m *Machine)
		open       []uint64
		unfinished bool
	}{
		"promoted":                  {func(m *Machine) { m.set(t, &fleetpb.SetPrimary{EndpointId: "c", Token: 3}) }, nil, false},
		"promoted, pauses left":     {func(m *Machine) { m.set(t, &fleetpb.SetPrimary{EndpointId: "c", Token: 3, PausesLeft: true}) }, nil, true},
		"earlier call carried out":  {func(m *Machine) { m.set(t, &fleetpb.SetPrimary{EndpointId: "b"}) }, []uint64{3}, true},
		"some other endpoint leads": {func(m *Machine) { m.set(t, &fleetpb.SetPrimary{EndpointId: "x"}) }, []uint64{1, 2, 3}, true},
		"refused":                   {func(m *Machine) { m.close(t, &fleetpb.CloseAttempt{Token: 3, CallRefused: true}) }, []uint64{1, 2}, true},
		"not answered":              {func(m *Machine) { m.close(t, &fleetpb.CloseAttempt{Token: 3}) }, []uint64{1, 2, 3}, true},
		"closed by another one":     {func(m *Machine) { m.close(t, &fleetpb.CloseAttempt{Token: 2, CallRefused: true}) }, []uint64{1, 2, 3}, true},
	} {
		m := New(nil)
		for _, id := range []string{"a", "b", "c"} {
			assert.Assert(t, m.recordCallFor(t, m.begin(t), id))
		}
		row.end(m)
		var open []uint64
		for _, c := range m.Attempt("s").Calls {
			open = append(open, c.Token)
		}
		assert.DeepEqual(t, open, row.open)
		assert.Equal(t, m.Attempt("s").Unfinished, row.unfinished, name)
	}
}

func TestCountAttempts(t *testing.T) {
	m := New(nil)
	for _, id := range []string{"a", "b"} {
		assert.Assert(t, m.recordCallFor(t, m.begin(t), id))
	}
	unfinished, openCalls := m.CountAttempts()
	assert.Equal(t, unfinished, 1)
	assert.Equal(t, openCalls, 2)
	m.set(t, &fleetpb.SetPrimary{EndpointId: "b", Token: 2})
	unfinished, openCalls = m.CountAttempts()
	assert.Equal(t, unfinished+openCalls, 0)
}

func TestUnfinishedAttemptStaysSoUntilNothingIsPaused(t *testing.T) {
	m := New(nil)
	m.close(t, &fleetpb.CloseAttempt{Token: m.begin(t), PausesLeft: true})
	m.close(t, &fleetpb.CloseAttempt{Token: m.begin(t)})
	assert.Assert(t, m.Attempt("s").Unfinished)
	m.close(t, &fleetpb.CloseAttempt{Token: m.Attempt("s").Token, NonePaused: true})
	assert.Assert(t, !m.Attempt("s").Unfinished)
}

func TestAttemptsAndFloorSurviveASnapshot(t *testing.T) {
	m := New(nil)
	assert.Assert(t, m.recordCallFor(t, m.begin(t), "a"))
	m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_Cover{
		Cover: &fleetpb.Cover{Service: "s", Position: &fleetpb.LogPosition{Term: 2, Index: 7}},
	}})
	m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_Cover{
		Cover: &fleetpb.Cover{Service: "s", Position: &fleetpb.LogPosition{Term: 1, Index: 9}},
	}})
	data, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New(nil)
	assert.NilError(t, restored.Restore(data))
	assert.Assert(t, proto.Equal(restored.Attempt("s"), m.Attempt("s")))
	assert.Equal(t, Position(restored.Attempt("s").Floor).String(), "2/7")
}

func (m *Machine) announceA(t *testing.T, bornMs int64) {
	m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_Announce{Announce: &fleetpb.Endpoint{
		Id: "a", Service: "s", Address: "127.0.0.1:1", State: fleetpb.EndpointState_ENDPOINT_STATE_READY, BornMs: bornMs,
	}}})
}

func (m *Machine) coverWith(t *testing.T, c *fleetpb.Cover) {
	c.Service = "s"
	m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_Cover{Cover: c}})
}

func TestRestartedEndpointIsNotCovered(t *testing.T) {
	m := New(nil)
	m.announceA(t, 1)
	assert.Assert(t, !m.IsRestarted("s", "a", 1))
	assert.Assert(t, m.IsRestarted("s", "a", 2), "this daemon knows a start that is not recorded yet")
	m.announceA(t, 2)
	data, err := m.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, m.Restore(data))
	assert.Assert(t, m.IsRestarted("s", "a", 2))
	m.coverWith(t, &fleetpb.Cover{RunningBornMs: map[string]int64{"a": 2}})
	assert.Assert(t, !m.IsRestarted("s", "a", 2))
	assert.Assert(t, !m.IsCovered("s", "a", 2), "the process that runs may receive further commits")
}

func TestLateCoverDoesNotCoverAnEndpointThatStartedAgain(t *testing.T) {
	m := New(nil)
	m.announceA(t, 1)
	m.announceA(t, 2)
	m.coverWith(t, &fleetpb.Cover{EndedBornMs: map[string]int64{"a": 1}})
	assert.Assert(t, m.IsCovered("s", "a", 1) && !m.IsCovered("s", "a", 2))
	data, err := m.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, m.Restore(data))
	assert.Assert(t, m.IsCovered("s", "a", 1) && !m.IsCovered("s", "a", 2))
}

func TestLateRecordOfTheSamePrimaryKeepsANewerAttempt(t *testing.T) {
	m := New(nil)
	m.set(t, &fleetpb.SetPrimary{EndpointId: "p"})
	late := &fleetpb.SetPrimary{EndpointId: "p", Token: m.begin(t)}
	second := m.begin(t)
	m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_RecordStepDown{RecordStepDown: &fleetpb.RecordStepDown{Service: "s", Token: second}}})
	assert.Assert(t, m.recordCallFor(t, second, "p"))
	m.set(t, late)
	assert.Equal(t, len(OpenCalls(m.Attempt("s"), "p")), 1)
	assert.Assert(t, m.Attempt("s").Unfinished && m.Attempt("s").StepDownOrdered)
}

func TestCallThatMayTakeEffectTwiceStaysOpen(t *testing.T) {
	m := New(nil)
	assert.Assert(t, m.recordCallFor(t, m.begin(t), "a"))
	second := m.begin(t)
	assert.Assert(t, m.recordCallFor(t, second, "a"))
	m.set(t, &fleetpb.SetPrimary{EndpointId: "a", Token: second})
	assert.Equal(t, len(m.Attempt("s").Calls), 1)
	assert.Assert(t, !m.Attempt("s").Unfinished, "a call for the present primary changes nothing")
}

func TestCallsForThePresentPrimaryDoNotCount(t *testing.T) {
	calls := []*fleetpb.PromoteCall{{Token: 1, EndpointId: "p"}, {Token: 2, EndpointId: "a"}, {Token: 3, EndpointId: "p"}}
	assert.Equal(t, len(OpenCalls(&fleetpb.Attempt{Calls: calls}, "p")), 2)
	assert.Equal(t, len(OpenCalls(&fleetpb.Attempt{Calls: calls, StepDownOrdered: true}, "p")), 3)
	assert.Equal(t, len(OpenCalls(&fleetpb.Attempt{Calls: calls[:1]}, "p")), 0)
}

// The announcement of the second process was not recorded, as the control group had no leader.
func TestEndOfAnUnrecordedProcessIsNotCovered(t *testing.T) {
	m := New(nil)
	announce := func(bornMs int64, state fleetpb.EndpointState) {
		m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_Announce{Announce: &fleetpb.Endpoint{
			Id: "a", Service: "s", Address: "127.0.0.1:1", State: state, BornMs: bornMs,
		}}})
	}
	announce(1, fleetpb.EndpointState_ENDPOINT_STATE_READY)
	m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_Cover{Cover: &fleetpb.Cover{Service: "s", EndpointIds: []string{"a"}}}})
	announce(2, fleetpb.EndpointState_ENDPOINT_STATE_GONE)
	assert.Assert(t, !m.IsCovered("s", "a", 2), "the process with start 2 may have held the only copy of a commit")
}

// The holder of attempt 2 has recorded its order to step down and is frozen before it sends it.
func TestRecordOfALaterTermKeepsAnOrderToStepDownThatMayBeLate(t *testing.T) {
	m := New(nil)
	m.set(t, &fleetpb.SetPrimary{EndpointId: "p", Term: 1})
	assert.Assert(t, m.recordCallFor(t, m.begin(t), "p"))
	second := m.begin(t)
	assert.Assert(t, m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_RecordStepDown{
		RecordStepDown: &fleetpb.RecordStepDown{Service: "s", Token: second},
	}}).Taken)
	assert.Assert(t, m.recordCallFor(t, second, "p"))
	m.set(t, &fleetpb.SetPrimary{EndpointId: "p", Term: 2, IfToken: second})
	assert.Assert(t, len(OpenCalls(m.Attempt("s"), "p")) == 1, "the call of attempt 2 may make p lead again after the late order")
}

// Acknowledgements stay closed exactly as long as a call may replace the primary.
func TestAcknowledgementsAreClosedWhileACallIsOpen(t *testing.T) {
	for name, row := range map[string]struct {
		end      func(m *Machine)
		isClosed bool
	}{
		"promoted":                  {func(m *Machine) { m.set(t, &fleetpb.SetPrimary{EndpointId: "a", Token: 1}) }, false},
		"some other endpoint leads": {func(m *Machine) { m.set(t, &fleetpb.SetPrimary{EndpointId: "x"}) }, false},
		"refused":                   {func(m *Machine) { m.close(t, &fleetpb.CloseAttempt{Token: 1, CallRefused: true}) }, false},
		"not answered":              {func(m *Machine) { m.close(t, &fleetpb.CloseAttempt{Token: 1}) }, true},
		"new attempt":               {func(m *Machine) { m.begin(t) }, true},
		"fenced by the primary": {func(m *Machine) {
			m.recordCallFor(t, m.begin(t), "p")
			m.set(t, &fleetpb.SetPrimary{EndpointId: "p", Token: 2})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			changes := 0
			m := New(func() { changes++ })
			m.set(t, &fleetpb.SetPrimary{EndpointId: "p"})
			token := m.begin(t)
			assert.Assert(t, m.recordCallFor(t, token, "a"))
			assert.Equal(t, m.Primary("s").ClosedToken, uint64(0))
			before, revision := changes, m.Primary("s").Revision
			record := &fleetpb.RecordCall{Service: "s", Token: token, EndpointId: "a", CloseAcknowledgements: true}
			assert.Assert(t, m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_RecordCall{RecordCall: record}}).Taken)
			assert.Equal(t, m.Primary("s").ClosedToken, token)
			assert.Assert(t, changes > before && m.Primary("s").Revision > revision, "followers are told")
			assert.Equal(t, len(m.Attempt("s").Calls), 1, "recorded once")
			row.end(m)
			assert.Equal(t, m.Primary("s").ClosedToken != 0, row.isClosed)
			assert.Equal(t, m.Primary("s").Revision > revision+1, !row.isClosed)
		})
	}
}

// A success that an entry passes on because the successor holds the commit is lost if an open call
// promotes another endpoint.
func TestSuccessorIsRecordedUnlessAnotherEndpointIsCalled(t *testing.T) {
	recordSuccessor := func(m *Machine, token uint64, id string) bool {
		r := &fleetpb.RecordSuccessor{Service: "s", Token: token, EndpointId: id}
		return m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_RecordSuccessor{RecordSuccessor: r}}).Taken
	}
	changes := 0
	m := New(func() { changes++ })
	m.set(t, &fleetpb.SetPrimary{EndpointId: "p"})
	first := m.begin(t)
	before, revision := changes, m.Primary("s").Revision
	assert.Assert(t, recordSuccessor(m, first, "a"))
	assert.Equal(t, m.Primary("s").SuccessorId, "a")
	assert.Equal(t, m.Primary("s").ClosedToken, first, "entries of earlier versions pass on nothing")
	assert.Assert(t, changes > before && m.Primary("s").Revision > revision, "followers are told")
	m.close(t, &fleetpb.CloseAttempt{Token: first})
	assert.Equal(t, m.Primary("s").SuccessorId, "")
	assert.Equal(t, m.Primary("s").ClosedToken, uint64(0))
	assert.Assert(t, !recordSuccessor(m, first, "a"), "the attempt has ended")

	second := m.begin(t)
	assert.Assert(t, recordSuccessor(m, second, "a"))
	assert.Assert(t, m.recordCallFor(t, second, "a"))
	m.close(t, &fleetpb.CloseAttempt{Token: second})
	assert.Equal(t, m.Primary("s").SuccessorId, "a", "the call is open")
	third := m.begin(t)
	assert.Assert(t, !recordSuccessor(m, second, "a"), "superseded")
	assert.Assert(t, !recordSuccessor(m, third, "b"))
	assert.Assert(t, recordSuccessor(m, third, "a"))
	m.set(t, &fleetpb.SetPrimary{EndpointId: "a", Token: second})
	assert.Equal(t, m.Primary("s").SuccessorId, "")
}

// TestMarksAreKeptByService guards against a live endpoint that counts as started again, or as
// covered, because of announcements of another service with its id.
func TestMarksAreKeptByService(t *testing.T) {
	m := New(nil)
	m.announceA(t, 5)
	for _, bornMs := range []int64{6, 7} {
		m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_Announce{Announce: &fleetpb.Endpoint{
			Id: "a", Service: "other", Address: "127.0.0.1:1", State: fleetpb.EndpointState_ENDPOINT_STATE_READY, BornMs: bornMs,
		}}})
	}
	m.apply(t, &fleetpb.Command{Kind: &fleetpb.Command_Cover{Cover: &fleetpb.Cover{Service: "other", EndedBornMs: map[string]int64{"a": 6}}}})
	for range 2 {
		assert.Assert(t, !m.IsRestarted("s", "a", 5) && m.IsRestarted("other", "a", 7))
		assert.Assert(t, !m.IsCovered("s", "a", 5) && m.IsCovered("other", "a", 6))
		data, err := m.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, m.Restore(data))
	}
	// A snapshot of an earlier version names no service.
	data, err := proto.Marshal(&fleetpb.AgreedState{CoveredBornMs: map[string]int64{"a": 5}, RestartedBornMs: map[string]int64{"b": 3}})
	assert.NilError(t, err)
	assert.NilError(t, m.Restore(data))
	assert.Assert(t, m.IsCovered("s", "a", 5) && m.IsRestarted("s", "b", 3))
	m.coverWith(t, &fleetpb.Cover{RunningBornMs: map[string]int64{"b": 3}})
	assert.Assert(t, !m.IsRestarted("s", "b", 3))
}
