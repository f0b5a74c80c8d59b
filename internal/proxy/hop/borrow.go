package hop

import (
	"time"

	carrypb "hemlockmast/api/carry"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/stmt"
)

// encodeBorrow encodes a request for a connection. Its times count from now.
func encodeBorrow(r BorrowRequest) *carrypb.Borrow {
	m := &carrypb.Borrow{
		EndpointId: r.Endpoint, Priority: r.Priority,
		TurnMs: ceilMillis(time.Until(r.TurnBy)), HoldMs: ceilMillis(time.Until(r.WaitDeadline)), LeftMs: ceilMillis(time.Until(r.Deadline)),
		Values: encodeValues(r.Needs.Values), Workspace: []byte(r.Needs.Workspace), TargetMs: ceilMillis(r.Target),
	}
	if shape := r.Needs.Shape; shape != nil {
		m.Shape = &carrypb.Shape{Text: []byte(shape.Text), Writes: shape.Writes}
	}
	return m
}

// decodeBorrow decodes a request for a connection that was received at now.
func decodeBorrow(m *carrypb.Borrow, now time.Time) BorrowRequest {
	r := BorrowRequest{
		Endpoint: m.EndpointId, Priority: m.Priority, Needs: pool.Needs{Workspace: string(m.Workspace), Values: decodeValues(m.Values)},
		TurnBy:       now.Add(time.Duration(m.TurnMs) * time.Millisecond),
		WaitDeadline: now.Add(time.Duration(m.HoldMs) * time.Millisecond),
		Deadline:     now.Add(time.Duration(m.LeftMs) * time.Millisecond),
		Target:       time.Duration(m.TargetMs) * time.Millisecond,
	}
	if m.Shape != nil {
		r.Needs.Shape = &stmt.Shape{Text: string(m.Shape.Text), Writes: m.Shape.Writes}
	}
	return r
}

// brokenAtCarrier returns the error for a carrier's connection to the endpoint that failed.
func brokenAtCarrier(carrier string, m *carrypb.Broken) error {
	return &stmt.BrokenError{Sent: m.Sent, Cause: &LostError{
		Carrier: carrier, Detail: string(m.Detail), AtEndpoint: m.Sent,
	}}
}
