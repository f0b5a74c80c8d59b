// Package hop lends connections between the entries of one failure domain; package carrier
// explains which entry lends. The carrier of an endpoint runs the server, which lends
// connections of its own pools. The other entries borrow them through the client, which
// also asks the carrier for watermarks. A stream is a TCP connection that serves one loan
// or request for a watermark after the other. While a carrier works on a request it sends
// keepalives, so that the client notices a dead carrier long before a deadline.
package hop

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	carrypb "hemlockmast/api/carry"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

const (
	// keepaliveInterval is the time between two keepalives. keepaliveTimeout is how long
	// a client waits for one before it gives a carrier up: a few intervals, so that a
	// late keepalive does no harm.
	keepaliveInterval = 100 * time.Millisecond
	keepaliveTimeout  = 350 * time.Millisecond
	// answerGrace is how long past a statement's deadline the client waits for the
	// carrier's answer, which says more than a timeout.
	answerGrace = 50 * time.Millisecond
	// maxFrameBytes bounds one message: an endpoint's longest answer plus overhead.
	maxFrameBytes = 9 << 20
	// readBufferBytes is the size of a stream's read buffer.
	readBufferBytes = 2 << 10
)

// stream is a connection that carries length-delimited messages. Only one goroutine may
// read it.
type stream struct {
	net.Conn
	r *bufio.Reader
}

func newStream(raw net.Conn) *stream {
	return &stream{Conn: raw, r: bufio.NewReaderSize(raw, readBufferBytes)}
}

func (s *stream) read(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(s.r, m)
}

// write sends a message with a single write to the connection, by the deadline. MarshalTo alone
// writes the length separately, which costs a packet.
func (s *stream) write(m proto.Message, deadline time.Time) error {
	if err := s.SetWriteDeadline(deadline); err != nil {
		return err
	}
	var frame bytes.Buffer
	if _, err := protodelim.MarshalTo(&frame, m); err != nil {
		return err
	}
	_, err := s.Conn.Write(frame.Bytes())
	return err
}

func closeStreams(list []idleStream) {
	for _, s := range list {
		s.Close()
	}
}

// UnreachableError reports a carrier that could not be reached, or that did not serve the
// request for a reason of its own. No statement has run.
type UnreachableError struct {
	Carrier string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("carrier %s did not lend a connection: %v", e.Carrier, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// LostError reports a loan that failed on the stream or at the carrier. Whether the endpoint
// can be reached the carrier itself watches.
type LostError struct {
	Carrier string
	Detail  string
	// AtEndpoint is set if the carrier's connection to the endpoint failed after the endpoint
	// may have received the statement.
	AtEndpoint bool
}

func (e *LostError) Error() string {
	return fmt.Sprintf("loan of carrier %s lost: %s", e.Carrier, e.Detail)
}

// ProtocolError reports a message that is not valid at its point in the exchange.
type ProtocolError struct{ Got string }

func (e *ProtocolError) Error() string { return "unexpected message: " + e.Got }

// NotLentError is a carrier's refusal because it is stopping or does not know the
// endpoint.
type NotLentError struct{ Detail string }

func (e *NotLentError) Error() string { return "not lent: " + e.Detail }

func encodeValues(values map[string]string) []*carrypb.Value {
	list := make([]*carrypb.Value, 0, len(values))
	for name, value := range values {
		list = append(list, &carrypb.Value{Name: []byte(name), Value: []byte(value)})
	}
	return list
}

func decodeValues(list []*carrypb.Value) map[string]string {
	values := make(map[string]string, len(list))
	for _, v := range list {
		values[string(v.Name)] = string(v.Value)
	}
	return values
}

func encodeReply(r stmt.Reply) *carrypb.Reply {
	m := &carrypb.Reply{
		Signature: []byte(r.Signature), State: uint32(r.State), Term: r.Pos.Term, Index: r.Pos.Index,
	}
	for _, row := range r.Rows {
		m.Rows = append(m.Rows, []byte(row))
	}
	if r.Err != nil {
		m.Failed, m.Code, m.Detail = true, uint32(r.Err.Code), []byte(r.Err.Detail)
	}
	return m
}

func decodeReply(m *carrypb.Reply) (stmt.Reply, error) {
	if m.State > uint32(stmt.Failed) {
		return stmt.Reply{}, &ProtocolError{Got: fmt.Sprintf("transaction state %d", m.State)}
	}
	r := stmt.Reply{
		Signature: string(m.Signature), State: stmt.State(m.State), Pos: logpos.Pos{Term: m.Term, Index: m.Index},
	}
	for _, row := range m.Rows {
		r.Rows = append(r.Rows, string(row))
	}
	if m.Failed {
		r.Err = decodeError(m.Code, m.Detail)
	}
	return r, nil
}

// decodeError decodes an endpoint's error. An unknown code becomes stmt.CodeOther, which
// leaves open whether the statement ran.
func decodeError(code uint32, detail []byte) *stmt.Error {
	if code > uint32(stmt.CodeNoAuth) {
		code = uint32(stmt.CodeOther)
	}
	return &stmt.Error{Code: stmt.Code(code), Detail: string(detail)}
}

// ceilMillis returns d in milliseconds, rounded up so that a short duration does not become
// 0. A negative one does.
func ceilMillis(d time.Duration) uint32 {
	return uint32(max(0, (d + time.Millisecond - 1).Milliseconds()))
}
