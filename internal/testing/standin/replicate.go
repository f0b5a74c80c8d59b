package standin

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/testing/standin/node"
	"hemlockmast/internal/testing/standin/sqltext"
	"hemlockmast/internal/testing/standin/store"
)

const (
	// replicateCommand opens a stream of log records on a replica's connection:
	// the term, then the last position of each term in the replica's log.
	replicateCommand = "REPLICATE"
	// frameRecords bounds the records of one frame.
	frameRecords = 256
	// heartbeatInterval is between frames on an idle stream.
	heartbeatInterval = 100 * time.Millisecond
	// streamTimeout ends a stream on which nothing arrives.
	streamTimeout = time.Second
	// retryInterval is between attempts to reach the primary.
	retryInterval = 20 * time.Millisecond
	// pendingFrames bounds the frames that a lagging replica keeps.
	pendingFrames = 4096
)

// frame is one message of a replication stream. The first one carries Keep, the
// number of records that both logs share.
type frame struct {
	Keep    *int           `json:"k,omitempty"`
	Records []store.Record `json:"r,omitempty"`
}

// replicate serves a stream until it ends; the connection ends with it.
func (s *session) replicate(words []string) {
	s.closed = true
	err := s.stream(words)
	if err != nil {
		s.sendError(err)
	}
	s.flush()
}

func (s *session) stream(words []string) error {
	if len(words) < 2 {
		return &sqltext.Error{Code: sqltext.CodeSyntax, Message: "REPLICATE needs a term"}
	}
	term, err := strconv.ParseUint(words[1], 10, 64)
	if err != nil {
		return &sqltext.Error{Code: sqltext.CodeSyntax, Message: "REPLICATE needs a term"}
	}
	var follower []logpos.Pos
	for _, w := range words[2:] {
		p, err := logpos.Parse(w)
		if err != nil {
			return &sqltext.Error{Code: sqltext.CodeSyntax, Message: err.Error()}
		}
		follower = append(follower, p)
	}
	n := s.e.state()
	if _, _, err := n.Read(term, 0, 0); err != nil {
		return err
	}
	sent := n.CommonLength(follower)
	s.backend.Send(&pgproto3.CopyOutResponse{})
	if err := s.sendFrame(frame{Keep: &sent}); err != nil {
		return err
	}
	return s.sendRecords(n, term, sent)
}

func (s *session) sendRecords(n *node.Node, term uint64, sent int) error {
	for {
		recs, changed, err := n.Read(term, sent, frameRecords)
		if err != nil {
			return err
		}
		if len(recs) == 0 {
			t := time.NewTimer(heartbeatInterval)
			select {
			case <-changed:
				t.Stop()
				continue
			case <-t.C:
			case <-s.ctx.Done():
				return s.ctx.Err()
			}
		}
		if err := s.sendFrame(frame{Records: recs}); err != nil {
			return err
		}
		sent += len(recs)
	}
}

func (s *session) sendFrame(f frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return &sqltext.Error{Code: "XX000", Message: err.Error()}
	}
	s.backend.Send(&pgproto3.CopyData{Data: data})
	return s.flush()
}

// pull copies the primary's log whenever the node is a replica of one.
func (e *Endpoint) pull(ctx context.Context, n *node.Node) {
	for ctx.Err() == nil {
		term, addr, changed := n.Upstream()
		if addr == "" {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if !e.faults.isCut(Both, addr) {
			e.pullFrom(ctx, n, term, addr)
		}
		sleep(ctx, retryInterval)
	}
}

// pullFrom copies from one primary until its stream fails or the node follows
// it no longer.
func (e *Endpoint) pullFrom(ctx context.Context, n *node.Node, term uint64, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: streamTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	context.AfterFunc(ctx, func() { conn.Close() })
	go func() { // ends with the stream or the node's next role
		defer cancel()
		for ctx.Err() == nil {
			nowTerm, nowAddr, changed := n.Upstream()
			if nowTerm != term || nowAddr != addr {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	frames := make(chan arrival, pendingFrames)
	go func() {
		defer close(frames)
		e.readStream(ctx, n, term, addr, conn, frames)
	}()
	for a := range frames {
		if e.take(ctx, n, term, a) != nil {
			return
		}
	}
}

// arrival is a frame and when it came.
type arrival struct {
	frame
	at time.Time
}

func (e *Endpoint) readStream(ctx context.Context, n *node.Node, term uint64, addr string, conn net.Conn, out chan<- arrival) {
	fe := pgproto3.NewFrontend(conn, conn)
	fe.SetMaxBodyLen(maxMessageBytes)
	fe.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "replica", "database": "replica", paramReplica: e.cfg.Slot}})
	var b strings.Builder
	b.WriteString("HEMLOCK " + replicateCommand + " " + strconv.FormatUint(term, 10))
	for _, p := range n.History() {
		b.WriteString(" " + p.String())
	}
	fe.Send(&pgproto3.Query{String: b.String()})
	if fe.Flush() != nil {
		return
	}
	for {
		conn.SetReadDeadline(time.Now().Add(streamTimeout))
		msg, err := fe.Receive()
		if err != nil {
			return
		}
		switch m := msg.(type) {
		case *pgproto3.CopyData:
			var f frame
			if json.Unmarshal(m.Data, &f) != nil {
				return
			}
			if e.faults.wait(ctx, func() bool { return e.faults.cut(In, addr) }) != nil {
				return
			}
			select {
			case out <- arrival{f, time.Now()}:
			case <-ctx.Done():
				return
			}
		case *pgproto3.ErrorResponse:
			return
		}
	}
}

// take makes a frame durable once the replication lag is over.
func (e *Endpoint) take(ctx context.Context, n *node.Node, term uint64, a arrival) error {
	err := e.faults.waitUntil(ctx, nil, func() time.Time {
		if e.faults.paused || e.faults.frozen {
			return time.Time{}
		}
		return a.at.Add(e.faults.lag)
	})
	if err != nil {
		return err
	}
	if a.Keep != nil {
		return n.Rewind(term, *a.Keep)
	}
	if len(a.Records) == 0 {
		return nil
	}
	return n.Receive(term, a.Records, time.Now())
}

// apply makes synced records visible once the apply lag is over.
func (e *Endpoint) apply(ctx context.Context, n *node.Node) {
	for ctx.Err() == nil {
		var lag time.Duration
		err := e.faults.wait(ctx, func() bool {
			lag = e.faults.apply
			return e.faults.held || e.faults.frozen
		})
		if err != nil {
			return
		}
		next, changed := n.Apply(time.Now().Add(-lag))
		e.faults.waitUntil(ctx, changed, func() time.Time {
			if next.IsZero() {
				return time.Time{}
			}
			return next.Add(e.faults.apply)
		})
	}
}
