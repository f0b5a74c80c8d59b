// Package announcer tells daemons where an endpoint is: at once, once a second,
// and when it leaves. It is the endpoint's side of docs/membership.md.
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
	// Path is where a daemon takes announcements, by POST.
	Path = "/v1/announce"
	// MaxBytes bounds an announcement and a refusal.
	MaxBytes = 4 << 10
	// Interval is between announcements.
	Interval = time.Second
	// postTimeout bounds one announcement to one daemon.
	postTimeout = 2 * time.Second
)

// Announcement is what an endpoint says of itself, as JSON.
type Announcement struct {
	Group   string `json:"group"`
	Slot    string `json:"slot"`
	Address string `json:"address"`
	// Incarnation changes when the endpoint starts with an empty disk.
	Incarnation string `json:"incarnation"`
	// Started is the endpoint's clock at its start, in milliseconds since 1970.
	Started uint64 `json:"started"`
	// Sequence grows with each announcement of one start.
	Sequence uint64 `json:"sequence"`
	Leaving  bool   `json:"leaving"`
}

// Refusal is a daemon's answer to an announcement that it does not use.
type Refusal struct {
	// Error is "unknown_slot", "slot_conflict", "invalid" or "internal".
	Error   string `json:"error"`
	Message string `json:"message"`
}

// Outcome is what became of the last announcement to one daemon. Err is empty
// if it was taken; it is a Refusal's Error, or "unreachable".
type Outcome struct {
	URL string
	Err string
	// Message explains Err.
	Message string
}

// unreachable is the Outcome of a daemon that gave no proper answer.
const unreachable = "unreachable"

// Announcer announces one endpoint to a list of daemons. Its methods may be
// called concurrently.
type Announcer struct {
	urls   []string
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex // guards what follows
	current  Announcement
	outcomes []Outcome
}

// Start announces a to the daemons with these base URLs until Stop. Started and
// Sequence are set here.
func Start(urls []string, a Announcement) *Announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a.Started = uint64(time.Now().UnixMilli())
	n := &Announcer{urls: slices.Clone(urls), client: &http.Client{Timeout: postTimeout}, cancel: cancel, current: a,
		outcomes: make([]Outcome, len(urls))}
	for i, url := range n.urls {
		n.outcomes[i] = Outcome{URL: url, Err: unreachable}
		// One slow daemon must not keep the others from hearing.
		n.wg.Go(func() { n.run(ctx, i) })
	}
	return n
}

func (n *Announcer) run(ctx context.Context, i int) {
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

func (n *Announcer) next() Announcement {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current.Sequence++
	return n.current
}

func (n *Announcer) announce(ctx context.Context, i int) {
	refusal, ok := n.post(ctx, n.urls[i], n.next())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outcomes[i] = Outcome{URL: n.urls[i]}
	if !ok {
		n.outcomes[i].Err, n.outcomes[i].Message = refusal.Error, refusal.Message
	}
}

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
	if json.NewDecoder(io.LimitReader(resp.Body, MaxBytes)).Decode(&refusal) != nil || refusal.Error == "" {
		return Refusal{Error: unreachable, Message: resp.Status}, false
	}
	return refusal, false
}

// Leave says that the endpoint leaves, to every daemon at once; it goes on
// saying so until Stop. It returns when all answered or the time for it is up.
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

// Outcomes returns what became of the last announcement to each daemon.
func (n *Announcer) Outcomes() []Outcome {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.outcomes)
}

// Stop ends the announcements without a word, like a crash.
func (n *Announcer) Stop() {
	n.cancel()
	n.wg.Wait()
}
