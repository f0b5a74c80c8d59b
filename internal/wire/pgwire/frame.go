// Package pgwire splits byte streams of the PostgreSQL protocol, version 3, into
// messages and encodes the messages that the proxy itself sends. Most messages
// are forwarded undecoded. The encoding of most message bodies is left to
// pgproto3.
package pgwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

const (
	// headerLen is the size of the type byte and the 4-byte length field.
	headerLen = 5
	// readyForQueryLength is the length field of ReadyForQuery. Reader checks it
	// because code that uses this package reads the status byte unchecked.
	readyForQueryLength = 5
	// maxReuseBytes is the largest message buffer that a Reader keeps for the
	// next message.
	maxReuseBytes = 64 << 10
)

// Frame is one protocol message with its header. It is valid until the next call
// of Next on the Reader that returned it.
type Frame []byte

// Type returns the type byte.
func (f Frame) Type() byte { return f[0] }

// Body returns the message without its header.
func (f Frame) Body() []byte { return f[headerLen:] }

// LengthError reports a message whose length is out of bounds.
type LengthError struct {
	// Type is the message's type byte. It is 0 for a start-up message.
	Type byte
	// Length is the length field of the message, Limit its upper bound, both in
	// bytes and without the type byte.
	Length int
	Limit  int
}

func (e *LengthError) Error() string {
	return fmt.Sprintf("message %q has a length of %d bytes, allowed are 4 to %d",
		e.Type, e.Length, e.Limit)
}

// Reader splits a byte stream into messages.
type Reader struct {
	br  *bufio.Reader
	buf []byte
	max int
}

// NewReader returns a Reader that rejects messages whose length field exceeds
// max.
func NewReader(br *bufio.Reader, max int) *Reader {
	return &Reader{br: br, max: max}
}

// Next returns the next message. It returns a *LengthError or an error of the
// stream. io.EOF means that the stream ended between two messages.
func (r *Reader) Next() (Frame, error) {
	head, err := r.br.Peek(headerLen)
	if err != nil {
		if err == io.EOF && len(head) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	n := int(int32(binary.BigEndian.Uint32(head[1:])))
	if n < 4 || n > r.max || head[0] == MsgReadyForQuery && n != readyForQueryLength {
		return nil, &LengthError{Type: head[0], Length: n, Limit: r.max}
	}
	return r.readN(n + 1)
}

// Buffered returns the number of bytes that are read but not yet returned.
func (r *Reader) Buffered() int { return r.br.Buffered() }

// readN returns the next n bytes. It copies them only if they do not fit in the
// stream's buffer.
func (r *Reader) readN(n int) (Frame, error) {
	if n <= r.br.Size() {
		p, err := r.br.Peek(n)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		_, err = r.br.Discard(n)
		return Frame(p), err
	}
	if cap(r.buf) < n {
		r.buf = make([]byte, n)
	}
	p := r.buf[:n]
	if n > maxReuseBytes {
		r.buf = nil
	}
	if _, err := io.ReadFull(r.br, p); err != nil {
		return nil, unexpectedEOF(err)
	}
	return Frame(p), nil
}

// ReadStartup returns the body of a start-up message, which has no type byte.
// A length field below 8 or above max is a *LengthError.
func ReadStartup(br io.Reader, max int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(br, head[:]); err != nil {
		return nil, err
	}
	n := int(int32(binary.BigEndian.Uint32(head[:])))
	if n < 8 || n > max {
		return nil, &LengthError{Length: n, Limit: max}
	}
	body := make([]byte, n-4)
	if _, err := io.ReadFull(br, body); err != nil {
		return nil, unexpectedEOF(err)
	}
	return body, nil
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
