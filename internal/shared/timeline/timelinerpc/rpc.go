// Package timelinerpc serves a daemon's journal over Twirp, attaches clock stamps to the
// HTTP calls between daemons, and collects the journals of many daemons.
package timelinerpc

import (
	"context"
	"net/http"

	timelinepb "hemlockmast/api/timeline"
	"hemlockmast/internal/shared/timeline"
)

// StampHeader is the header of requests and responses that holds the sender's clock stamp.
const StampHeader = "Hemlock-Clock"

// maxRequestBytes bounds the body of a fetch request.
const maxRequestBytes = 16 << 10

// PathPrefix is the path prefix under which Handler must be mounted.
const PathPrefix = timelinepb.TimelinePathPrefix

type server struct{ journal *timeline.Journal }

// Handler serves the events of journal.
func Handler(journal *timeline.Journal) http.Handler {
	return http.MaxBytesHandler(timelinepb.NewTimelineServer(&server{journal: journal}), maxRequestBytes)
}

// Fetch implements timelinepb.Timeline.
func (s *server) Fetch(_ context.Context, req *timelinepb.FetchRequest) (*timelinepb.FetchResponse, error) {
	page := s.journal.After(req.After, req.Filter, int(min(req.Limit, timeline.MaxFetchEvents)))
	stamp := s.journal.Stamp()
	return &timelinepb.FetchResponse{
		Daemon: s.journal.Daemon(),
		Events: page.Events,
		Next:   page.Next,
		More:   page.More,
		Lost:   page.Lost,
		Now:    &timelinepb.Stamp{WallNs: stamp.Wall, Counter: stamp.Counter},
	}, nil
}

// Stamped wraps next: it advances journal's clock to the stamps of requests and adds a
// stamp to responses. A stamp that is missing, malformed or too far ahead is ignored. The
// call continues, but events may then be out of order.
func Stamped(journal *timeline.Journal, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		accept(journal, r.Header)
		next.ServeHTTP(&stampWriter{ResponseWriter: w, journal: journal}, r)
	})
}

// stampWriter sets the stamp just before the response header is written, so that the stamp
// is after the events that the call recorded.
type stampWriter struct {
	http.ResponseWriter
	journal *timeline.Journal
	done    bool
}

// WriteHeader implements http.ResponseWriter.
func (w *stampWriter) WriteHeader(code int) {
	w.stamp()
	w.ResponseWriter.WriteHeader(code)
}

// Write implements http.ResponseWriter.
func (w *stampWriter) Write(b []byte) (int, error) {
	w.stamp()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *stampWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *stampWriter) stamp() {
	if !w.done {
		w.done = true
		w.Header().Set(StampHeader, w.journal.Stamp().String())
	}
}

// Transport adds a stamp to requests and advances the journal's clock to the stamps of
// responses.
type Transport struct {
	Journal *timeline.Journal
	// Base sends the requests.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(StampHeader, t.Journal.Stamp().String())
	resp, err := t.Base.RoundTrip(r)
	if err == nil {
		accept(t.Journal, resp.Header)
	}
	return resp, err
}

// accept advances journal's clock to the stamp in header, if there is a valid one.
func accept(journal *timeline.Journal, header http.Header) {
	if stamp, err := timeline.ParseStamp(header.Get(StampHeader)); err == nil {
		_ = journal.Accept(stamp)
	}
}
