// Package exchange defines the interface between an entry and a holder. An
// Exchange runs the segments of one caller on one slot, one transaction at a
// time. Package holder implements it in process, package link over the network.
package exchange

import (
	"context"
	"io"

	"hemlockmast/api/link"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
)

// Result describes how the endpoint answered a segment.
type Result struct {
	// TxStatus is the transaction status byte of ReadyForQuery ('I', 'T' or
	// 'E'). It is 0 after Flush.
	TxStatus byte
	// Attached is set while the exchange still holds a connection. The next
	// segment must then be sent on the same exchange and without Open.
	Attached bool
	// Pinned is set when session state keeps the connection attached.
	Pinned bool
	// Commit is the log position of the commit. It is zero if the segment wrote
	// nothing.
	Commit logpos.Pos
	// ConfirmedBy names the slot that confirmed Commit.
	ConfirmedBy string
	// ReadOnlyRefusal is set when the endpoint refused the segment with
	// SQLSTATE 25006 (read-only transaction). The segment had no effect.
	ReadOnlyRefusal bool
	// ErrorCode is the SQLSTATE of the endpoint's first error, if any.
	ErrorCode string
}

// Exchange runs segments in order. Only one goroutine may use it at a time.
type Exchange interface {
	// Run sends one segment and writes the endpoint's messages to sink as they
	// arrive. SQL errors are part of these messages. Any other failure is an
	// *outcome.Error; after one, only Close may be called. An error from sink ends
	// the run and is returned unchanged.
	Run(ctx context.Context, seg *link.Segment, sink io.Writer) (Result, error)
	// Close releases the connection that the exchange holds. An open transaction
	// is rolled back or its connection closed, so that no other caller gets it.
	Close()
}

// Opener opens exchanges on the slots that one holder serves.
type Opener interface {
	// Open returns a new or idle exchange.
	Open(ctx context.Context) (Exchange, error)
}

// ToWire converts a result and an optional failure to their wire form.
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

// FromWire is the inverse of ToWire. It treats an unrecognized outcome kind as
// outcome unknown.
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
