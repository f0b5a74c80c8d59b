package link

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

const (
	// maxFrameBytes is the size limit of one message between daemons.
	maxFrameBytes = 32 << 20
	// maxReuseBytes is the largest buffer that is kept for the next message.
	maxReuseBytes = 64 << 10
)

// FrameError reports a message that exceeds the size limit. Both fields are in
// bytes.
type FrameError struct {
	Length uint64
	Limit  int
}

func (e *FrameError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Length, e.Limit)
}

// message is implemented by the generated vtprotobuf messages.
type message interface {
	SizeVT() int
	MarshalToSizedBufferVT(p []byte) (int, error)
	UnmarshalVT(p []byte) error
}

// frameWriter writes messages, each with its length as a varint prefix, in one
// Write call.
type frameWriter struct {
	w   io.Writer
	buf []byte
}

func (w *frameWriter) write(m message) error {
	size := m.SizeVT()
	if size > maxFrameBytes {
		return &FrameError{Length: uint64(size), Limit: maxFrameBytes}
	}
	w.buf = binary.AppendUvarint(w.buf[:0], uint64(size))
	head := len(w.buf)
	w.buf = resize(w.buf, head+size)
	if _, err := m.MarshalToSizedBufferVT(w.buf[head:]); err != nil {
		return err
	}
	_, err := w.w.Write(w.buf)
	if cap(w.buf) > maxReuseBytes {
		w.buf = nil
	}
	return err
}

// frameReader reads the messages that a frameWriter wrote.
type frameReader struct {
	br  *bufio.Reader
	buf []byte
}

func (r *frameReader) read(m message) error {
	size, err := binary.ReadUvarint(r.br)
	if err != nil {
		return err
	}
	if size > maxFrameBytes {
		return &FrameError{Length: size, Limit: maxFrameBytes}
	}
	r.buf = resize(r.buf[:0], int(size))
	if _, err := io.ReadFull(r.br, r.buf); err != nil {
		return err
	}
	err = m.UnmarshalVT(r.buf)
	if cap(r.buf) > maxReuseBytes {
		r.buf = nil
	}
	return err
}

// resize returns p with length n and its content up to there. It allocates if
// the capacity is too small.
func resize(p []byte, n int) []byte {
	if cap(p) >= n {
		return p[:n]
	}
	q := make([]byte, n)
	copy(q, p)
	return q
}
