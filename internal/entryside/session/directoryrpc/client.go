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

// View lists the members that keep the directory, as known to one daemon.
type View struct {
	Members []Address
	// Current states that the daemon has confirmed that the view is in force.
	Current bool
}

// requiredCopies returns how many copies must confirm a record.
func (v View) requiredCopies() int {
	if v.Current {
		return 1
	}
	return directory.Copies
}

// Address is a member and the address of its twirp services.
type Address struct {
	directory.Member
	// URL is the base URL of the member's twirp services.
	URL string
}

// Client reads and writes both copies of an entry. It is safe for concurrent use.
type Client struct {
	view func() View
	http *http.Client
	now  func() time.Time

	// mu guards members. Lock order: mu before a member's lock.
	mu      sync.Mutex
	members map[string]*memberClient
}

// NewClient returns a client. view returns the current members; it is called for
// each operation and must not block. now is the clock for the suspension of
// members whose calls fail.
func NewClient(view func() View, httpClient *http.Client, now func() time.Time) *Client {
	return &Client{view: view, http: httpClient, now: now, members: make(map[string]*memberClient)}
}

// LookupResult is the combined state of a session at the time of a Lookup or
// Create. Settle needs it to settle floors afterwards.
type LookupResult struct {
	directory.CombinedAnswer
	// Failed lists the copies that could not be reached.
	Failed []*CopyError

	id     session.ID
	copies []copyStamp
}

// copyStamp is the stamp of a session's entry at one copy.
type copyStamp struct {
	url   string
	stamp directory.Stamp
}

// Lookup queries both copies. If a copy cannot be reached, the floors are only
// lower bounds and not settled, and Failed contains the errors.
func (c *Client) Lookup(ctx context.Context, id session.ID) LookupResult {
	return c.query(ctx, &directorypb.Operation{
		Kind:      directorypb.OperationKind_OPERATION_LOOKUP,
		SessionId: string(id),
	})
}

// Create creates the entry of a session id that this daemon has just generated. It
// must not be called again after a write of the session was sent.
func (c *Client) Create(ctx context.Context, id session.ID) LookupResult {
	return c.query(ctx, &directorypb.Operation{
		Kind:      directorypb.OperationKind_OPERATION_CREATE,
		SessionId: string(id),
	})
}

// Record raises floors before the write that raised them is acknowledged. It waits
// for one copy only, because a floor counts as known only if both copies answer.
// The other copy is written asynchronously. While the view is not confirmed as
// current, another daemon might query other copies, so both copies must confirm.
// Record returns *UnrecordedError if too few do.
func (c *Client) Record(ctx context.Context, id session.ID, floors session.Floors) error {
	view := c.view()
	requiredCopies := view.requiredCopies()
	copies := c.chooseCopies(id, view)
	op := &directorypb.Operation{
		Kind:      directorypb.OperationKind_OPERATION_RECORD,
		SessionId: string(id),
		Floors:    session.FloorsToProto(floors),
	}
	results := c.startCalls(ctx, copies, func(int) *directorypb.Operation { return op })
	confirmed := 0
	var failed []*CopyError
	for range copies {
		r := <-results
		if r.err != nil {
			failed = append(failed, &CopyError{Member: r.address.Name, Cause: r.err})
			continue
		}
		confirmed++
		if confirmed >= requiredCopies {
			return nil
		}
	}
	return &UnrecordedError{ID: id, Confirmed: confirmed, Needed: requiredCopies, Copies: failed}
}

// CanRecord returns *UnrecordedError if a floor could not be recorded now, judging
// by the last calls to the copies. It is called before a write is sent. If it
// fails, the write of a caller that keeps no token must be refused as not run.
func (c *Client) CanRecord(id session.ID) error {
	view := c.view()
	usable := 0
	var failed []*CopyError
	for _, address := range c.chooseCopies(id, view) {
		if err := c.memberClient(address.URL).usable(); err != nil {
			failed = append(failed, &CopyError{Member: address.Name, Cause: err})
			continue
		}
		usable++
	}
	if usable >= view.requiredCopies() {
		return nil
	}
	return &UnrecordedError{ID: id, Confirmed: usable, Needed: view.requiredCopies(), Copies: failed}
}

// Settle stores floors that a primary reported in answer to a query sent after
// lookup was returned. It returns an error for each copy that failed. A failure is
// harmless, because the next daemon asks the primary again.
func (c *Client) Settle(ctx context.Context, lookup LookupResult, floors session.Floors) []*CopyError {
	copies := make([]Address, 0, len(lookup.copies))
	for _, target := range lookup.copies {
		copies = append(copies, Address{Member: directory.Member{Name: target.url}, URL: target.url})
	}
	list := session.FloorsToProto(floors)
	results := c.callAll(ctx, copies, func(i int) *directorypb.Operation {
		return &directorypb.Operation{
			Kind:      directorypb.OperationKind_OPERATION_SETTLE,
			SessionId: string(lookup.id),
			Floors:    list,
			Stamp:     stampToProto(lookup.copies[i].stamp),
		}
	})
	_, failed := splitResults(results)
	return failed
}

// result is the result of an operation at one copy.
type result struct {
	address Address
	answer  directory.Answer
	err     error
}

// query executes op at both copies and combines their answers.
func (c *Client) query(ctx context.Context, op *directorypb.Operation) LookupResult {
	id := session.ID(op.SessionId)
	copies := c.chooseCopies(id, c.view())
	results := c.callAll(ctx, copies, func(int) *directorypb.Operation { return op })
	answers, failed := splitResults(results)
	out := LookupResult{CombinedAnswer: directory.Combine(len(copies), answers), Failed: failed, id: id}
	for _, r := range results {
		if r.err == nil {
			out.copies = append(out.copies, copyStamp{url: r.address.URL, stamp: r.answer.Stamp})
		}
	}
	return out
}

// startCalls starts an operation at each copy concurrently. The channel has room
// for all results, so the receiver may stop early.
func (c *Client) startCalls(ctx context.Context, copies []Address, op func(i int) *directorypb.Operation) <-chan result {
	results := make(chan result, len(copies))
	for i, address := range copies {
		go func() {
			answer, err := c.memberClient(address.URL).execute(ctx, op(i))
			results <- result{address: address, answer: answer, err: err}
		}()
	}
	return results
}

// callAll executes an operation at each copy and waits for all results, which are
// in order of arrival.
func (c *Client) callAll(ctx context.Context, copies []Address, op func(i int) *directorypb.Operation) []result {
	results := c.startCalls(ctx, copies, op)
	out := make([]result, 0, len(copies))
	for range copies {
		out = append(out, <-results)
	}
	return out
}

func splitResults(results []result) ([]directory.Answer, []*CopyError) {
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

// chooseCopies returns the members that keep id's entry.
func (c *Client) chooseCopies(id session.ID, view View) []Address {
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

func (c *Client) memberClient(url string) *memberClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[url]
	if !ok {
		m = newMemberClient(url, c.http, c.now)
		c.members[url] = m
	}
	return m
}

// PruneMembers discards the clients of members that are no longer in the view. It
// is meant to be called when the view changes.
func (c *Client) PruneMembers() {
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
