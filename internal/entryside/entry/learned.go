package entry

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxLearned bounds the statements remembered as writes.
const maxLearned = 16 << 10

// learnedWrites remembers statements that a replica refused to run because
// they write, so that they go to the primary at once the next time. An entry
// only saves a detour; a lost or wrong one does no harm.
type learnedWrites struct {
	// mu guards seen.
	mu   sync.RWMutex
	seen map[uint64]struct{}
}

func newLearnedWrites() *learnedWrites {
	return &learnedWrites{seen: map[uint64]struct{}{}}
}

func learnedKey(service, query string) uint64 {
	return xxhash.Sum64String(service + "\x00" + query)
}

func (l *learnedWrites) contains(service, query string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, ok := l.seen[learnedKey(service, query)]
	return ok
}

func (l *learnedWrites) add(service string, queries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.seen) >= maxLearned {
		clear(l.seen)
	}
	for _, q := range queries {
		l.seen[learnedKey(service, q)] = struct{}{}
	}
}
