package failover

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSlots is the maximum number of configured slots of a group.
const maxSlots = 15

// check returns a *ConfigError for the first invalid field.
func (c *Config) check() error {
	switch {
	case c.Promoter == "":
		return &ConfigError{Field: "promoter", Problem: "empty"}
	case c.Term == 0:
		return &ConfigError{Field: "term", Problem: "zero"}
	case len(c.Members) == 0 || len(c.Members) > maxSlots:
		return &ConfigError{Field: "members", Problem: fmt.Sprintf("%d slots, want 1 to %d", len(c.Members), maxSlots)}
	}
	for i, m := range c.Members {
		for _, other := range c.Members[:i] {
			if m.Slot == other.Slot {
				return &ConfigError{Field: "members", Problem: fmt.Sprintf("duplicate slot %q", m.Slot)}
			}
		}
	}
	return nil
}

// ConfigError reports an invalid Config. Field names the setting in lower case.
type ConfigError struct {
	Field   string
	Problem string
}

func (e *ConfigError) Error() string { return fmt.Sprintf("promotion: %s: %s", e.Field, e.Problem) }

// backoff returns the delay before the next attempt. It doubles with each
// consecutive failed attempt up to BackoffCap. A jitter shorter than that delay is
// added. The jitter is a hash of group, promoter and term, so that two competing
// promoters don't collide again and again.
func (m *Machine) backoff() time.Duration {
	t := m.cfg.Timing
	d := t.BackoffBase
	for range m.cfg.FailedAttempts {
		if d *= 2; d >= t.BackoffCap {
			d = t.BackoffCap
			break
		}
	}
	if d <= 0 {
		return 0
	}
	seed := binary.BigEndian.AppendUint64([]byte(m.cfg.Group+"\x00"+m.cfg.Promoter+"\x00"), m.cfg.Term)
	return d + time.Duration(xxhash.Sum64(seed)%uint64(d))
}
