package timelinerpc

import (
	"context"
	"fmt"
	"net/http"

	"golang.org/x/sync/errgroup"

	timelinepb "hemlockmast/api/timeline"
	"hemlockmast/internal/shared/timeline"
)

const (
	// maxParallelFetches bounds the daemons that are queried at the same time.
	maxParallelFetches = 32
	// maxEvents is the number of events of one daemon above which fetching stops with
	// *TooManyError.
	maxEvents = 100_000
	// maxPages bounds the fetch requests to one daemon; more give *TooManyError.
	maxPages = 1000
)

// Missing reports a daemon whose events are missing from a collection in whole or in part.
type Missing struct {
	// Daemon is the URL of the daemon.
	Daemon string
	// Cause is the error of the query. It is nil if the query succeeded, but the daemon had
	// already overwritten events.
	Cause error
	// Lost is the number of overwritten events.
	Lost uint64
}

// String describes what is missing.
func (m Missing) String() string {
	if m.Cause != nil {
		return fmt.Sprintf("%s: %v", m.Daemon, m.Cause)
	}
	return fmt.Sprintf("%s: its oldest %d events are no longer held", m.Daemon, m.Lost)
}

// Collection holds the events of many daemons.
type Collection struct {
	// Events are in causal order.
	Events []*timelinepb.Event
	// Unreached lists the daemons that did not return all their events, in the order of the
	// URLs.
	Unreached []Missing
	// Overwritten lists the daemons that had already overwritten their oldest events.
	Overwritten []Missing
}

// TooManyError reports a daemon with more events than Collect collects.
type TooManyError struct{ Events int }

func (e *TooManyError) Error() string {
	return fmt.Sprintf("more than %d events; narrow the period or the filter", e.Events)
}

// answer is the result of querying one daemon.
type answer struct {
	events []*timelinepb.Event
	lost   uint64
	err    error
}

// Collect queries the daemons at urls for the events that filter selects. If a daemon fails
// after some pages, the events of these pages are kept and the daemon is listed as
// unreached.
func Collect(ctx context.Context, client *http.Client, urls []string, filter *timelinepb.Filter) *Collection {
	answers := make([]answer, len(urls))
	var group errgroup.Group
	group.SetLimit(maxParallelFetches)
	for i, url := range urls {
		group.Go(func() error {
			answers[i] = fetchAll(ctx, timelinepb.NewTimelineProtobufClient(url, client), filter)
			return nil
		})
	}
	_ = group.Wait()
	out := &Collection{}
	lists := make([][]*timelinepb.Event, 0, len(urls))
	for i, a := range answers {
		lists = append(lists, a.events)
		if a.err != nil {
			out.Unreached = append(out.Unreached, Missing{Daemon: urls[i], Cause: a.err})
		}
		if a.lost > 0 {
			out.Overwritten = append(out.Overwritten, Missing{Daemon: urls[i], Lost: a.lost})
		}
	}
	out.Events = timeline.Merge(lists...)
	return out
}

// fetchAll fetches all pages of one daemon's events.
func fetchAll(ctx context.Context, client timelinepb.Timeline, filter *timelinepb.Filter) answer {
	var out answer
	var after uint64
	for range maxPages {
		resp, err := client.Fetch(ctx, &timelinepb.FetchRequest{
			Filter: filter, After: after, Limit: timeline.MaxFetchEvents,
		})
		if err != nil {
			out.err = err
			return out
		}
		out.events = append(out.events, resp.Events...)
		out.lost += resp.Lost
		if len(out.events) > maxEvents {
			break
		}
		if !resp.More {
			return out
		}
		after = resp.Next
	}
	out.err = &TooManyError{Events: len(out.events)}
	return out
}
