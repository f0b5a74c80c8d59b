// Package watch distributes the status of the endpoints that a daemon observes
// to the daemons that subscribe to it.
package watch

import (
	"context"
	"sync"
	"time"

	"hemlockmast/api/link"
)

// Observation is a status of an endpoint and when it was requested.
type Observation struct {
	// Status must not be modified.
	Status *link.SlotStatus
	// AskedAt is a time on this daemon's clock before the request for the status
	// was sent: the status describes the endpoint at some time after it.
	AskedAt time.Time
}

// Hub distributes the statuses of locally observed slots to subscribers. A slow
// subscriber gets only the newest status of each slot. Hub is safe for
// concurrent use.
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

// Publish sends an observation to all subscribers. It does not block.
func (h *Hub) Publish(o Observation) {
	key := slotKey{o.Status.Group, o.Status.Slot}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latest[key] = o
	for sub := range h.subscribers {
		sub.put(key, o)
	}
}

// Forget removes a slot that this daemon no longer observes.
func (h *Hub) Forget(group, slot string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.latest, slotKey{group, slot})
}

// Watch calls send with the current observation of each slot and then with new
// ones, until ctx ends or send fails. It returns the error of ctx or send.
func (h *Hub) Watch(ctx context.Context, send func(Observation) error) error {
	sub := h.subscribe()
	defer h.unsubscribe(sub)
	for {
		select {
		case <-sub.notify:
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, o := range sub.drain() {
			if err := send(o); err != nil {
				return err
			}
		}
	}
}

func (h *Hub) subscribe() *subscriber {
	sub := &subscriber{
		notify:  make(chan struct{}, 1),
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

// subscriber holds the observations that are yet to be sent to one subscriber.
type subscriber struct {
	// notify receives a value when pending may have become non-empty.
	notify chan struct{}

	// mu guards pending.
	mu      sync.Mutex
	pending map[slotKey]Observation
}

// put makes o the pending observation of its slot.
func (s *subscriber) put(key slotKey, o Observation) {
	s.mu.Lock()
	s.pending[key] = o
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// drain removes and returns all pending observations.
func (s *subscriber) drain() []Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Observation, 0, len(s.pending))
	for _, o := range s.pending {
		list = append(list, o)
	}
	clear(s.pending)
	return list
}
