// Package link carries exchanges and slot statuses between daemons. It uses one
// multiplexed connection per peer, one stream per open exchange and flow control
// per stream.
package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"hemlockmast/api/link"
	"hemlockmast/internal/endpointside/watch"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/exchange"
)

const (
	// keepAliveInterval is the time between two keep-alive pings to a peer.
	keepAliveInterval = time.Second
	// writeTimeout is the time after which the connection of a peer that does not
	// respond is closed.
	writeTimeout = 2 * time.Second
	// streamWindowBytes is the flow-control window of one stream.
	streamWindowBytes = 256 << 10
	// acceptBacklog is the number of streams that may wait to be accepted.
	acceptBacklog = 4096
	// streamBufferBytes is the size of the read buffer of one stream.
	streamBufferBytes = 4 << 10
)

// Watcher provides the slot statuses that this daemon observes itself.
type Watcher interface {
	// Watch calls send with the current observation of each slot, then with
	// each new one, until ctx ends or send fails.
	Watch(ctx context.Context, send func(watch.Observation) error) error
}

// Server accepts connections of peers and serves their exchange and watch
// streams.
type Server struct {
	Opener  exchange.Opener
	Watcher Watcher
	Log     logr.Logger

	draining atomic.Bool
	// busy counts exchanges that run a segment or hold a connection.
	busy atomic.Int64
}

// drainPollInterval is the time between two checks of Drain for exchanges that
// are still busy.
const drainPollInterval = 10 * time.Millisecond

// Drain refuses new transactions as not run and waits until no exchange runs a
// segment or holds a connection, or until ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.busy.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Serve accepts peers on ln until ctx ends. It then closes all streams, also
// those in progress.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	g.Go(func() error {
		for {
			conn, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return err
			}
			g.Go(func() error {
				s.servePeer(ctx, conn)
				return nil
			})
		}
	})
	return g.Wait()
}

func (s *Server) servePeer(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(newCoalescer(conn), sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	for {
		stream, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			return
		}
		go s.serveStream(ctx, stream)
	}
}

// sessionConfig returns the yamux settings that both ends use.
func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.MaxStreamWindowSize = streamWindowBytes
	cfg.LogOutput = io.Discard
	return cfg
}

func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	r := &frameReader{br: bufio.NewReaderSize(stream, streamBufferBytes)}
	w := &frameWriter{w: stream}
	hello := &link.Hello{}
	if err := r.read(hello); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A peer that closed its end no longer reads, so a write that is blocked on
	// the stream's window would never return. The past deadline unblocks it.
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	switch hello.Purpose.(type) {
	case *link.Hello_Exchange:
		s.serveExchanges(ctx, cancel, r, w)
	case *link.Hello_Watch:
		s.serveWatch(ctx, cancel, r, w)
	}
}

// serveWatch sends observations until the stream ends. Each carries the last
// echo that arrived before its status query was sent.
func (s *Server) serveWatch(ctx context.Context, cancel context.CancelFunc, r *frameReader, w *frameWriter) {
	echoes := &echoLog{}
	go func() {
		defer cancel()
		for {
			echo := &link.Echo{}
			if err := r.read(echo); err != nil {
				return
			}
			echoes.add(echo.Number, time.Now())
		}
	}()
	_ = s.Watcher.Watch(ctx, func(o watch.Observation) error {
		status := o.Status.CloneVT()
		status.Echo = echoes.lastBefore(o.AskedAt)
		return w.write(status)
	})
}

// serveExchanges runs the segments of a stream in order. When the stream ends,
// the segment in progress is canceled.
func (s *Server) serveExchanges(ctx context.Context, cancel context.CancelFunc, r *frameReader, w *frameWriter) {
	segments := make(chan *link.Segment)
	go func() {
		defer cancel()
		for {
			seg := &link.Segment{}
			if err := r.read(seg); err != nil {
				return
			}
			select {
			case segments <- seg:
			case <-ctx.Done():
				return
			}
		}
	}()
	ex, err := s.Opener.Open(ctx)
	if err != nil {
		return
	}
	defer ex.Close()
	attached := false
	defer func() { s.countBusy(attached, false) }()
	for {
		select {
		case seg := <-segments:
			s.countBusy(attached, true)
			var err error
			attached, err = s.runSegment(ctx, ex, seg, w)
			s.countBusy(true, attached)
			if err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// countBusy updates the number of busy exchanges when one exchange changes from
// was to is.
func (s *Server) countBusy(was, is bool) {
	switch {
	case is && !was:
		s.busy.Add(1)
	case was && !is:
		s.busy.Add(-1)
	}
}

// runSegment runs one segment and sends its replies. It reports whether the
// exchange still holds a connection. It returns an error if the stream must not
// be reused.
func (s *Server) runSegment(ctx context.Context, ex exchange.Exchange, seg *link.Segment, w *frameWriter) (bool, error) {
	if seg.Open != nil && s.draining.Load() {
		return false, s.refuse(seg, w)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(seg.TimeoutUs)*time.Microsecond)
	defer cancel()
	sink := &replySink{w: w, seq: seg.Seq}
	res, err := ex.Run(ctx, seg, sink)
	var failure *outcome.Error
	if err != nil && !errors.As(err, &failure) {
		return false, err
	}
	if failure != nil {
		s.Log.V(1).Info("segment failed", "error", failure.Error())
	}
	last := &link.Reply{Seq: seg.Seq, Data: sink.pending, Result: exchange.ToWire(res, failure)}
	if sendErr := w.write(last); sendErr != nil {
		return res.Attached, sendErr
	}
	return res.Attached, err
}

// refuse replies that the segment was not run because this daemon is shutting
// down.
func (s *Server) refuse(seg *link.Segment, w *frameWriter) error {
	failure := outcome.NotRunError(outcome.CodeCannotConnectNow, outcome.ReasonDraining,
		"the holder is stopping", nil)
	if err := w.write(&link.Reply{Seq: seg.Seq, Result: exchange.ToWire(exchange.Result{}, failure)}); err != nil {
		return err
	}
	return failure
}

// replySink sends protocol messages as replies. It keeps the last part back
// until the result is known, so that a short answer fits in one reply.
type replySink struct {
	w       *frameWriter
	seq     uint64
	pending []byte
}

// Write implements io.Writer. It buffers up to half a stream window.
func (s *replySink) Write(p []byte) (int, error) {
	if len(s.pending)+len(p) > streamWindowBytes/2 {
		if err := s.flush(); err != nil {
			return 0, err
		}
	}
	s.pending = append(s.pending, p...)
	return len(p), nil
}

func (s *replySink) flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	err := s.w.write(&link.Reply{Seq: s.seq, Data: s.pending})
	s.pending = s.pending[:0]
	return err
}
