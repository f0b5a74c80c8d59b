package daemon

import (
	"context"
	"sync"
	"time"

	"hemlockmast/internal/entry"
	"hemlockmast/internal/logpos"
	"hemlockmast/internal/outcome"
)

// memorySessions keeps floors for the life of a connection.
type memorySessions struct{}

// Open implements entry.Sessions.
func (memorySessions) Open(string, string) (entry.SessionHandle, *outcome.Error) {
	return &memorySession{}, nil
}

type memorySession struct {
	// mu guards floors.
	mu     sync.Mutex
	floors map[string]entry.Floor
}

func (s *memorySession) Floor(_ context.Context, group string) (entry.Floor, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floors[group], nil
}

func (s *memorySession) Raise(_ context.Context, group string, pos logpos.Pos, by string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.floors == nil {
		s.floors = map[string]entry.Floor{}
	}
	s.floors[group] = entry.Floor{Pos: logpos.Max(s.floors[group].Pos, pos), ConfirmedBy: by}
	return nil
}

func (s *memorySession) Token() string { return "" }

func (s *memorySession) Close() {}

// openAdmission admits everything.
type openAdmission struct{}

// Admit implements entry.Admitter.
func (openAdmission) Admit(context.Context, entry.Service, bool) (func(), error) {
	return func() {}, nil
}

// silentObserver drops what it hears.
type silentObserver struct{}

func (silentObserver) Segment(string, bool, bool, entry.Verdict, time.Duration) {}
func (silentObserver) Retry(string, outcome.Reason)                             {}
func (silentObserver) Pinned(string)                                            {}
