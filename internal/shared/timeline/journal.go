package timeline

import (
	"sync"
	"time"
	"unicode/utf8"

	timelinepb "hemlockmast/api/timeline"
)

// Bounds of a journal.
const (
	// MaxTextBytes bounds each text field of an event. Longer text is truncated.
	MaxTextBytes = 256
	// MaxFetchEvents bounds the events of one Page.
	MaxFetchEvents = 1000
	// maxScannedEvents bounds the events that are scanned for one Page.
	maxScannedEvents = 20 * MaxFetchEvents
)

// Journal keeps the latest events of one daemon in memory. It is safe for concurrent use.
// Its lock is only held for short, bounded work, and no other lock is taken meanwhile.
type Journal struct {
	daemon string
	now    func() time.Time

	mu    sync.Mutex
	clock Clock
	// ring is a ring buffer: the event with sequence number n is in ring[n%len(ring)].
	ring []*timelinepb.Event
	// next is the sequence number of the next event.
	next uint64
	// changed is closed and replaced when an event is recorded.
	changed chan struct{}
}

// NewJournal returns an empty journal that keeps the latest capacity events. now returns
// the wall time.
func NewJournal(daemon string, capacity int, now func() time.Time) *Journal {
	return &Journal{
		daemon:  daemon,
		now:     now,
		ring:    make([]*timelinepb.Event, max(1, capacity)),
		next:    1,
		changed: make(chan struct{}),
	}
}

// Record adds an event and sets its stamp, daemon and sequence number. The event must not
// be used afterwards.
func (j *Journal) Record(e *timelinepb.Event) {
	for _, text := range []*string{&e.Group, &e.Slot, &e.Service, &e.Session, &e.Request, &e.Detail} {
		*text = truncateText(*text)
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

// truncateText returns the longest prefix of text that is valid UTF-8 and at most
// MaxTextBytes long.
func truncateText(text string) string {
	if len(text) <= MaxTextBytes && utf8.ValidString(text) {
		return text
	}
	end := min(len(text), MaxTextBytes)
	for end > 0 && !utf8.ValidString(text[:end]) {
		end--
	}
	return text[:end]
}

// Stamp returns a stamp for an outgoing message to another daemon.
func (j *Journal) Stamp() Stamp {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.clock.Tick(j.now())
}

// Accept processes the stamp of a message from another daemon, so that later events of this
// journal are ordered after it. Errors: *AheadError for a stamp that is too far ahead, which
// is ignored.
func (j *Journal) Accept(remote Stamp) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.clock.Accept(j.now(), remote)
}

// Page is one page of a journal's events.
type Page struct {
	Events []*timelinepb.Event
	// Next is the sequence number to pass to After for the next page.
	Next uint64
	// More means that the journal holds events after Next.
	More bool
	// Lost is the number of requested events that are already overwritten.
	Lost uint64
}

// After returns a page of the events with sequence numbers above sequence that filter
// selects. It contains up to limit events, or MaxFetchEvents if limit is not in 1 to
// MaxFetchEvents. The events must not be modified.
func (j *Journal) After(sequence uint64, filter *timelinepb.Filter, limit int) Page {
	if limit <= 0 || limit > MaxFetchEvents {
		limit = MaxFetchEvents
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	page := Page{Next: min(sequence, j.next-1)}
	if oldest := j.oldest(); page.Next+1 < oldest {
		page.Lost = oldest - page.Next - 1
		page.Next = oldest - 1
	}
	for scanned := 0; page.Next+1 < j.next && len(page.Events) < limit && scanned < maxScannedEvents; scanned++ {
		page.Next++
		e := j.ring[page.Next%uint64(len(j.ring))]
		if Selects(filter, e) {
			page.Events = append(page.Events, e)
		}
	}
	page.More = page.Next+1 < j.next
	return page
}

// oldest returns the sequence number of the oldest event that is not overwritten.
func (j *Journal) oldest() uint64 {
	if size := uint64(len(j.ring)); j.next > size {
		return j.next - size
	}
	return 1
}

// Changed returns a channel that is closed when the next event is recorded.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// Daemon returns the name of the journal's daemon.
func (j *Journal) Daemon() string { return j.daemon }
