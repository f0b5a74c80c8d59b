package proxy

import (
	"context"
	"sync"
	"time"

	fleetpb "hemlockmast/api/fleet"
)

const (
	// controlLossThreshold is how long no current control daemon must have answered before
	// this daemon may count as isolated. A change of control's leader takes longer, so the
	// loss of control alone does not isolate a daemon.
	controlLossThreshold = 300 * time.Millisecond
	// remoteLossThreshold is how long no endpoint of another failure domain must have
	// answered, while attempts failed, before this daemon stops being ready and may count
	// as isolated. The platform waits for two negative answers a second apart, which
	// filters short losses.
	remoteLossThreshold = 300 * time.Millisecond
	// notReadyThreshold is the number of consecutive negative answers after which the
	// platform sends no more callers.
	notReadyThreshold = 2
	// isolationCheckInterval is the time between two checks for isolation.
	isolationCheckInterval = 200 * time.Millisecond
)

// reachability records whether endpoints of other failure domains answer. It is safe for
// concurrent use.
type reachability struct {
	mu sync.Mutex
	// lastAnswer and lastFailure are when such an endpoint last answered and last failed.
	lastAnswer, lastFailure time.Time
}

// answered records an answer of an endpoint. Only other failure domains count.
func (r *reachability) answered(isInOtherDomain bool, now time.Time) {
	if !isInOtherDomain {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAnswer = now
}

// failed records a failure of an endpoint. Only other failure domains count.
func (r *reachability) failed(isInOtherDomain bool, now time.Time) {
	if !isInOtherDomain {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFailure = now
}

// isLostFor reports whether the latest event in other failure domains was a failure and no
// answer came for longer than d. With a short d, entries that reach only some endpoints
// would flap.
func (r *reachability) isLostFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastFailure.After(r.lastAnswer) && time.Since(r.lastAnswer) > d
}

func (s *Server) isInOtherDomain(e *fleetpb.Endpoint) bool {
	return e.FailureDomain != s.cfg.FailureDomain
}

// isIsolated reports whether this daemon is most likely cut off from the other failure
// domains: neither control nor any endpoint there answers. Callers are then better served
// by daemons elsewhere, which they still reach. Those that connect here all the same get
// what the endpoints of this failure domain can answer.
func (s *Server) isIsolated() bool {
	return s.cfg.ControlLostFor() > controlLossThreshold && s.reachability.isLostFor(remoteLossThreshold)
}

// cutOffFor returns for how long control has not answered, if no endpoint of another failure domain
// answers either; otherwise 0. While control alone is lost, for example when its leader changes, the
// views of the entries stand still alike, and they go on agreeing on the granters of limits.
func (s *Server) cutOffFor() time.Duration {
	if !s.reachability.isLostFor(remoteLossThreshold) {
		return 0
	}
	return s.cfg.ControlLostFor()
}

// notReadyStreak counts consecutive negative answers of Server.Ready. It is safe for
// concurrent use.
type notReadyStreak struct {
	mu     sync.Mutex
	length int
}

func (m *notReadyStreak) record(isReady bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if isReady {
		m.length = 0
		return
	}
	m.length++
}

// isOutOfRotation reports whether the platform has seen enough negative answers to send
// callers elsewhere.
func (m *notReadyStreak) isOutOfRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.length >= notReadyThreshold
}

// WatchIsolation logs when this daemon becomes isolated and when that ends. While it is
// isolated and out of rotation, it ends idle sessions. It returns when ctx is done.
func (s *Server) WatchIsolation(ctx context.Context) {
	ticker := time.NewTicker(isolationCheckInterval)
	defer ticker.Stop()
	var isolatedSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch isIsolated := s.isIsolated(); {
		case !isIsolated && !isolatedSince.IsZero():
			s.log.Info("no longer cut off", "after", time.Since(isolatedSince).String())
			isolatedSince = time.Time{}
		case isIsolated && isolatedSince.IsZero():
			isolatedSince = time.Now()
			s.log.Info("cut off from other failure domains", "controlLost", s.cfg.ControlLostFor().String())
		case isIsolated && s.notReadyStreak.isOutOfRotation():
			s.endIdleSessions(false, minIdleTime)
		}
	}
}
