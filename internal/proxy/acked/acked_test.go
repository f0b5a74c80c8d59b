package acked

import (
	"testing"

	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/logpos"
)

func at(term, index uint64) logpos.Pos { return logpos.Pos{Term: term, Index: index} }

func record(number, term uint64, end logpos.Pos) *fleetpb.Primary {
	return &fleetpb.Primary{Number: number, EndpointId: "b", Term: term, Inherited: &fleetpb.LogPosition{Term: end.Term, Index: end.Index}}
}

func TestPrimaryLacksAcknowledgedCommit(t *testing.T) {
	for name, tc := range map[string]struct {
		acknowledged logpos.Pos
		record       *fleetpb.Primary
		want         bool
	}{
		"holds all":                        {at(3, 1209), record(2, 4, at(3, 1209)), false},
		"log ends earlier":                 {at(3, 1209), record(2, 4, at(3, 1208)), true},
		"nothing of the last term":         {at(3, 1209), record(2, 4, at(2, 1300)), true},
		"empty log":                        {at(3, 1), record(2, 4, at(0, 0)), true},
		"its own commit":                   {at(4, 1210), record(2, 4, at(3, 1209)), false},
		"commit of a later primary":        {at(5, 1300), record(2, 4, at(3, 1209)), false},
		"status after commits of its own":  {at(3, 1209), record(2, 4, at(4, 1212)), false},
		"the same, too few":                {at(3, 1215), record(2, 4, at(4, 1212)), true},
		"inherited position is not known":  {at(3, 1209), &fleetpb.Primary{Number: 2, Term: 4}, false},
		"term of the primary is not known": {at(3, 1209), record(2, 0, at(3, 1)), false},
	} {
		t.Run(name, func(t *testing.T) {
			var first, late Commits
			first.Acknowledge(tc.acknowledged)
			_, got := first.Apply(tc.record)
			assert.Equal(t, got, tc.want)
			late.Apply(tc.record)
			_, got = late.Acknowledge(tc.acknowledged)
			assert.Equal(t, got, tc.want, "answer arrived after the record")
		})
	}
}

func TestMissingCommitIsReportedOnceForARecord(t *testing.T) {
	var c Commits
	c.Acknowledge(at(3, 1207))
	c.Acknowledge(at(3, 1209))
	c.Acknowledge(at(3, 1208))
	m, ok := c.Apply(record(2, 4, at(3, 1205)))
	assert.Assert(t, ok)
	assert.Equal(t, m.Acknowledged, at(3, 1209))
	assert.Equal(t, m.Inherited, at(3, 1205))
	_, ok = c.Acknowledge(at(3, 1210))
	assert.Assert(t, !ok)
	_, ok = c.Apply(record(3, 5, at(4, 1206)))
	assert.Assert(t, !ok, "the next primary is not blamed")
	c.Acknowledge(at(5, 1300))
	_, ok = c.Apply(record(4, 6, at(5, 1299)))
	assert.Assert(t, ok, "another commit, another record")
}

// TestPositionOutlivesPromotions guards against a check that forgets a commit which the next
// primary holds and the one after it lacks.
func TestPositionOutlivesPromotions(t *testing.T) {
	var c Commits
	c.Acknowledge(at(3, 1209))
	_, ok := c.Apply(record(2, 4, at(3, 1209)))
	assert.Assert(t, !ok)
	_, ok = c.Apply(record(3, 5, at(3, 1208)))
	assert.Assert(t, ok)
}

func TestPositionsAreBounded(t *testing.T) {
	var c Commits
	for term := range uint64(50) {
		c.Acknowledge(at(term+1, 100+term))
	}
	assert.Equal(t, len(c.positions), maxTerms)
	assert.Equal(t, c.positions[maxTerms-1], at(50, 149))
}

// TestPrimaryPromotedAgainHoldsItsCommits guards against a false report when the endpoint of a
// record is promoted once more.
func TestPrimaryPromotedAgainHoldsItsCommits(t *testing.T) {
	var c Commits
	c.Apply(record(2, 4, at(3, 1209)))
	c.Acknowledge(at(4, 1300))
	_, ok := c.Apply(record(2, 5, at(3, 1209)))
	assert.Assert(t, !ok)
	_, ok = c.Apply(record(3, 6, at(4, 1299)))
	assert.Assert(t, ok)
}
