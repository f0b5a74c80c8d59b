package watch

import (
	"context"
	"time"

	"hemlockmast/internal/endpoint"
)

const (
	// probeInterval is the longest time between two statuses of an endpoint.
	probeInterval = 200 * time.Millisecond
	// probeTimeout is the time beyond probeInterval within which an endpoint
	// must answer.
	probeTimeout = 400 * time.Millisecond
	// redialPause is the wait after a failed observation.
	redialPause = 50 * time.Millisecond
)

// Connect opens a watch connection to an endpoint of group at addr.
type Connect func(ctx context.Context, group, addr string) (endpoint.Controller, error)

// Watcher observes one endpoint over one connection.
type Watcher struct {
	Group string
	Slot  string
	// Addr is the endpoint's address.
	Addr string
	// Observer names this daemon and its incarnation.
	Observer string
	Connect  Connect
	// Publish takes each observation.
	Publish func(Observation)
	// Sequence numbers observations; it is shared by the watchers that follow
	// each other on one slot.
	Sequence func() uint64
	// Questions are answered on the watch connection, between two waits.
	Questions <-chan Question
}

// Question asks whether a connection to the endpoint runs a statement. Answer
// receives one value, unless the watch connection fails.
type Question struct {
	PID    uint32
	Answer chan<- bool
}

// Run observes until ctx ends. A change at the endpoint is published at once,
// an unchanged status after each probe interval.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.observe(ctx)
		if ctx.Err() != nil {
			return
		}
		w.publish(endpoint.Status{Group: w.Group, Slot: w.Slot}, time.Now(), false)
		select {
		case <-time.After(redialPause):
		case <-ctx.Done():
		}
	}
}

// observe runs one watch connection to its end.
func (w *Watcher) observe(ctx context.Context) {
	dialCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	ctl, err := w.Connect(dialCtx, w.Group, w.Addr)
	cancel()
	if err != nil {
		return
	}
	defer func() { _ = ctl.Close() }()
	asked := time.Now()
	status, err := w.probe(ctx, func(ctx context.Context) (endpoint.Status, error) {
		return ctl.Status(ctx)
	})
	for err == nil {
		if status.Group != w.Group || status.Slot != w.Slot {
			return
		}
		w.publish(status, asked, true)
		if err = w.answer(ctx, ctl); err != nil {
			return
		}
		seen := status
		asked = time.Now()
		status, err = w.probe(ctx, func(ctx context.Context) (endpoint.Status, error) {
			return ctl.Wait(ctx, seen, probeInterval)
		})
	}
}

// answer answers the questions that wait.
func (w *Watcher) answer(ctx context.Context, ctl endpoint.Controller) error {
	reader, ok := ctl.(endpoint.ActivityReader)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for {
		select {
		case q := <-w.Questions:
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

func (w *Watcher) probe(ctx context.Context, ask func(context.Context) (endpoint.Status, error)) (endpoint.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, probeInterval+probeTimeout)
	defer cancel()
	return ask(ctx)
}

func (w *Watcher) publish(status endpoint.Status, asked time.Time, reachable bool) {
	wire := StatusToWire(status)
	wire.Address = w.Addr
	wire.Observer = w.Observer
	wire.Reachable = reachable
	wire.Sequence = w.Sequence()
	w.Publish(Observation{Status: wire, AskedAt: asked})
}
