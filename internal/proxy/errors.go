package proxy

import (
	"errors"
	"io"
	"os"
	"syscall"

	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/stmt"
)

// asRefused finds a *stmt.RefusedError in the chain of err, as errors.As does.
func asRefused(err error, target **stmt.RefusedError) bool { return errors.As(err, target) }

// asFull finds a *pool.FullError in the chain of err, as errors.As does.
func asFull(err error, target **pool.FullError) bool { return errors.As(err, target) }

// notRunError returns the error for the caller when err occurred before any of the caller's
// statements could run.
func notRunError(err error) *stmt.Error {
	var refusal *stmt.Error
	var full *pool.FullError
	switch {
	case asFull(err, &full) && full.Expected:
		return &stmt.Error{Code: stmt.CodeTooMany, Detail: "queue is too long", Overloaded: true}
	case asFull(err, &full):
		return &stmt.Error{Code: stmt.CodeTooMany, Detail: "no free connection in time"}
	case errors.As(err, &refusal) && refusal.Code.NotRun():
		return refusal
	}
	return &stmt.Error{Code: stmt.CodeBusy, Detail: "endpoint not reached"}
}

// indicatesUnreachable reports whether err newly shows that the endpoint cannot be reached.
// A refusal is an answer. A slow statement proves nothing: the connection's own timeouts
// detect a peer that is dead or cut off. A closed or reset connection says nothing about
// others: the next dial shows whether the endpoint is gone. A lost loan or an unreachable
// carrier says nothing about the endpoint, and a *pool.DownError nothing new.
func indicatesUnreachable(err error) bool {
	var refused *stmt.RefusedError
	var full *pool.FullError
	var closed *pool.ClosedError
	var down *pool.DownError
	var lost *hop.LostError
	var unreachable *hop.UnreachableError
	var broken *stmt.BrokenError
	if errors.As(err, &down) || errors.As(err, &lost) || errors.As(err, &unreachable) {
		return false
	}
	if asRefused(err, &refused) || asFull(err, &full) || errors.As(err, &closed) {
		return false
	}
	if !errors.As(err, &broken) || !broken.Sent {
		return true
	}
	isSlow := errors.Is(err, os.ErrDeadlineExceeded)
	isClosed := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	return !isSlow && !isClosed
}

// indicatesFailure reports whether err shows that an endpoint failed a statement that it had
// received: the connection broke, or no answer came.
func indicatesFailure(err error) bool {
	var lost *hop.LostError
	if errors.As(err, &lost) {
		return lost.AtEndpoint
	}
	var broken *stmt.BrokenError
	return errors.As(err, &broken) && broken.Sent
}
