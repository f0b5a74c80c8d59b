package directoryrpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	directorypb "hemlockmast/api/directory"
	"hemlockmast/internal/entryside/session"
	"hemlockmast/internal/entryside/session/directory"
)

// View is what a daemon knows of the members that keep the directory.
type View struct {
	Members []Address
	// Current says that the daemon has confirmed that the view is in force.
	Current bool
}

// needed returns how many copies have to confirm a record.
func (v View) needed() int {
	if v.Current {
		return 1
	}
	return directory.Copies
}

// Address is one member and where its twirp service is.
type Address struct {
	directory.Member
	// URL is the base URL of the member's twirp services.
	URL string
}

// Client keeps floors on both copies of an entry. It is safe for concurrent
// use.
type Client struct {
	view func() View
	http *http.Client
	now  func() time.Time

	// mu guards members. Lock order: mu before a member's lock.
	mu      sync.Mutex
	members map[string]*member
}

// NewClient returns a client. View gives the present members at each call and
// must not block; now is used to suspend members that fail.
func NewClient(view func() View, httpClient *http.Client, now func() time.Time) *Client {
	return &Client{view: view, http: httpClient, now: now, members: make(map[string]*member)}
}

// Reading is what the directory said of a session at one moment. It is needed
// to settle floors afterwards.
type Reading struct {
	directory.CombinedAnswer
	// Failed lists the copies that could not be reached.
	Failed []*CopyError

	id     session.ID
	copies []copyStamp
}

type copyStamp struct {
	url   string
	stamp directory.Stamp
}

// Lookup asks both copies. With a copy that cannot be reached the floors are
// lower bounds, named unknown, and Failed says why.
func (c *Client) Lookup(ctx context.Context, id session.ID) Reading {
	return c.read(ctx, &directorypb.Operation{
		Kind:      directorypb.OperationKind_OPERATION_LOOKUP,
		SessionId: string(id),
	})
}

// Create opens the entry of a session id that this daemon made now. It must not
// be repeated once a write of the session was sent.
func (c *Client) Create(ctx context.Context, id session.ID) Reading {
	return c.read(ctx, &directorypb.Operation{
		Kind:      directorypb.OperationKind_OPERATION_CREATE,
		SessionId: string(id),
	})
}

// Record raises floors before the write that raised them is acknowledged. One
// copy is enough, since a floor is only known when both copies answer; the other
// copy is written behind. While the view is not confirmed as current another
// daemon might look elsewhere, and both copies are needed. Too few give
// *UnrecordedError.
func (c *Client) Record(ctx context.Context, id session.ID, floors session.Floors) error {
	view := c.view()
	needed := view.needed()
	copies := c.choose(id, view)
	op := &directorypb.Operation{
		Kind:      directorypb.OperationKind_OPERATION_RECORD,
		SessionId: string(id),
		Floors:    session.FloorsToProto(floors),
	}
	results := c.start(ctx, copies, func(int) *directorypb.Operation { return op })
	confirmed := 0
	var failed []*CopyError
	for range copies {
		r := <-results
		if r.err != nil {
			failed = append(failed, &CopyError{Member: r.address.Name, Cause: r.err})
			continue
		}
		confirmed++
		if confirmed >= needed {
			return nil
		}
	}
	return &UnrecordedError{ID: id, Confirmed: confirmed, Needed: needed, Copies: failed}
}

// CanRecord tells before a write is sent whether its floor could be recorded
// now, judged by the last calls. If not it gives *UnrecordedError, and a caller
// that keeps no token must be refused with the write not run.
func (c *Client) CanRecord(id session.ID) error {
	view := c.view()
	usable := 0
	var failed []*CopyError
	for _, address := range c.choose(id, view) {
		if err := c.member(address.URL).usable(); err != nil {
			failed = append(failed, &CopyError{Member: address.Name, Cause: err})
			continue
		}
		usable++
	}
	if usable >= view.needed() {
		return nil
	}
	return &UnrecordedError{ID: id, Confirmed: usable, Needed: view.needed(), Copies: failed}
}

// Settle stores floors that a primary gave for a question sent after reading was
// made. A failure is harmless: the next daemon asks the primary again.
func (c *Client) Settle(ctx context.Context, reading Reading, floors session.Floors) []*CopyError {
	copies := make([]Address, 0, len(reading.copies))
	for _, at := range reading.copies {
		copies = append(copies, Address{Member: directory.Member{Name: at.url}, URL: at.url})
	}
	list := session.FloorsToProto(floors)
	results := c.both(ctx, copies, func(i int) *directorypb.Operation {
		return &directorypb.Operation{
			Kind:      directorypb.OperationKind_OPERATION_SETTLE,
			SessionId: string(reading.id),
			Floors:    list,
			Stamp:     stampToProto(reading.copies[i].stamp),
		}
	})
	_, failed := split(results)
	return failed
}

type result struct {
	address Address
	answer  directory.Answer
	err     error
}

func (c *Client) read(ctx context.Context, op *directorypb.Operation) Reading {
	id := session.ID(op.SessionId)
	copies := c.choose(id, c.view())
	results := c.both(ctx, copies, func(int) *directorypb.Operation { return op })
	answers, failed := split(results)
	out := Reading{CombinedAnswer: directory.Combine(len(copies), answers), Failed: failed, id: id}
	for _, r := range results {
		if r.err == nil {
			out.copies = append(out.copies, copyStamp{url: r.address.URL, stamp: r.answer.Stamp})
		}
	}
	return out
}

// start carries out one operation on each copy at the same time. The channel
// holds all results, so that nobody has to receive them.
func (c *Client) start(ctx context.Context, copies []Address, op func(i int) *directorypb.Operation) <-chan result {
	results := make(chan result, len(copies))
	for i, address := range copies {
		go func() {
			answer, err := c.member(address.URL).do(ctx, op(i))
			results <- result{address: address, answer: answer, err: err}
		}()
	}
	return results
}

// both carries out one operation on each copy and waits for all of them.
func (c *Client) both(ctx context.Context, copies []Address, op func(i int) *directorypb.Operation) []result {
	results := c.start(ctx, copies, op)
	out := make([]result, 0, len(copies))
	for range copies {
		out = append(out, <-results)
	}
	return out
}

func split(results []result) ([]directory.Answer, []*CopyError) {
	var answers []directory.Answer
	var failed []*CopyError
	for _, r := range results {
		if r.err != nil {
			failed = append(failed, &CopyError{Member: r.address.Name, Cause: r.err})
			continue
		}
		answers = append(answers, r.answer)
	}
	return answers, failed
}

func (c *Client) choose(id session.ID, view View) []Address {
	members := make([]directory.Member, 0, len(view.Members))
	for _, a := range view.Members {
		members = append(members, a.Member)
	}
	var out []Address
	for _, m := range directory.Choose(id, members) {
		for _, a := range view.Members {
			if a.Name == m.Name {
				out = append(out, a)
				break
			}
		}
	}
	return out
}

func (c *Client) member(url string) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[url]
	if !ok {
		m = newMember(url, c.http, c.now)
		c.members[url] = m
	}
	return m
}

// Forget drops the connections' state of members that are no longer in view. It
// is to be called when the view changes.
func (c *Client) Forget() {
	present := make(map[string]bool)
	for _, a := range c.view().Members {
		present[a.URL] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for url := range c.members {
		if !present[url] {
			delete(c.members, url)
		}
	}
}
