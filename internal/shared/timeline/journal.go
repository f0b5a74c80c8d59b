package timeline

import (
	"sync"
	"time"
	"unicode/utf8"

	timelinepb "hemlockmast/api/timeline"
)

// Bounds of a journal.
const (
	// MaxText bounds each text of an event, in bytes; longer text is cut.
	MaxText = 256
	// MaxFetch bounds the events of one answer.
	MaxFetch = 1000
	// maxScan bounds the events that one answer looks at.
	maxScan = 20 * MaxFetch
)

// Journal keeps the last events of one daemon. It is safe for concurrent use;
// its lock is held for short, bounded work only, and no other lock is taken
// while it is held.
type Journal struct {
	daemon string
	now    func() time.Time

	mu    sync.Mutex
	clock Clock
	ring  []*timelinepb.Event
	// next is the sequence of the next event; the event with sequence n is in
	// ring[n%len(ring)].
	next uint64
	// changed is closed when an event is added.
	changed chan struct{}
}

// NewJournal returns an empty journal for capacity events.
func NewJournal(daemon string, capacity int, now func() time.Time) *Journal {
	return &Journal{
		daemon:  daemon,
		now:     now,
		ring:    make([]*timelinepb.Event, max(1, capacity)),
		next:    1,
		changed: make(chan struct{}),
	}
}

// Record adds an event. The journal sets stamp, daemon and sequence, and owns
// the event from then on.
func (j *Journal) Record(e *timelinepb.Event) {
	for _, text := range []*string{&e.Group, &e.Slot, &e.Service, &e.Session, &e.Request, &e.Detail} {
		*text = cutText(*text)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Stamp = stampToProto(j.clock.Tick(j.now()))
	e.Daemon = j.daemon
	e.Sequence = j.next
	j.ring[j.next%uint64(len(j.ring))] = e
	j.next++
	close(j.changed)
	j.changed = make(chan struct{})
}

// cutText keeps at most MaxText bytes of valid text.
func cutText(text string) string {
	if len(text) <= MaxText && utf8.ValidString(text) {
		return text
	}
	end := min(len(text), MaxText)
	for end > 0 && !utf8.ValidString(text[:end]) {
		end--
	}
	return text[:end]
}

// Stamp returns a stamp for a message to another daemon.
func (j *Journal) Stamp() Stamp {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.clock.Tick(j.now())
}

// Accept takes the stamp of a message from another daemon, so that later events
// here come after it. A stamp too far ahead gives *AheadError and is not taken.
func (j *Journal) Accept(remote Stamp) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.clock.Accept(j.now(), remote)
}

// Page is a part of a journal.
type Page struct {
	Events []*timelinepb.Event
	// Next is the sequence to go on after.
	Next uint64
	// More says that the journal holds events after Next.
	More bool
	// Lost counts events after the sequence asked for that are overwritten.
	Lost uint64
}

// After returns up to limit events after the sequence that filter selects.
// The events must not be changed.
func (j *Journal) After(sequence uint64, filter *timelinepb.Filter, limit int) Page {
	if limit <= 0 || limit > MaxFetch {
		limit = MaxFetch
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	page := Page{Next: min(sequence, j.next-1)}
	if oldest := j.oldest(); page.Next+1 < oldest {
		page.Lost = oldest - page.Next - 1
		page.Next = oldest - 1
	}
	for scanned := 0; page.Next+1 < j.next && len(page.Events) < limit && scanned < maxScan; scanned++ {
		page.Next++
		e := j.ring[page.Next%uint64(len(j.ring))]
		if Selects(filter, e) {
			page.Events = append(page.Events, e)
		}
	}
	page.More = page.Next+1 < j.next
	return page
}

func (j *Journal) oldest() uint64 {
	if size := uint64(len(j.ring)); j.next > size {
		return j.next - size
	}
	return 1
}

// Changed returns a channel that is closed at the next event.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// Daemon returns the name of the journal's daemon.
func (j *Journal) Daemon() string { return j.daemon }
