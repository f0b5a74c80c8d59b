package promotion

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"hemlockmast/internal/shared/stmt"
)

const (
	// reachTimeout bounds the opening of a connection and each command. It is
	// several round trips and the time that an endpoint takes for a connection.
	reachTimeout = 500 * time.Millisecond
	// catchUpTimeout is how long a candidate may take to receive what others
	// hold; replication takes milliseconds.
	catchUpTimeout = time.Second
	// leadTimeout is how long an endpoint may take to lead after the call. It is
	// a few times what a platform needs for a promotion.
	leadTimeout = 4 * time.Second
	// statusPause is the time between two looks at an endpoint.
	statusPause = 40 * time.Millisecond
	// promoteTimeout bounds one call to the platform.
	promoteTimeout = 1500 * time.Millisecond
	// promoteTries bounds the calls with one token.
	promoteTries = 3
)

// Promoter has the platform promote an endpoint. Errors: *ConflictError,
// *UnknownError; any other says that nothing was done.
type Promoter interface {
	Promote(ctx context.Context, service, endpointID string, token uint64) error
}

// Replica is an endpoint that may be promoted.
type Replica struct {
	stmt.Endpoint
	Leaving bool
	// Ended is set when the endpoint has ended and its log with it, while it is not
	// known that no acknowledged commit was there alone beside the primary.
	Ended bool
	// OutlivedByPrimary is set when the primary announced itself well after this
	// endpoint's last announcement.
	OutlivedByPrimary bool
}

// Plan is a promotion to carry out.
type Plan struct {
	Service string
	// Primary is the endpoint to replace.
	Primary stmt.Endpoint
	// PrimaryServes is set when the primary is alive and only to be replaced.
	PrimaryServes bool
	// Preferred, if not empty, is the replica to promote while the primary serves.
	Preferred string
	Replicas  []Replica
	// Token is allocated for this plan alone.
	Token uint64
}

// Runner carries out promotions. It is safe for concurrent use.
type Runner struct {
	Dialer   stmt.Dialer
	Promoter Promoter
	Log      logr.Logger

	// mu guards stepped: primaries that this runner made step down and that no
	// promotion was called for since. Nobody leads their services.
	mu      sync.Mutex
	stepped map[string]bool
}

func (r *Runner) hasSteppedDown(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stepped[id]
}

func (r *Runner) noteSteppedDown(id string, is bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stepped == nil {
		r.stepped = make(map[string]bool)
	}
	if is {
		r.stepped[id] = true
	} else {
		delete(r.stepped, id)
	}
}

// attempt is one promotion in progress.
type attempt struct {
	*Runner
	plan Plan
	log  logr.Logger

	conns   []stmt.Conn
	members []Member
}

// Run carries out the plan and returns the endpoint that leads. On an error the
// replicas that were paused are resumed, unless the outcome is unknown.
func (r *Runner) Run(ctx context.Context, plan Plan) (string, error) {
	a := &attempt{
		Runner: r, plan: plan,
		log:     r.Log.WithValues("service", plan.Service, "token", plan.Token),
		conns:   make([]stmt.Conn, len(plan.Replicas)),
		members: make([]Member, len(plan.Replicas)),
	}
	defer a.close()
	leader, err := a.run(ctx)
	var unknown *UnknownError
	if !errors.As(err, &unknown) {
		a.resume()
	}
	return leader, err
}

func (a *attempt) run(ctx context.Context) (string, error) {
	a.reach(ctx)
	if id, ok := Leading(a.members); ok {
		// The plan is from before a promotion. What is acknowledged there, nobody else
		// can tell.
		return "", &OtherLeadsError{Endpoint: id}
	}
	candidate, err := a.candidate(ctx)
	if err != nil {
		return "", err
	}
	a.log.Info("promotion called", "endpoint", candidate.ID, "planned", a.plan.PrimaryServes,
		"position", candidate.Status.Received.String())
	a.noteSteppedDown(a.plan.Primary.ID, false)
	if err := a.promote(ctx, candidate.ID); err != nil {
		return "", err
	}
	return candidate.ID, a.awaitLead(ctx, candidate.ID)
}

// candidate makes sure that no acknowledged commit can be missing in the log of
// the endpoint that it returns.
func (a *attempt) candidate(ctx context.Context) (Member, error) {
	if a.plan.PrimaryServes {
		candidate, ok := Successor(a.members, a.plan.Preferred)
		if !ok {
			return Member{}, &NoCandidateError{Service: a.plan.Service}
		}
		a.pause(candidate.ID)
		if !AllPaused(a.members, candidate.ID) {
			return a.candidateAfterStepDown(ctx, candidate.ID)
		}
		return a.caughtUp(ctx, candidate.ID)
	}
	a.pause("")
	if !AllPaused(a.members, "") {
		return a.candidateAfterStepDown(ctx, "")
	}
	latest, ok := Latest(a.members)
	if !ok {
		return Member{}, &NoCandidateError{Service: a.plan.Service}
	}
	return latest, nil
}

// reach connects to all replicas and asks for their state.
func (a *attempt) reach(ctx context.Context) {
	a.each(func(i int, r Replica) {
		m := &a.members[i]
		m.ID, m.Leaving = r.ID, r.Leaving
		if r.Ended {
			return
		}
		dialCtx, cancel := context.WithTimeout(ctx, reachTimeout)
		defer cancel()
		conn, err := a.Dialer.Dial(dialCtx, r.Endpoint)
		if err != nil {
			m.Dead = isDead(err) && r.OutlivedByPrimary
			a.log.Info("replica not reached", "endpoint", r.ID, "dead", m.Dead, "error", err.Error())
			return
		}
		a.conns[i] = conn
		a.take(i, func(deadline time.Time) (stmt.Status, error) { return conn.Status(deadline) })
	})
}

