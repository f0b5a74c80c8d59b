package entry

import (
	"context"
	"io"
)

// maxBufferedReplyBytes is the size up to which a reply is buffered until it is
// complete.
const maxBufferedReplyBytes = 64 << 10

// bufferedSink passes a reply to the caller through a buffer. No part of a reply
// that fits the buffer is sent before sendReply is called, so the segment can
// still be retried at another endpoint. The end of a reply, which may report a
// commit, always stays in the buffer until the session's floor is recorded.
type bufferedSink struct {
	w   io.Writer
	buf []byte
	// started states that a part of the reply was sent to the caller.
	started bool
	// confirm must succeed before the first byte is sent to the caller. nil means
	// that no confirmation is required.
	confirm func(context.Context) error
	ctx     context.Context
	// confirmErr is the error that confirm returned.
	confirmErr error
}

// Write implements io.Writer.
func (s *bufferedSink) Write(p []byte) (int, error) {
	if len(s.buf)+len(p) > maxBufferedReplyBytes && len(s.buf) > 0 {
		if err := s.sendReply(); err != nil {
			return 0, err
		}
	}
	s.buf = append(s.buf, p...)
	return len(p), nil
}

// sendReply sends the buffered part of the reply.
func (s *bufferedSink) sendReply() error {
	if len(s.buf) == 0 {
		return nil
	}
	if s.confirm != nil {
		if s.confirmErr = s.confirm(s.ctx); s.confirmErr != nil {
			return s.confirmErr
		}
		s.confirm = nil
	}
	s.started = true
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	return err
}

// discard drops the buffered part of the reply.
func (s *bufferedSink) discard() { s.buf = s.buf[:0] }
