package entry

import (
	"context"
	"io"
)

// holdBytes is the size up to which a reply is kept back until it is complete.
const holdBytes = 64 << 10

// heldSink passes replies to the caller. It keeps the newest ones back: until
// finish, nothing of a small reply has reached the caller, so that the segment
// may move to another endpoint; and the end of any reply, which may report a
// commit, waits until the session's floor is recorded.
type heldSink struct {
	w   io.Writer
	buf []byte
	// started states that a part of the reply went to the caller.
	started bool
	// before must succeed before the first byte goes to the caller; nil means
	// that nothing is asked.
	before func(context.Context) error
	ctx    context.Context
	// refusal is the error of before.
	refusal error
}

// Write implements io.Writer.
func (s *heldSink) Write(p []byte) (int, error) {
	if len(s.buf)+len(p) > holdBytes && len(s.buf) > 0 {
		if err := s.finish(); err != nil {
			return 0, err
		}
	}
	s.buf = append(s.buf, p...)
	return len(p), nil
}

// finish sends what is kept back.
func (s *heldSink) finish() error {
	if len(s.buf) == 0 {
		return nil
	}
	if s.before != nil {
		if s.refusal = s.before(s.ctx); s.refusal != nil {
			return s.refusal
		}
		s.before = nil
	}
	s.started = true
	_, err := s.w.Write(s.buf)
	s.buf = s.buf[:0]
	return err
}

// discard drops what is kept back.
func (s *heldSink) discard() { s.buf = s.buf[:0] }