// isDead reports whether err proves that no process listens at the address, or
// that another one does.
func isDead(err error) bool {
	var refused *stmt.RefusedError
	if errors.As(err, &refused) {
		return refused.Reply.Code == stmt.CodeMisrouted
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// take runs one command at a replica and keeps the status that it returns. A
// full endpoint is asked again until the time is over.
func (a *attempt) take(i int, command func(deadline time.Time) (stmt.Status, error)) bool {
	deadline := time.Now().Add(reachTimeout)
	for {
		status, err := command(deadline)
		if err == nil {
			a.members[i].Status = status
			a.members[i].Reached = true
			return true
		}
		var refused *stmt.RefusedError
		busy := errors.As(err, &refused) && refused.Reply.Code == stmt.CodeBusy
		if !busy || time.Now().After(deadline) {
			a.log.Info("replica did not answer", "endpoint", a.members[i].ID, "error", err.Error())
			a.members[i].Reached = false
			return false
		}
		time.Sleep(statusPause)
	}
}

// each runs f for every replica at once and waits for all.
func (a *attempt) each(f func(i int, r Replica)) {
	var wait sync.WaitGroup
	for i, r := range a.plan.Replicas {
		wait.Go(func() { f(i, r) })
	}
	wait.Wait()
}

// pause stops all replicas but one from receiving.
func (a *attempt) pause(except string) {
	term := NextTerm(a.members)
	a.each(func(i int, r Replica) {
		if r.ID == except || !a.members[i].Reached {
			return
		}
		a.members[i].Paused = a.take(i, func(deadline time.Time) (stmt.Status, error) {
			return a.conns[i].Pause(deadline, term)
		})
	})
}

// caughtUp waits until the candidate holds what the paused replicas hold.
func (a *attempt) caughtUp(ctx context.Context, id string) (Member, error) {
	i := slices.IndexFunc(a.members, func(m Member) bool { return m.ID == id })
	deadline := time.Now().Add(catchUpTimeout)
	for {
		if Covers(a.members[i], a.members) {
			return a.members[i], nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return Member{}, &BehindError{Endpoint: id}
		}
		time.Sleep(statusPause)
		a.take(i, a.conns[i].Status)
	}
}

// candidateAfterStepDown ends the primary's lead where some replica cannot be
// paused: what the primary then holds is all that may be acknowledged.
func (a *attempt) candidateAfterStepDown(ctx context.Context, preferred string) (Member, error) {
	final, err := a.stepDown(ctx)
	if err != nil {
		a.log.Info("primary did not step down", "endpoint", a.plan.Primary.ID, "error", err.Error())
		return Member{}, a.unsafe()
	}
	a.resume()
	deadline := time.Now().Add(catchUpTimeout)
	for {
		for i, m := range a.members {
			isWanted := preferred == "" || m.ID == preferred
			if m.Reached && isWanted && !m.position().Less(final.Received) {
				return a.members[i], nil
			}
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return Member{}, &BehindError{Endpoint: preferred}
		}
		time.Sleep(statusPause)
		a.each(func(i int, _ Replica) {
			if a.members[i].Reached {
				a.take(i, a.conns[i].Status)
			}
		})
	}
}

func (a *attempt) stepDown(ctx context.Context) (stmt.Status, error) {
	dialCtx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	conn, err := a.Dialer.Dial(dialCtx, a.plan.Primary)
	if err != nil {
		return stmt.Status{}, err
	}
	defer conn.Close()
	status, err := conn.Status(time.Now().Add(reachTimeout))
	if err != nil {
		return stmt.Status{}, err
	}
	if status.Role != stmt.Primary && !a.hasSteppedDown(a.plan.Primary.ID) {
		return stmt.Status{}, &NotPrimaryError{Endpoint: a.plan.Primary.ID}
	}
	term := max(NextTerm(a.members), status.Term+1)
	final, err := conn.StepDown(time.Now().Add(reachTimeout), term)
	if err == nil {
		a.noteSteppedDown(a.plan.Primary.ID, true)
	}
	return final, err
}

func (a *attempt) unsafe() error {
	e := &UnsafeError{Service: a.plan.Service}
	for _, m := range a.members {
		if !m.Paused && !m.Dead {
			e.Unreached = append(e.Unreached, m.ID)
		}
	}
	return e
}

// promote calls the platform. A call without an answer is repeated with the same
// token for the same endpoint, which changes nothing if it was carried out.
func (a *attempt) promote(ctx context.Context, id string) error {
	var err error
	for range promoteTries {
		callCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
		err = a.Promoter.Promote(callCtx, a.plan.Service, id, a.plan.Token)
		cancel()
		var unknown *UnknownError
		if !errors.As(err, &unknown) {
			return err
		}
		a.log.Info("promotion not answered", "endpoint", id, "error", err.Error())
	}
	return err
}

// awaitLead waits until the endpoint says that it leads.
func (a *attempt) awaitLead(ctx context.Context, id string) error {
	i := slices.IndexFunc(a.members, func(m Member) bool { return m.ID == id })
	deadline := time.Now().Add(leadTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if a.take(i, a.conns[i].Status) && a.members[i].Status.Role == stmt.Primary {
			return nil
		}
		time.Sleep(statusPause)
	}
	return &NotLeadingError{Endpoint: id}
}

func (a *attempt) resume() {
	a.each(func(i int, _ Replica) {
		if a.members[i].Paused {
			a.take(i, a.conns[i].Resume)
			a.members[i].Paused = false
		}
	})
}

func (a *attempt) close() {
	for _, conn := range a.conns {
		if conn != nil {
			conn.Close()
		}
	}
}
