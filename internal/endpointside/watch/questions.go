package watch

import (
	"context"

	"hemlockmast/internal/endpointside/endpoint"
)

// Question asks whether a connection to an endpoint runs a statement. Answer
// receives one value, unless the watch connection fails.
type Question struct {
	PID    uint32
	Answer chan<- bool
}

// Answer answers the questions that wait, over the watch connection ctl. The
// error is that of the connection.
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
