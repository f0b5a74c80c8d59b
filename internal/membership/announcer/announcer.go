// Package announcer announces an endpoint to daemons over HTTP: at its start, then
// once a second, and at once when it leaves. It implements the endpoint's side of
// docs/membership.md.
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// Path is the HTTP path at which a daemon accepts announcements by POST.
	Path = "/v1/announce"
	// MaxMessageBytes bounds the body of an announcement and of a Refusal.
	MaxMessageBytes = 4 << 10
	// Interval is the time between announcements to one daemon.
	Interval = time.Second
	// postTimeout bounds one announcement to one daemon, from the connection to the
	// answer.
	postTimeout = 2 * time.Second
)

// Announcement is the JSON message in which an endpoint claims a slot.
type Announcement struct {
	Group string `json:"group"`
	Slot  string `json:"slot"`
	// Address is the "host:port" at which daemons connect to the endpoint.
	Address string `json:"address"`
	// Incarnation changes when the endpoint starts with an empty disk.
	Incarnation string `json:"incarnation"`
	// Started is the endpoint's clock at its start, in milliseconds since 1970.
	Started uint64 `json:"started"`
	// Sequence grows with each announcement after one start.
	Sequence uint64 `json:"sequence"`
	// Leaving is set when the endpoint leaves the slot.
	Leaving bool `json:"leaving"`
}

// Refusal is the JSON answer of a daemon that refuses a request, such as an
// announcement.
type Refusal struct {
	// Error is "unknown_slot", "slot_conflict", "invalid" or "internal".
	Error string `json:"error"`
	// Message explains Error to a person.
	Message string `json:"message"`
}

// Outcome is the result of the last announcement to one daemon.
type Outcome struct {
	// URL is the daemon's base URL.
	URL string
	// Code is empty if the daemon accepted the announcement. Otherwise it is a
	// Refusal's Error, or "unreachable" if the daemon gave no valid answer or nothing
	// was announced to it yet.
	Code string
	// Message explains Code.
	Message string
}

// unreachable is the Outcome's Code for a daemon that gave no valid answer.
const unreachable = "unreachable"

// Announcer announces one endpoint to a list of daemons. Its methods are safe for
// concurrent use.
type Announcer struct {
	urls   []string
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	current  Announcement
	outcomes []Outcome
}

// Start starts to announce a to the daemons with these base URLs, and goes on until
// Stop. It sets a's Started to the current time; Sequence is counted up for each
// announcement.
func Start(urls []string, a Announcement) *Announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a.Started = uint64(time.Now().UnixMilli())
	n := &Announcer{urls: slices.Clone(urls), client: &http.Client{Timeout: postTimeout}, cancel: cancel, current: a,
		outcomes: make([]Outcome, len(urls))}
	for i, url := range n.urls {
		n.outcomes[i] = Outcome{URL: url, Code: unreachable}
		// Each daemon has its own goroutine, so that a slow daemon does not delay
		// the announcements to the others.
		n.wg.Go(func() { n.announceRepeatedly(ctx, i) })
	}
	return n
}

func (n *Announcer) announceRepeatedly(ctx context.Context, i int) {
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		n.announce(ctx, i)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// nextAnnouncement returns the announcement with the next sequence.
func (n *Announcer) nextAnnouncement() Announcement {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current.Sequence++
	return n.current
}

// announce makes one announcement to the daemon at index i and stores its outcome.
func (n *Announcer) announce(ctx context.Context, i int) {
	refusal, ok := n.post(ctx, n.urls[i], n.nextAnnouncement())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outcomes[i] = Outcome{URL: n.urls[i]}
	if !ok {
		n.outcomes[i].Code, n.outcomes[i].Message = refusal.Error, refusal.Message
	}
}

// post sends an announcement to one daemon. It reports whether the daemon accepted
// it, and if not, why.
func (n *Announcer) post(ctx context.Context, url string, a Announcement) (Refusal, bool) {
	body, err := json.Marshal(a)
	if err != nil {
		return Refusal{Error: unreachable, Message: err.Error()}, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+Path, bytes.NewReader(body))
	if err != nil {
		return Refusal{Error: unreachable, Message: err.Error()}, false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := n.client.Do(req)
	if err != nil {
		return Refusal{Error: unreachable, Message: err.Error()}, false
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNoContent {
		return Refusal{}, true
	}
	var refusal Refusal
	if json.NewDecoder(io.LimitReader(resp.Body, MaxMessageBytes)).Decode(&refusal) != nil || refusal.Error == "" {
		return Refusal{Error: unreachable, Message: resp.Status}, false
	}
	return refusal, false
}

// Leave announces to all daemons at once that the endpoint leaves. It returns when
// every daemon has answered, postTimeout has passed or ctx is done. All later
// announcements until Stop say that the endpoint leaves.
func (n *Announcer) Leave(ctx context.Context) {
	n.mu.Lock()
	n.current.Leaving = true
	n.mu.Unlock()
	var wg sync.WaitGroup
	for i := range n.urls {
		wg.Go(func() { n.announce(ctx, i) })
	}
	wg.Wait()
}

// Outcomes returns the result of the last announcement to each daemon, in the order
// of the URLs given to Start.
func (n *Announcer) Outcomes() []Outcome {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.outcomes)
}

// Stop ends the announcements. It does not announce that the endpoint leaves, so
// daemons see the same as after a crash.
func (n *Announcer) Stop() {
	n.cancel()
	n.wg.Wait()
}
