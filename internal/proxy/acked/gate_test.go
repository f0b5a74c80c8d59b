package acked

import (
	"testing"

	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/shared/logpos"
)

func closing(number, token uint64, successor string) *fleetpb.Primary {
	return &fleetpb.Primary{Number: number, EndpointId: "a", ClosedToken: token, SuccessorId: successor}
}

// Callers lost commits that the promoted endpoint did not hold: each row is a success at the
// primary of record 2.
func TestGate(t *testing.T) {
	inherits := record(3, 4, at(3, 1209))
	for name, tc := range map[string]struct {
		records []*fleetpb.Primary
		held    logpos.Pos
		pos     logpos.Pos
		want    Verdict
	}{
		"open":                              {[]*fleetpb.Primary{closing(2, 0, "")}, logpos.Pos{}, at(3, 1209), Pass},
		"closed":                            {[]*fleetpb.Primary{closing(2, 7, "")}, logpos.Pos{}, at(3, 1209), Withhold},
		"opened again":                      {[]*fleetpb.Primary{closing(2, 7, ""), closing(2, 0, "")}, logpos.Pos{}, at(3, 1209), Pass},
		"successor unheard":                 {[]*fleetpb.Primary{closing(2, 7, "b")}, logpos.Pos{}, at(3, 1209), Await},
		"successor behind":                  {[]*fleetpb.Primary{closing(2, 7, "b")}, at(3, 1208), at(3, 1209), Await},
		"successor holds it":                {[]*fleetpb.Primary{closing(2, 7, "b")}, at(3, 1209), at(3, 1209), Pass},
		"successor in a later term":         {[]*fleetpb.Primary{closing(2, 7, "b")}, at(4, 1300), at(3, 1209), Await},
		"position not told":                 {[]*fleetpb.Primary{closing(2, 7, "b")}, at(3, 1209), logpos.Pos{}, Await},
		"planned, then closed":              {[]*fleetpb.Primary{closing(2, 7, "b"), closing(2, 7, "")}, logpos.Pos{}, at(3, 1209), Withhold},
		"closed, then planned":              {[]*fleetpb.Primary{closing(2, 7, ""), closing(2, 8, "b")}, logpos.Pos{}, at(3, 1209), Await},
		"next attempt, same successor":      {[]*fleetpb.Primary{closing(2, 7, "b"), closing(2, 8, "b")}, logpos.Pos{}, at(3, 1209), Await},
		"replaced, late answer":             {[]*fleetpb.Primary{closing(2, 7, "b"), record(3, 4, at(4, 1300))}, logpos.Pos{}, at(3, 1209), Withhold},
		"replaced, inherited":               {[]*fleetpb.Primary{closing(2, 7, "b"), inherits}, logpos.Pos{}, at(3, 1209), Pass},
		"replaced, not inherited":           {[]*fleetpb.Primary{closing(2, 7, "b"), inherits}, logpos.Pos{}, at(3, 1210), Withhold},
		"replaced without a word":           {[]*fleetpb.Primary{closing(2, 0, ""), inherits}, logpos.Pos{}, at(3, 1210), Withhold},
		"replaced without a word, inherits": {[]*fleetpb.Primary{closing(2, 0, ""), inherits}, logpos.Pos{}, at(3, 1208), Pass},
		"replaced after the close":          {[]*fleetpb.Primary{closing(2, 7, ""), inherits}, logpos.Pos{}, at(3, 1209), Withhold},
	} {
		t.Run(name, func(t *testing.T) {
			var g Gate
			for _, r := range tc.records {
				g.Apply(r)
			}
			g.NoteHeld("c", at(3, 9999))
			g.NoteHeld("b", tc.held)
			assert.Equal(t, g.Check(2, tc.pos), tc.want)
		})
	}
}

// A success that waits is passed on after the record of the next primary if the successor is
// known to hold the commit.
func TestGateKeepsWhatTheSuccessorHeld(t *testing.T) {
	var g Gate
	assert.Assert(t, g.Apply(closing(2, 7, "b")))
	assert.Assert(t, !g.Apply(closing(2, 7, "b")))
	assert.Assert(t, g.NoteHeld("b", at(3, 1209)))
	assert.Assert(t, !g.NoteHeld("b", at(3, 1208)))
	g.Apply(record(3, 4, at(4, 1300)))
	assert.Equal(t, g.Successor(), "")
	assert.Equal(t, g.Check(2, at(3, 1209)), Pass)
	assert.Equal(t, g.Check(2, at(3, 1210)), Withhold)
	assert.Equal(t, g.Check(3, at(4, 1301)), Pass)
}
