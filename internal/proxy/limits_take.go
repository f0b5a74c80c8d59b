package proxy

import (
	"fmt"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/stmt"
)

// yieldTime is how long an operation leaves tokens to more urgent ones that were woken with it.
const yieldTime = time.Millisecond

// step is what an operation does next: it is admitted or refused, or it waits for an answer
// or until a time, or it asks another entry first.
type step struct {
	isAdmitted bool
	// scope is the part of the limit that an admitted operation is counted in.
	scope metrics.LimitScope
	// ask is the entry to ask for tokens; "" for none. asksDomain is set if it grants those of
	// the failure domain's share.
	ask        string
	asksDomain bool
	refusal    *stmt.Error
	answered   <-chan struct{}
	until      time.Duration
}

// take takes a token of a workspace for an operation of a priority. It waits until deadline at most.
func (l *limiter) take(w *fleetpb.Workspace, priority int, deadline time.Time) *stmt.Error {
	lostFor := l.lostFor()
	l.mu.Lock()
	a := l.account(w)
	a.Arrive(boottime.Now())
	a.waiting[priority]++
	for {
		now := boottime.Now()
		next := l.next(a, w, operation{priority: priority, deadline: now + time.Until(deadline)}, now, lostFor)
		if next.isAdmitted || next.refusal != nil {
			a.waiting[priority]--
			l.note(a, w, next.refusal, now)
			l.unlock()
			return next.refusal
		}
		l.unlock()
		next.await(now, deadline)
		lostFor = l.lostFor()
		l.mu.Lock()
	}
}

// await waits for what the step waits for, until deadline at most.
func (n step) await(now time.Duration, deadline time.Time) {
	left := time.Until(deadline)
	if n.answered == nil {
		left = min(left, n.until-now)
	}
	timer := time.NewTimer(max(0, left))
	defer timer.Stop()
	select {
	case <-n.answered:
	case <-timer.C:
	}
}

// operation is an operation that waits until deadline, on the clock of package boottime.
type operation struct {
	priority int
	deadline time.Duration
}

// next returns what an operation does next.
func (l *limiter) next(a *account, w *fleetpb.Workspace, o operation, now, lostFor time.Duration) step {
	for {
		next := l.decide(a, w, o, now, lostFor)
		if next.isAdmitted && next.scope != metrics.LimitOfAll {
			l.metrics.FallbackAdmitted(next.scope)
		}
		address := next.ask
		if address == "" {
			return next
		}
		r := hop.TokenRequest{Workspace: a.name, OfDomain: next.asksDomain, Request: a.Request(a.waiting, now)}
		if address == l.self {
			granted, retry, isGranter := l.grant(r, now, lostFor)
			l.answered(a, address, r, granted, retry, isGranter, now, now)
			continue
		}
		a.answered = make(chan struct{})
		go l.ask(a, address, r, now)
	}
}

// decide returns what an operation does next. It changes nothing but the account.
func (l *limiter) decide(a *account, w *fleetpb.Workspace, o operation, now, lostFor time.Duration) step {
	if stock := a.Stock(now); stock > 0 && stock <= a.waiting.Before(o.priority) && now < o.deadline {
		// More urgent operations that were woken by the same answer take these tokens.
		return step{until: now + yieldTime}
	}
	if ok, isFallback := a.Take(now); ok {
		if isFallback {
			return step{isAdmitted: true, scope: metrics.LimitOfDomain}
		}
		return step{isAdmitted: true, scope: metrics.LimitOfAll}
	}
	if a.answered != nil {
		if now < o.deadline {
			return step{answered: a.answered}
		}
		return l.takeUnanswered(a, w, now, lostFor, "no answer of its granter in time")
	}
	if due := a.RetryAt(o.priority); now < due {
		if due >= o.deadline {
			return refuse(w, fmt.Sprintf("next one in %d ms", (due-now).Milliseconds()))
		}
		return step{until: due}
	}
	address, isFallback := l.source(a, now)
	switch {
	case (address == "" || isFallback) && a.TakeRecent(now, lostFor):
		return step{isAdmitted: true, scope: metrics.LimitOfRecent}
	case address == "":
		return l.takeShare(a, w, now, lostFor, "no granter reached")
	case now >= o.deadline:
		return refuse(w, "no token in time")
	}
	return step{ask: address, asksDomain: isFallback}
}

