package configstate

import (
	"crypto/sha256"
	"encoding/binary"

	"hemlockmast/api/configstate"
)

// MaxRememberedChanges is how many changes keep their first answer. A change
// that was accepted and forgotten is still not run twice: its base revision is
// no longer in force, so that a resend is a conflict.
const MaxRememberedChanges = 1024

// changeLog remembers the answers to the latest changes.
type changeLog struct {
	// order holds the changes from the oldest to the latest.
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

// winner returns the change that made revision, or the latest that made one.
func (l *changeLog) winner(revision uint64) *configstate.Change {
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

// digest identifies the content of a change.
func digest(publish *configstate.Publish) []byte {
	h := sha256.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], publish.GetBaseRevision())
	h.Write(base[:])
	h.Write(publish.GetConfiguration())
	return h.Sum(nil)
}
