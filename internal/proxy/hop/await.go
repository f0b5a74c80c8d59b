package hop

import (
	"errors"
	"os"
	"time"

	carrypb "hemlockmast/api/carry"
)

// LateError reports a request whose deadline passed before the carrier answered. The carrier was
// not silent for so long that it counts as lost.
type LateError struct{}

func (*LateError) Error() string { return "no answer by the request's deadline" }

// Unwrap makes the error a time-out.
func (*LateError) Unwrap() error { return os.ErrDeadlineExceeded }

func isLate(err error) bool {
	var late *LateError
	return errors.As(err, &late)
}

// exchange sends a request and waits for its answer while keepalives arrive.
func exchange(s *stream, request *carrypb.Request, deadline time.Time) (*carrypb.Response, error) {
	if err := s.write(request, time.Now().Add(keepaliveTimeout)); err != nil {
		return nil, err
	}
	return awaitResponse(s, deadline, keepaliveTimeout)
}

// awaitResponse reads the answer and skips keepalives. It fails with
// os.ErrDeadlineExceeded when nothing arrives for maxSilence, or at the deadline. The error is a
// *LateError if the carrier was not silent for keepaliveTimeout by then.
func awaitResponse(s *stream, deadline time.Time, maxSilence time.Duration) (*carrypb.Response, error) {
	answer, _, err := awaitWithKeepalives(s, deadline, maxSilence)
	return answer, err
}

// awaitWithKeepalives does the same as awaitResponse and reports whether a keepalive arrived.
func awaitWithKeepalives(s *stream, deadline time.Time, maxSilence time.Duration) (answer *carrypb.Response, isAlive bool, err error) {
	for ; ; isAlive = true {
		heardAt := time.Now()
		until := heardAt.Add(maxSilence)
		if deadline.Before(until) {
			until = deadline
		}
		if err := s.SetReadDeadline(until); err != nil {
			return nil, isAlive, err
		}
		answer := &carrypb.Response{}
		if err := s.read(answer); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && until.Before(heardAt.Add(keepaliveTimeout)) {
				err = &LateError{}
			}
			return nil, isAlive, err
		}
		if answer.GetAlive() == nil {
			return answer, isAlive, nil
		}
	}
}
