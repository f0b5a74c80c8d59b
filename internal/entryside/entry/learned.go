package entry

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxLearnedWrites limits the number of remembered statements.
const maxLearnedWrites = 16 << 10

// learnedWrites remembers statements that a replica refused to run because they
// write. The next time they go directly to the primary. It is only an
// optimization: a missing or wrong item does no harm.
type learnedWrites struct {
	// mu guards keys.
	mu   sync.RWMutex
	keys map[uint64]struct{}
}

func newLearnedWrites() *learnedWrites {
	return &learnedWrites{keys: map[uint64]struct{}{}}
}

func statementKey(service, query string) uint64 {
	return xxhash.Sum64String(service + "\x00" + query)
}

func (l *learnedWrites) contains(service, query string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, ok := l.keys[statementKey(service, query)]
	return ok
}

func (l *learnedWrites) add(service string, queries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.keys) >= maxLearnedWrites {
		clear(l.keys)
	}
	for _, q := range queries {
		l.keys[statementKey(service, q)] = struct{}{}
	}
}
