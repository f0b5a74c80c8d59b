package fleetctl

import (
	"testing"

	"gotest.tools/v3/assert"

	agreepb "hemlockmast/api/agree"
	"hemlockmast/internal/controlgroup/agree"
	"hemlockmast/internal/controlgroup/control"
)

// TestLossesBorne covers groups with all voters, with a silent one, and with a learner, which
// does not count.
func TestLossesBorne(t *testing.T) {
	const long = 1000
	for _, row := range []struct{ voters, silent, learners, losses int }{
		{3, 0, 0, 1}, {3, 1, 0, 0}, {4, 0, 0, 1}, {4, 1, 0, 0}, {5, 1, 0, 1}, {3, 0, 1, 1}, {2, 0, 1, 0}, {1, 0, 0, 0},
	} {
		st := control.Status{}
		st.Membership = &agreepb.Membership{}
		st.TicksSinceReply = make(map[agree.ID]int)
		for i := range row.voters + row.learners {
			id := agree.ID{Name: string(rune('a' + i)), Incarnation: 1}
			st.Membership.Members = append(st.Membership.Members, &agreepb.Member{Id: id.Proto(), Voter: i < row.voters})
			if i == 0 {
				st.Self = id
			} else if i <= row.silent {
				st.TicksSinceReply[id] = long
			}
		}
		losses, silent := lossesBorne(st)
		assert.Equal(t, losses, row.losses, "%+v", row)
		assert.Equal(t, len(silent), row.silent, "%+v", row)
	}
}
