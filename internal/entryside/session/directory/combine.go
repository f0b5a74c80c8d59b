package directory

import "hemlockmast/internal/entryside/session"

// Knowledge is what the directory knows of a session as a whole.
type Knowledge struct {
	// Complete says that groups without a floor have no write of the session.
	Complete bool
	// Floors holds the later of the copies' floors, settled only where every
	// copy vouches.
	Floors session.Floors
}

// Combine merges the answers of the copies that were reached, out of wanted
// copies. A copy that was not reached may hold the only record of a write, so
// that without it nothing is settled.
func Combine(wanted int, answers []Answer) Knowledge {
	all := wanted > 0 && len(answers) >= wanted
	out := Knowledge{Complete: all}
	for _, a := range answers {
		out.Complete = out.Complete && a.Complete
		for _, g := range a.Floors.List() {
			g.Settled = all && everyVouches(answers, g.Group)
			// More groups than a session may have stay out of the result and
			// are unknown, which is safe only without completeness.
			if err := out.Floors.Merge(g); err != nil {
				out.Complete = false
			}
		}
	}
	return out
}

func everyVouches(answers []Answer, group string) bool {
	for _, a := range answers {
		if !a.vouches(group) {
			return false
		}
	}
	return true
}
