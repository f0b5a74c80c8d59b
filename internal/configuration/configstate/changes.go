package configstate

import (
	"crypto/sha256"
	"encoding/binary"

	"hemlockmast/api/configstate"
)

// MaxRememberedChanges bounds the changes whose results are kept, so that a
// resent change gets its first result. A change that was accepted and then
// forgotten is still not applied twice: its base revision is no longer in
// force, so a resend is a conflict.
const MaxRememberedChanges = 1024

// changeLog keeps the results of the latest changes by change id.
type changeLog struct {
	// order holds the changes, oldest first.
	order []*configstate.RememberedChange
	byID  map[string]*configstate.RememberedChange
}

func newChangeLog() changeLog {
	return changeLog{byID: make(map[string]*configstate.RememberedChange)}
}

func (l *changeLog) find(id string) *configstate.RememberedChange { return l.byID[id] }

func (l *changeLog) add(change *configstate.RememberedChange) {
	l.order = append(l.order, change)
	l.byID[change.GetChange().GetId()] = change
	if len(l.order) > MaxRememberedChanges {
		delete(l.byID, l.order[0].GetChange().GetId())
		l.order = l.order[1:]
	}
}

// changeAt returns the change that made the given revision. When that change
// has been forgotten, or the revision does not exist, it returns the remembered
// change with the highest revision, or nil if no change made one.
func (l *changeLog) changeAt(revision uint64) *configstate.Change {
	var latest *configstate.Change
	for _, remembered := range l.order {
		change := remembered.GetChange()
		if change.GetRevision() == revision {
			return change
		}
		if change.GetRevision() > latest.GetRevision() {
			latest = change
		}
	}
	return latest
}

// digest returns the SHA-256 of a change's base revision and configuration. It
// tells a resend from another change that reuses the change id.
func digest(publish *configstate.Publish) []byte {
	h := sha256.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], publish.GetBaseRevision())
	h.Write(base[:])
	h.Write(publish.GetConfiguration())
	return h.Sum(nil)
}
