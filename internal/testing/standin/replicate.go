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
	// replicateCommand opens a stream of log records on a replica's connection.
	// Its arguments are the term and the last position of each term in the
	// replica's log.
	replicateCommand = "REPLICATE"
	// maxFrameRecords is the maximum number of records in one frame.
	maxFrameRecords = 256
	// heartbeatInterval is the time after which an idle stream sends an empty
	// frame.
	heartbeatInterval = 100 * time.Millisecond
	// streamTimeout is the time after which a replica closes a stream on which
	// nothing arrives. It is also the timeout for connecting.
	streamTimeout = time.Second
	// reconnectInterval is the wait before the next attempt to reach the primary.
	reconnectInterval = 20 * time.Millisecond
	// maxPendingFrames is the maximum number of frames that a lagging replica
	// buffers.
	maxPendingFrames = 4096
)

// frame is one message of a replication stream. The first frame carries only
// Keep, the number of records that both logs share.
type frame struct {
	Keep    *int           `json:"k,omitempty"`
	Records []store.Record `json:"r,omitempty"`
}

// replicate serves a replication stream until it ends. The connection is closed
// after it.
func (s *session) replicate(words []string) {
	s.closed = true
	err := s.streamLog(words)
	if err != nil {
		s.sendError(err)
	}
	s.flush()
}

func (s *session) streamLog(words []string) error {
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
	n := s.e.currentNode()
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

// sendRecords sends the records after the first sent ones, and heartbeats while
// there are none.
func (s *session) sendRecords(n *node.Node, term uint64, sent int) error {
	for {
		recs, changed, err := n.Read(term, sent, maxFrameRecords)
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

// pull copies the primary's log while the node follows a primary.
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
		sleep(ctx, reconnectInterval)
	}
}

// pullFrom copies the log of one primary until the stream fails or the node no
// longer follows this primary.
func (e *Endpoint) pullFrom(ctx context.Context, n *node.Node, term uint64, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: streamTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	context.AfterFunc(ctx, func() { conn.Close() })
	go func() { // ends with the stream, or when the node's primary changes
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
	frames := make(chan arrival, maxPendingFrames)
	go func() {
		defer close(frames)
		e.readStream(ctx, n, term, addr, conn, frames)
	}()
	for a := range frames {
		if e.receiveFrame(ctx, n, term, a) != nil {
			return
		}
	}
}

// arrival is a frame and the time at which it was received.
type arrival struct {
	frame
	receivedAt time.Time
}

// readStream requests a stream from the primary and sends its frames to out.
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
			if e.faults.wait(ctx, func() bool { return e.faults.cutLocked(In, addr) }) != nil {
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

// receiveFrame waits for the replication lag of a frame and writes it to the
// node.
func (e *Endpoint) receiveFrame(ctx context.Context, n *node.Node, term uint64, a arrival) error {
	err := e.faults.waitUntil(ctx, nil, func() time.Time {
		if e.faults.receivePaused || e.faults.frozen {
			return time.Time{}
		}
		return a.receivedAt.Add(e.faults.replicationLag)
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

// apply makes synced records visible when the apply lag has passed.
func (e *Endpoint) apply(ctx context.Context, n *node.Node) {
	for ctx.Err() == nil {
		var lag time.Duration
		err := e.faults.wait(ctx, func() bool {
			lag = e.faults.apply
			return e.faults.applyPaused || e.faults.frozen
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