// source returns the entry to ask for tokens; "" if none is reached.
func (l *limiter) source(a *account, now time.Duration) (address string, isFallback bool) {
	isUsable := func(address string) bool {
		return address != "" && now >= a.pausedUntil[address] && (address == l.self || !l.hop.IsDown(address))
	}
	switch {
	case isUsable(a.granter):
		return a.granter, false
	case isUsable(a.fallback):
		return a.fallback, true
	}
	return "", false
}

// takeUnanswered admits or refuses an operation the time of which ends before its answer comes.
func (l *limiter) takeUnanswered(a *account, w *fleetpb.Workspace, now, lostFor time.Duration, reason string) step {
	if a.TakeRecent(now, lostFor) {
		return step{isAdmitted: true, scope: metrics.LimitOfRecent}
	}
	return l.takeShare(a, w, now, lostFor, reason)
}

// takeShare admits or refuses an operation by the entry's own share of the limit.
func (l *limiter) takeShare(a *account, w *fleetpb.Workspace, now, lostFor time.Duration, reason string) step {
	if len(l.entries) == 0 {
		// Entries do not lend here and have no granters. The shares are the usual way then.
		lostFor = 0
	}
	share := limitOf(w).Share(1 / float64(l.members.Count(now)))
	if a.TakeShare(share, now, lostFor) {
		return step{isAdmitted: true, scope: metrics.LimitOfEntry}
	}
	return refuse(w, reason+", and this entry's share is used up")
}

// refuse returns the refusal of an operation that has not run.
func refuse(w *fleetpb.Workspace, reason string) step {
	return step{refusal: &stmt.Error{
		Code: stmt.CodeTooMany, Detail: fmt.Sprintf("limit of %g operations per second: %s", w.RatePerS, reason),
	}}
}

// ask sends a request to another entry and records its answer.
func (l *limiter) ask(a *account, address string, r hop.TokenRequest, sentAt time.Duration) {
	granted, retry, isGranter, err := l.hop.Tokens(address, r)
	l.mu.Lock()
	defer l.unlock()
	close(a.answered)
	a.answered = nil
	if err != nil {
		// The granter may have taken the unused tokens back although its answer was lost.
		a.ForgetUnused(r.Request)
		l.noteFailed(a, address, r, err.Error(), boottime.Now())
		return
	}
	l.answered(a, address, r, granted, retry, isGranter, sentAt, boottime.Now())
}

// answered records an answer to a request that was sent at sentAt.
func (l *limiter) answered(a *account, address string, r hop.TokenRequest, granted int, retry time.Duration, isGranter bool, sentAt, now time.Duration) {
	if !isGranter {
		l.noteFailed(a, address, r, "it does not grant now", now)
		return
	}
	a.Answered(r.Request, granted, retry, sentAt, now, r.OfDomain)
	if r.OfDomain {
		return
	}
	if address != a.granter {
		a.ChangeGranter()
	}
	if a.isInFallback && now-a.failedAt > limitLogHold {
		a.isInFallback = false
		l.logLater("limit no longer kept by a share", "workspace", a.name, "granter", address)
	}
}

// noteFailed records that an entry did not grant.
func (l *limiter) noteFailed(a *account, address string, r hop.TokenRequest, cause string, now time.Duration) {
	for other, until := range a.pausedUntil {
		if now >= until {
			delete(a.pausedUntil, other)
		}
	}
	a.pausedUntil[address] = now + granterPause
	if r.OfDomain {
		return
	}
	a.failedAt = now
	if !a.isInFallback {
		a.isInFallback = true
		l.logLater("limit kept by a share", "workspace", a.name, "granter", address, "fallback", a.fallback,
			"entries", l.members.Count(now), "error", cause)
	}
}

// note counts and logs the outcome of an operation.
func (l *limiter) note(a *account, w *fleetpb.Workspace, refusal *stmt.Error, now time.Duration) {
	if refusal == nil {
		if a.isLimited && now-a.refusedAt > limitLogHold {
			a.isLimited = false
			l.logLater("workspace no longer limited", "workspace", a.name, "ratePerS", w.RatePerS, "refusals", a.refusals)
		}
		return
	}
	l.metrics.LimitRefused(a.name)
	a.refusedAt = now
	a.refusals++
	if !a.isLimited {
		a.isLimited, a.refusals = true, 1
		l.logLater("workspace limited", "workspace", a.name, "ratePerS", w.RatePerS, "burst", w.Burst, "reason", refusal.Detail)
	}
}
