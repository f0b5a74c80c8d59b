// Package watch observes the endpoints of the slots that a daemon holds and
// passes their status on to the daemons that ask for it.
package watch

import (
	"context"
	"sync"

	"hemlockmast/api/link"
)

// Hub passes the statuses of locally observed slots on to subscribers. A slow
// subscriber gets the newest status of each slot, not each one.
//
// Lock order: Hub.mu before subscriber.mu.
type Hub struct {
	// mu guards the fields below.
	mu          sync.Mutex
	latest      map[slotKey]*link.SlotStatus
	subscribers map[*subscriber]struct{}
}

type slotKey struct{ group, slot string }

// NewHub returns an empty Hub.
func NewHub() *Hub {
	return &Hub{
		latest:      map[slotKey]*link.SlotStatus{},
		subscribers: map[*subscriber]struct{}{},
	}
}

// Publish passes a status on. It must not be changed afterwards.
func (h *Hub) Publish(status *link.SlotStatus) {
	key := slotKey{status.Group, status.Slot}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latest[key] = status
	for sub := range h.subscribers {
		sub.put(key, status)
	}
}

// Forget drops a slot that is no longer observed here.
func (h *Hub) Forget(group, slot string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.latest, slotKey{group, slot})
}

// Watch implements the link package's Watcher.
func (h *Hub) Watch(ctx context.Context, send func(*link.SlotStatus) error) error {
	sub := h.subscribe()
	defer h.unsubscribe(sub)
	for {
		select {
		case <-sub.signal:
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, status := range sub.take() {
			if err := send(status); err != nil {
				return err
			}
		}
	}
}

func (h *Hub) subscribe() *subscriber {
	sub := &subscriber{
		signal:  make(chan struct{}, 1),
		pending: map[slotKey]*link.SlotStatus{},
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, status := range h.latest {
		sub.put(key, status)
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
	pending map[slotKey]*link.SlotStatus
}

func (s *subscriber) put(key slotKey, status *link.SlotStatus) {
	s.mu.Lock()
	s.pending[key] = status
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

func (s *subscriber) take() []*link.SlotStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*link.SlotStatus, 0, len(s.pending))
	for _, status := range s.pending {
		list = append(list, status)
	}
	clear(s.pending)
	return list
}
