package watch

import (
	"context"

	"hemlockmast/internal/endpointside/endpoint"
)

// Question asks whether a connection to an endpoint runs a statement.
type Question struct {
	// PID is the process id that the endpoint gave the connection.
	PID uint32
	// Answer receives one value, unless the connection on which the daemon watches
	// the endpoint fails. The send
	// blocks until it is received or buffered.
	Answer chan<- bool
}

// Answer answers the pending questions over ctl, the connection on which the
// daemon watches the endpoint. It answers none if ctl is not an endpoint.ActivityReader. The error is that of the
// connection.
func Answer(ctx context.Context, ctl endpoint.Controller, questions <-chan Question) error {
	reader, ok := ctl.(endpoint.ActivityReader)
	if !ok {
		return nil
	}
	for {
		select {
		case q := <-questions:
			active, err := reader.Active(ctx, q.PID)
			if err != nil {
				return err
			}
			q.Answer <- active
		default:
			return nil
		}
	}
}
