package proxy

import (
	"context"
	"time"

	"hemlockmast/internal/proxy/acked"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/wait"
)

const (
	// maxSuccessorStall is how long commits may wait for a successor that receives nothing before
	// further ones are held back. A replica receives a commit within milliseconds.
	maxSuccessorStall = 150 * time.Millisecond
	// successorPollInterval is the time between two requests for what the successor has received
	// while commits wait for it, and stalledPollInterval while it is stalled and none waits.
	successorPollInterval = 5 * time.Millisecond
	stalledPollInterval   = 50 * time.Millisecond
	// successorPollTimeout bounds one request, with the time for control to connect.
	successorPollTimeout = 300 * time.Millisecond
)

// awaitSuccessor waits until the successor of the primary holds the commit at pos, until that
// does not matter any more, or until deadline. Otherwise it is serviceState.acknowledge.
func (s *Server) awaitSuccessor(st *serviceState, primaryNumber uint64, pos logpos.Pos, deadline time.Time) (acked.Missing, bool, acked.Verdict) {
	st.beginWait()
	s.startPolling(st)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		changed := st.nextVerdict()
		missing, isMissing, verdict := st.acknowledge(primaryNumber, pos)
		if verdict != acked.Await {
			st.endWait(verdict)
			return missing, isMissing, verdict
		}
		select {
		case <-changed:
		case <-timer.C:
			st.endWait(acked.Await)
			return acked.Missing{}, false, acked.Withhold
		}
	}
}

// startPolling starts pollSuccessor unless it runs.
func (s *Server) startPolling(st *serviceState) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.isPolling {
		st.isPolling = true
		go s.pollSuccessor(st)
	}
}

// pollSuccessor asks control what the successor has received, at least once and then for as long
// as it lacks a commit that waits or did.
func (s *Server) pollSuccessor(st *serviceState) {
	for {
		successor := st.successor()
		if successor != "" {
			ctx, cancel := context.WithTimeout(context.Background(), successorPollTimeout)
			pos, err := s.cfg.PositionSource.Received(ctx, successor)
			cancel()
			if err != nil {
				s.log.V(1).Info("position of the successor not received", "endpoint", successor, "error", err.Error())
			} else {
				st.noteHeld(successor, pos)
			}
		}
		interval, ok := st.nextPoll()
		if !ok {
			return
		}
		wait.For(context.Background(), interval)
	}
}

func (st *serviceState) successor() string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.gate.Successor()
}

// nextPoll returns the time until the next request of pollSuccessor; ok is false if it ends.
func (st *serviceState) nextPoll() (interval time.Duration, ok bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.isPolling = !st.waitingSince.IsZero() && st.gate.Successor() != ""
	if st.waiting == 0 {
		return stalledPollInterval, st.isPolling
	}
	return successorPollInterval, st.isPolling
}

// isStalled reports whether the successor receives nothing while commits wait for it. mu must be
// held.
func (st *serviceState) isStalled(now time.Time) bool {
	return st.gate.Successor() != "" && !st.waitingSince.IsZero() && now.Sub(st.waitingSince) > maxSuccessorStall
}

// restartWait records that the successor received something, or that there is another one. mu
// must be held.
func (st *serviceState) restartWait() {
	st.waitingSince = time.Time{}
	if st.waiting > 0 {
		st.waitingSince = time.Now()
	}
}

// noteHeld records that the successor holds the log up to a position.
func (st *serviceState) noteHeld(successor string, pos logpos.Pos) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.gate.NoteHeld(successor, pos) {
		st.restartWait()
		st.wakeWaiting()
	}
}

func (st *serviceState) beginWait() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.waitingSince.IsZero() {
		st.waitingSince = time.Now()
	}
	st.waiting++
}

// endWait ends the wait of a commit; verdict is Await if its deadline has passed.
func (st *serviceState) endWait(verdict acked.Verdict) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.waiting--; st.waiting == 0 && verdict != acked.Await {
		st.waitingSince = time.Time{}
	}
}

// nextVerdict returns a channel that is closed when a verdict may have changed.
func (st *serviceState) nextVerdict() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.gateChanged == nil {
		st.gateChanged = make(chan struct{})
	}
	return st.gateChanged
}

// wakeWaiting makes waiting commits check their verdict again. mu must be held.
func (st *serviceState) wakeWaiting() {
	if st.gateChanged != nil {
		close(st.gateChanged)
		st.gateChanged = nil
	}
}
