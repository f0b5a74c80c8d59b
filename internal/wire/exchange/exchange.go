// Package exchange defines the interface between an entry and a holder: an
// Exchange runs the segments of one caller on one slot, a transaction at a
// time. It is implemented in process by package holder and over the network
// by package link.
package exchange

import (
	"context"
	"io"

	"hemlockmast/api/link"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
)

// Result is the end of a segment that the endpoint answered.
type Result struct {
	// TxStatus is the byte of ReadyForQuery ('I', 'T' or 'E'), 0 after Flush.
	TxStatus byte
	// Attached states that the exchange still holds a connection; the next
	// segment must be sent on the same exchange and without Open.
	Attached bool
	// Pinned states that session state keeps the connection attached.
	Pinned bool
	// Commit is the position of the commit; zero when nothing was written.
	Commit logpos.Pos
	// ConfirmedBy names the slot that confirmed Commit.
	ConfirmedBy string
	// ReadOnlyRefusal states that the endpoint refused with SQLSTATE 25006 and
	// the segment had no effect.
	ReadOnlyRefusal bool
	// ErrorCode is the SQLSTATE of the endpoint's first error, if any.
	ErrorCode string
}

// Exchange runs segments in order. It is used by one goroutine at a time.
type Exchange interface {
	// Run sends one segment and writes the endpoint's messages to sink as they
	// come. A failure of the system is an *outcome.Error; after one, only Close
	// may be called. An error of sink ends the run and is returned as it is.
	Run(ctx context.Context, seg *link.Segment, sink io.Writer) (Result, error)
	// Close gives up what the exchange holds: a connection in a transaction is
	// rolled back or closed, never handed to another caller as it is.
	Close()
}

// Opener opens exchanges on the slots that one holder serves.
type Opener interface {
	Open(ctx context.Context) (Exchange, error)
}

// ToWire returns the wire form of a result or failure.
func ToWire(res Result, err *outcome.Error) *link.Result {
	w := &link.Result{
		TxStatus:        uint32(res.TxStatus),
		Attached:        res.Attached,
		Pinned:          res.Pinned,
		CommitTerm:      res.Commit.Term,
		CommitIndex:     res.Commit.Index,
		ConfirmedBy:     res.ConfirmedBy,
		ReadOnlyRefusal: res.ReadOnlyRefusal,
		ErrorCode:       res.ErrorCode,
	}
	if err != nil {
		w.Failure = &link.Failure{
			Outcome: link.OutcomeKind(err.Outcome),
			Code:    err.Code,
			Reason:  string(err.Reason),
			Message: err.Message,
		}
	}
	return w
}

// FromWire is the inverse of ToWire. An outcome that it does not know is read
// as outcome unknown.
func FromWire(w *link.Result) (Result, error) {
	res := Result{
		TxStatus:        byte(w.TxStatus),
		Attached:        w.Attached,
		Pinned:          w.Pinned,
		Commit:          logpos.Pos{Term: w.CommitTerm, Index: w.CommitIndex},
		ConfirmedBy:     w.ConfirmedBy,
		ReadOnlyRefusal: w.ReadOnlyRefusal,
		ErrorCode:       w.ErrorCode,
	}
	if w.Failure == nil {
		return res, nil
	}
	kind := outcome.Unknown
	if w.Failure.Outcome == link.OutcomeKind_OUTCOME_NOT_RUN {
		kind = outcome.NotRun
	}
	return res, &outcome.Error{
		Outcome: kind,
		Code:    w.Failure.Code,
		Reason:  outcome.Reason(w.Failure.Reason),
		Message: w.Failure.Message,
	}
}
