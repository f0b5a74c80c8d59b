// Package watch observes the endpoints of the slots that a daemon holds and
// passes their status on to the daemons that ask for it.
package watch

import (
	"context"
	"sync"
	"time"

	"hemlockmast/api/link"
)

// Observation is a status of an endpoint and when it was asked for.
type Observation struct {
	// Status must not be changed.
	Status *link.SlotStatus
	// AskedAt is before the question was sent, on this daemon's clock. What the
	// status says was still true or came true after it.
	AskedAt time.Time
}

// Hub passes the statuses of locally observed slots on to subscribers. A slow
// subscriber gets the newest status of each slot, not each one.
//
// Lock order: Hub.mu before subscriber.mu.
type Hub struct {
	// mu guards the fields below.
	mu          sync.Mutex
	latest      map[slotKey]Observation
	subscribers map[*subscriber]struct{}
}

type slotKey struct{ group, slot string }

// NewHub returns an empty Hub.
func NewHub() *Hub {
	return &Hub{
		latest:      map[slotKey]Observation{},
		subscribers: map[*subscriber]struct{}{},
	}
}

// Publish passes an observation on.
func (h *Hub) Publish(o Observation) {
	key := slotKey{o.Status.Group, o.Status.Slot}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latest[key] = o
	for sub := range h.subscribers {
		sub.put(key, o)
	}
}

// Forget drops a slot that is no longer observed here.
func (h *Hub) Forget(group, slot string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.latest, slotKey{group, slot})
}

// Watch calls send with the present observation of each slot, then with each
// new one, until ctx ends or send fails.
func (h *Hub) Watch(ctx context.Context, send func(Observation) error) error {
	sub := h.subscribe()
	defer h.unsubscribe(sub)
	for {
		select {
		case <-sub.signal:
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, o := range sub.take() {
			if err := send(o); err != nil {
				return err
			}
		}
	}
}

func (h *Hub) subscribe() *subscriber {
	sub := &subscriber{
		signal:  make(chan struct{}, 1),
		pending: map[slotKey]Observation{},
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, o := range h.latest {
		sub.put(key, o)
	}
	h.subscribers[sub] = struct{}{}
	return sub
}

func (h *Hub) unsubscribe(sub *subscriber) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscribers, sub)
}

// subscriber holds the statuses that one subscriber has not been sent.
type subscriber struct {
	signal chan struct{}

	// mu guards pending.
	mu      sync.Mutex
	pending map[slotKey]Observation
}

func (s *subscriber) put(key slotKey, o Observation) {
	s.mu.Lock()
	s.pending[key] = o
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

func (s *subscriber) take() []Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Observation, 0, len(s.pending))
	for _, o := range s.pending {
		list = append(list, o)
	}
	clear(s.pending)
	return list
}
