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
	// maxParallel bounds the daemons that are asked at once.
	maxParallel = 32
	// maxEvents bounds the events that are kept of one daemon.
	maxEvents = 100_000
	// maxPages bounds the calls to one daemon.
	maxPages = 1000
)

// Missing is a daemon whose events are not, or not all, in a collection.
type Missing struct {
	// Daemon is the address that was asked.
	Daemon string
	// Cause is why; nil when the daemon answered and no longer holds Lost
	// events.
	Cause error
	Lost  uint64
}

// String describes what is missing.
func (m Missing) String() string {
	if m.Cause != nil {
		return fmt.Sprintf("%s: %v", m.Daemon, m.Cause)
	}
	return fmt.Sprintf("%s: its oldest %d events are no longer held", m.Daemon, m.Lost)
}

// Collection is the events of many daemons.
type Collection struct {
	// Events are in causal order.
	Events []*timelinepb.Event
	// Unreached lists daemons that gave no whole answer, in the order asked.
	Unreached []Missing
	// Overwritten lists daemons that no longer hold their oldest events.
	Overwritten []Missing
}

// TooManyError reports a daemon with more events than are kept.
type TooManyError struct{ Events int }

func (e *TooManyError) Error() string {
	return fmt.Sprintf("more than %d events; narrow the period or the filter", e.Events)
}

type answer struct {
	events []*timelinepb.Event
	lost   uint64
	err    error
}

// Collect asks the daemons at urls for the events that filter selects. Events of
// a daemon that failed half-way are kept, and the daemon is listed as unreached.
func Collect(ctx context.Context, client *http.Client, urls []string, filter *timelinepb.Filter) *Collection {
	answers := make([]answer, len(urls))
	var group errgroup.Group
	group.SetLimit(maxParallel)
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

func fetchAll(ctx context.Context, client timelinepb.Timeline, filter *timelinepb.Filter) answer {
	var out answer
	var after uint64
	for range maxPages {
		resp, err := client.Fetch(ctx, &timelinepb.FetchRequest{
			Filter: filter, After: after, Limit: timeline.MaxFetch,
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
