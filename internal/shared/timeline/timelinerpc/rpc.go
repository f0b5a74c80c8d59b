// Package timelinerpc serves a daemon's journal over twirp, carries clock stamps
// on the calls between daemons, and collects the journals of many daemons.
package timelinerpc

import (
	"context"
	"net/http"

	timelinepb "hemlockmast/api/timeline"
	"hemlockmast/internal/shared/timeline"
)

// StampHeader carries a hybrid logical clock's stamp on requests and answers.
const StampHeader = "Hemlock-Clock"

// maxRequestBytes bounds the body of a fetch.
const maxRequestBytes = 16 << 10

// PathPrefix is where Handler has to be mounted.
const PathPrefix = timelinepb.TimelinePathPrefix

type server struct{ journal *timeline.Journal }

// Handler serves journal's events.
func Handler(journal *timeline.Journal) http.Handler {
	return http.MaxBytesHandler(timelinepb.NewTimelineServer(&server{journal: journal}), maxRequestBytes)
}

// Fetch implements the service.
func (s *server) Fetch(_ context.Context, req *timelinepb.FetchRequest) (*timelinepb.FetchResponse, error) {
	page := s.journal.After(req.After, req.Filter, int(min(req.Limit, timeline.MaxFetch)))
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

// Stamped is a handler that takes the stamps of requests into journal's clock
// and puts a stamp on answers. A stamp that is absent, damaged or too far ahead
// is passed over: events may then be out of order, the call goes on.
func Stamped(journal *timeline.Journal, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		accept(journal, r.Header)
		next.ServeHTTP(&stampWriter{ResponseWriter: w, journal: journal}, r)
	})
}

// stampWriter sets the stamp at the last moment, so that it comes after the
// events of the call.
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

// Unwrap gives http.ResponseController the writer below.
func (w *stampWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *stampWriter) stamp() {
	if !w.done {
		w.done = true
		w.Header().Set(StampHeader, w.journal.Stamp().String())
	}
}

// Transport puts journal's stamps on requests and takes those of answers.
type Transport struct {
	Journal *timeline.Journal
	// Base makes the calls.
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

func accept(journal *timeline.Journal, header http.Header) {
	if stamp, err := timeline.ParseStamp(header.Get(StampHeader)); err == nil {
		_ = journal.Accept(stamp)
	}
}
