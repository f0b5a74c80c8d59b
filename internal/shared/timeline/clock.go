// Package timeline records the events of a daemon with timestamps of a hybrid logical
// clock, stores them in files, and merges and formats the events of many daemons.
package timeline

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	timelinepb "hemlockmast/api/timeline"
)

// MaxAhead bounds how far another daemon's stamp may be ahead of this daemon's wall clock.
// Without a bound, one daemon with a wrong clock would advance the clocks of all others.
const MaxAhead = time.Minute

// Stamp is a timestamp of a hybrid logical clock.
type Stamp struct {
	// Wall is the wall time in nanoseconds since the Unix epoch.
	Wall int64
	// Counter orders stamps with equal Wall.
	Counter uint32
}

// Compare returns -1, 0 or +1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Counter, o.Counter))
}

// Time returns the wall time.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// String returns s in the form "wall.counter", which message headers use.
func (s Stamp) String() string {
	return strconv.FormatInt(s.Wall, 10) + "." + strconv.FormatUint(uint64(s.Counter), 10)
}

// ParseStamp parses the form that String returns. Errors: *StampError.
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

// Clock is a hybrid logical clock. It is not safe for concurrent use. The wall time is
// passed to its methods.
//
// Invariant: each stamp that Tick returns is after all stamps that were returned or
// accepted before.
type Clock struct{ last Stamp }

// Tick returns the stamp for a new local event or outgoing message at wall time now.
func (c *Clock) Tick(now time.Time) Stamp {
	if wall := now.UnixNano(); wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last = c.last.next()
	return c.last
}

// Accept advances the clock to the stamp of a message received at wall time now. Errors:
// *AheadError for a stamp more than MaxAhead ahead of now, which leaves the clock as it is.
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

// next returns the smallest stamp after s.
func (s Stamp) next() Stamp {
	if s.Counter == ^uint32(0) {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Counter: s.Counter + 1}
}
