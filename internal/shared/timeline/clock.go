// Package timeline records typed events of one daemon with a hybrid logical
// clock, and merges and renders the events of many.
package timeline

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	timelinepb "hemlockmast/api/timeline"
)

// MaxAhead bounds how far a stamp of another daemon may be ahead of this
// daemon's clock. A daemon whose clock is further off would drag all others
// along.
const MaxAhead = time.Minute

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// Wall is nanoseconds since the Unix epoch.
	Wall int64
	// Counter orders stamps of equal Wall.
	Counter uint32
}

// Compare returns -1, 0 or +1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Counter, o.Counter))
}

// Time returns the wall time.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// String returns the form "wall.counter" for message headers.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatUint(uint64(s.Counter), 10)
}

// ParseStamp reads the form that String writes, else gives *StampError.
func ParseStamp(text string) (Stamp, error) {
	wall, counter, ok := strings.Cut(text, ".")
	if !ok {
		return Stamp{}, &StampError{Text: text}
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil || w < 0 {
		return Stamp{}, &StampError{Text: text}
	}
	c, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return Stamp{}, &StampError{Text: text}
	}
	return Stamp{Wall: w, Counter: uint32(c)}, nil
}

func stampFromProto(s *timelinepb.Stamp) Stamp {
	return Stamp{Wall: s.GetWallNs(), Counter: s.GetCounter()}
}

func stampToProto(s Stamp) *timelinepb.Stamp {
	return &timelinepb.Stamp{WallNs: s.Wall, Counter: s.Counter}
}

// Clock is a hybrid logical clock. It is not safe for concurrent use, and reads
// no clock itself.
//
// Invariant: each stamp it gives is after all stamps that it gave or accepted.
type Clock struct{ last Stamp }

// Tick returns the stamp of a new local event or message at wall time now.
func (c *Clock) Tick(now time.Time) Stamp {
	if wall := now.UnixNano(); wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last = c.last.next()
	return c.last
}

// Accept takes the stamp of a message that was received at wall time now. A stamp
// more than MaxAhead ahead is not taken and gives *AheadError.
func (c *Clock) Accept(now time.Time, remote Stamp) error {
	ahead := time.Duration(remote.Wall - now.UnixNano())
	if ahead > MaxAhead {
		return &AheadError{Ahead: ahead}
	}
	if c.last.Compare(remote) < 0 {
		c.last = remote
	}
	return nil
}

func (s Stamp) next() Stamp {
	if s.Counter == ^uint32(0) {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Counter: s.Counter + 1}
}
