package proxy

import (
	"fmt"
	"time"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/proxy/explanation"
	"hemlockmast/internal/proxy/quota"
	"hemlockmast/internal/shared/boottime"
	"hemlockmast/internal/shared/metrics"
)

// maxExplainSteps bounds the steps of an operation that are tried on a copy of its account.
const maxExplainSteps = 3

// Outcomes of an operation in explanation.Limit.
const (
	limitAdmitted = "admitted"
	limitWaits    = "waits"
	limitAsks     = "asks"
	limitRefused  = "refused"
)

// explain returns what next would do with an operation of a workspace. It decides on a copy of the
// account, so that no token is taken and no request is sent.
func (l *limiter) explain(w *fleetpb.Workspace, route *fleetpb.Route) *explanation.Limit {
	lostFor := l.lostFor()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	a := l.copyAccount(w)
	o := operation{priority: quota.Priority(int(route.GetPriority())), deadline: now + limitWait(route)}
	a.Arrive(now)
	a.waiting[o.priority]++
	next := l.decide(a, w, o, now, lostFor)
	for range maxExplainSteps {
		if !l.grantToCopy(a, w, next, now, lostFor) {
			break
		}
		next = l.decide(a, w, o, now, lostFor)
	}
	e := &explanation.Limit{Granter: a.granter, InFallback: a.isInFallback, IsLimited: a.isLimited}
	if a.isLimited {
		e.Refusals = a.refusals
	}
	e.Outcome, e.Detail = next.describe(now)
	return e
}

// copyAccount returns a copy of a workspace's account, or a new one that is not kept. mu must be
// held.
func (l *limiter) copyAccount(w *fleetpb.Workspace) *account {
	held := l.accounts[w.Name]
	if held == nil {
		held = l.newAccount(w, 0)
	}
	a := *held
	a.Account = held.Clone()
	a.SetLimit(limitOf(w))
	return &a
}

// grantToCopy grants tokens to a copy of an account where this entry is its granter, from a copy
// of the bucket. It reports false if the operation has nothing to ask this entry for. mu must be
// held.
func (l *limiter) grantToCopy(a *account, w *fleetpb.Workspace, next step, now, lostFor time.Duration) bool {
	held := l.granters[w.Name]
	if next.ask == "" || next.ask != l.self || next.asksDomain || held == nil || lostFor > maxGrantingWithoutControl {
		return false
	}
	g := held.Clone()
	g.Advance(limitOf(w), l.members.Live(now), now)
	r := a.Request(a.waiting, now)
	granted, retry := g.Grant(r)
	a.Answered(r, granted, retry, now, now, false)
	return true
}

// describe returns the step's outcome and what it depends on.
func (n step) describe(now time.Duration) (outcome, detail string) {
	switch {
	case n.refusal != nil:
		return limitRefused, n.refusal.Detail
	case n.isAdmitted && n.scope == metrics.LimitOfAll:
		return limitAdmitted, "a token of the granter is there"
	case n.isAdmitted:
		return limitAdmitted, "by the share of scope " + string(n.scope)
	case n.ask != "" && n.asksDomain:
		return limitAsks, "failure domain's share at " + n.ask
	case n.ask != "":
		return limitAsks, "granter " + n.ask
	case n.answered != nil:
		return limitWaits, "for an answer of the granter"
	}
	return limitWaits, fmt.Sprintf("for %d ms", (n.until - now).Milliseconds())
}
