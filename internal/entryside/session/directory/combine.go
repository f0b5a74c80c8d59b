package directory

import "hemlockmast/internal/entryside/session"

// CombinedAnswer is the combination of the copies' answers about a session.
type CombinedAnswer struct {
	// Complete states that the session has no write in groups without a floor.
	Complete bool
	// Floors holds the later of the copies' floors in each group. A floor is
	// settled only if every copy knows its floor in the group.
	Floors session.Floors
}

// Combine merges the answers of the copies that were reached. copies is the number
// of all copies. A copy that was not reached may hold the only record of a write,
// so nothing is settled if an answer is missing.
func Combine(copies int, answers []Answer) CombinedAnswer {
	allAnswered := copies > 0 && len(answers) >= copies
	combined := CombinedAnswer{Complete: allAnswered}
	for _, a := range answers {
		combined.Complete = combined.Complete && a.Complete
		for _, g := range a.Floors.List() {
			g.Settled = allAnswered && isFloorKnownToAll(answers, g.Group)
			// Groups above the limit of a session are left out of the result.
			// Their floors are unknown, so the result must not be complete.
			if err := combined.Floors.Merge(g); err != nil {
				combined.Complete = false
			}
		}
	}
	return combined
}

func isFloorKnownToAll(answers []Answer, group string) bool {
	for _, a := range answers {
		if !a.isFloorKnown(group) {
			return false
		}
	}
	return true
}
