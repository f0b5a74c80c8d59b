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
	// commandTimeout bounds the opening of a connection and each command. It covers
	// several round trips and the time that an endpoint needs to accept a connection.
	commandTimeout = 500 * time.Millisecond
	// catchUpTimeout bounds the wait for a candidate to receive what others hold.
	// Replication takes milliseconds.
	catchUpTimeout = time.Second
	// takeoverTimeout bounds the wait for a promoted endpoint to report that it is the
	// primary. It is a few times as long as the platform needs for a promotion.
	takeoverTimeout = 4 * time.Second
	// statusPollInterval is the time between two status requests to an endpoint.
	statusPollInterval = 40 * time.Millisecond
	// promoteCallTimeout bounds one call to the platform.
	promoteCallTimeout = 1500 * time.Millisecond
	// maxPromoteCalls limits the calls to the platform with the same token.
	maxPromoteCalls = 3
)

// Orders to endpoints, for logs. orderPoll is a repeated status request.
const (
	orderStatus   = "status"
	orderPoll     = "poll"
	orderPause    = "pause"
	orderResume   = "resume"
	orderStepDown = "step down"
)

// Promoter asks the platform to promote an endpoint. Errors: *ConflictError and
// *OutcomeUnknownError; any other error means that nothing was changed.
type Promoter interface {
	Promote(ctx context.Context, service, endpointID string, token uint64) error
}

// Replica is an endpoint that may be promoted.
type Replica struct {
	stmt.Endpoint
	// Leaving means that the endpoint announced that it will shut down.
	Leaving bool
	// Ended means that the endpoint and its log are gone, and that it may have been the
	// only replica with some acknowledged commit.
	Ended bool
	// PrimaryAnnouncedLater means that the primary announced itself well after this
	// endpoint's last announcement; see ReplicaState.Dead.
	PrimaryAnnouncedLater bool
}

// Plan describes one promotion.
type Plan struct {
	Service string
	// Primary is the endpoint to replace.
	Primary stmt.Endpoint
	// PrimaryServes means that the primary is alive and serves until it is replaced.
	PrimaryServes bool
	// Preferred is the id of the replica to promote while the primary serves. If it is
	// empty or cannot be promoted, Successor chooses another one.
	Preferred string
	Replicas  []Replica
	// Token is the fencing token, which no other plan uses.
	Token uint64
	// LeadTerm is the term in which the caller leads the control group, for logs.
	LeadTerm uint64
}

// Runner carries out promotions. It is safe for concurrent use.
type Runner struct {
	Dialer   stmt.Dialer
	Promoter Promoter
	Log      logr.Logger

	// mu guards steppedDown: the ids of the primaries that this runner made step down
	// and for which it has not called the platform since. Their services have no primary.
	mu          sync.Mutex
	steppedDown map[string]bool
}

func (r *Runner) hasSteppedDown(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.steppedDown[id]
}

func (r *Runner) setSteppedDown(id string, isSteppedDown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.steppedDown == nil {
		r.steppedDown = make(map[string]bool)
	}
	if isSteppedDown {
		r.steppedDown[id] = true
	} else {
		delete(r.steppedDown, id)
	}
}

// attempt is the state of one promotion in progress. conns and replicas have an element
// for each of the plan's replicas, in the plan's order.
type attempt struct {
	*Runner
	plan Plan
	log  logr.Logger

	conns    []stmt.Conn
	replicas []ReplicaState
}

// Run carries out the plan and returns the id of the new primary. It resumes the
// replicas that it paused, also on an error, unless the outcome is unknown: the platform
// may then still carry out the promotion. Errors: *OtherPrimaryError, *NoCandidateError,
// *UnsafeError and *NotCaughtUpError before the platform is called; those of Promoter and
// *TakeoverTimeoutError after that.
func (r *Runner) Run(ctx context.Context, plan Plan) (string, error) {
	a := &attempt{
		Runner: r, plan: plan,
		log:      r.Log.WithValues("service", plan.Service, "token", plan.Token, "leadTerm", plan.LeadTerm),
		conns:    make([]stmt.Conn, len(plan.Replicas)),
		replicas: make([]ReplicaState, len(plan.Replicas)),
	}
	defer a.close()
	primary, err := a.execute(ctx)
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) {
		a.resumeReplicas()
	}
	return primary, err
}

func (a *attempt) execute(ctx context.Context) (string, error) {
	a.connectReplicas(ctx)
	if id, ok := CurrentPrimary(a.replicas); ok {
		// The plan predates a promotion. Only the new primary knows which commits were
		// acknowledged since.
		return "", &OtherPrimaryError{Endpoint: id}
	}
	candidate, err := a.candidate(ctx)
	if err != nil {
		return "", err
	}
	a.log.Info("promotion called", "endpoint", candidate.ID, "planned", a.plan.PrimaryServes,
		"position", candidate.Status.Received.String())
	a.setSteppedDown(a.plan.Primary.ID, false)
	if err := a.callPromoter(ctx, candidate.ID); err != nil {
		return "", err
	}
	return candidate.ID, a.awaitTakeover(ctx, candidate.ID)
}

// candidate chooses an endpoint whose log contains every acknowledged commit, now and
// until it is promoted. To ensure that, it pauses the replicas; if some replica cannot be
// paused, it makes the primary step down instead.
func (a *attempt) candidate(ctx context.Context) (ReplicaState, error) {
	if a.plan.PrimaryServes {
		candidate, ok := Successor(a.replicas, a.plan.Preferred)
		if !ok {
			return ReplicaState{}, &NoCandidateError{Service: a.plan.Service}
		}
		a.pauseReplicas(candidate.ID)
		if !AllPaused(a.replicas, candidate.ID) {
			return a.candidateAfterStepDown(ctx, candidate.ID)
		}
		return a.awaitCaughtUp(ctx, candidate.ID)
	}
	a.pauseReplicas("")
	if !AllPaused(a.replicas, "") {
		return a.candidateAfterStepDown(ctx, "")
	}
	latest, ok := MostUpToDate(a.replicas)
	if !ok {
		return ReplicaState{}, &NoCandidateError{Service: a.plan.Service}
	}
	return latest, nil
}

// connectReplicas connects to all replicas and requests their status.
func (a *attempt) connectReplicas(ctx context.Context) {
	a.forEachReplica(func(i int, r Replica) {
		s := &a.replicas[i]
		s.ID, s.Leaving = r.ID, r.Leaving
		if r.Ended {
			return
		}
		dialCtx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		conn, err := a.Dialer.Dial(dialCtx, r.Endpoint)
		if err != nil {
			s.Dead = provesDead(err) && r.PrimaryAnnouncedLater
			a.log.Info("replica cannot be reached", "endpoint", r.ID, "dead", s.Dead, "error", err.Error())
			return
		}
		a.conns[i] = conn
		a.runCommand(i, orderStatus, func(deadline time.Time) (stmt.Status, error) { return conn.Status(deadline) })
	})
}

// provesDead reports whether a dial error proves that the endpoint is not running at its
// address: nothing listens there, or another endpoint does.
func provesDead(err error) bool {
	var refused *stmt.RefusedError
	if errors.As(err, &refused) {
		return refused.Reply.Code == stmt.CodeMisrouted
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// runCommand runs a command at replica i and stores the status that it returns. It
// retries while the endpoint is busy, for at most commandTimeout, and reports whether
// the endpoint answered.
func (a *attempt) runCommand(i int, name string, command func(deadline time.Time) (stmt.Status, error)) bool {
	deadline := time.Now().Add(commandTimeout)
	for {
		status, err := command(deadline)
		if err == nil {
			a.logStatus(a.replicas[i].ID, name, status)
			a.replicas[i].Status = status
			a.replicas[i].Reached = true
			return true
		}
		var refused *stmt.RefusedError
		busy := errors.As(err, &refused) && refused.Reply.Code == stmt.CodeBusy
		if !busy || time.Now().After(deadline) {
			a.log.Info("endpoint did not answer", "endpoint", a.replicas[i].ID, "order", name, "error", err.Error())
			a.replicas[i].Reached = false
			return false
		}
		time.Sleep(statusPollInterval)
	}
}

// logStatus logs an endpoint's answer to an order. Answers to status requests that are
// repeated until something changes are only logged in debug mode.
func (a *attempt) logStatus(id, order string, status stmt.Status) {
	log := a.log
	if order == orderPoll {
		log = log.V(1)
	}
	log.Info("endpoint answered", "endpoint", id, "order", order, "primary", status.Role == stmt.Primary, "term", status.Term,
		"position", status.Received.String(), "pausedTerm", status.PausedTerm)
}

// forEachReplica runs f concurrently for every replica and waits for all calls to
// return.
func (a *attempt) forEachReplica(f func(i int, r Replica)) {
	var wait sync.WaitGroup
	for i, r := range a.plan.Replicas {
		wait.Go(func() { f(i, r) })
	}
	wait.Wait()
}

// pauseReplicas pauses replication at all reached replicas other than except.
func (a *attempt) pauseReplicas(except string) {
	term := NextTerm(a.replicas)
	a.forEachReplica(func(i int, r Replica) {
		if r.ID == except || !a.replicas[i].Reached {
			return
		}
		a.replicas[i].Paused = a.runCommand(i, orderPause, func(deadline time.Time) (stmt.Status, error) {
			return a.conns[i].Pause(deadline, term)
		})
	})
}

// awaitCaughtUp waits until the candidate has received everything that the paused
// replicas hold. Errors: *NotCaughtUpError.
func (a *attempt) awaitCaughtUp(ctx context.Context, id string) (ReplicaState, error) {
	i := slices.IndexFunc(a.replicas, func(s ReplicaState) bool { return s.ID == id })
	deadline := time.Now().Add(catchUpTimeout)
	for {
		if IsCaughtUp(a.replicas[i], a.replicas) {
			return a.replicas[i], nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return ReplicaState{}, &NotCaughtUpError{Endpoint: id}
		}
		time.Sleep(statusPollInterval)
		a.runCommand(i, orderPoll, a.conns[i].Status)
	}
}

// candidateAfterStepDown makes the primary step down because some replica cannot be
// paused. After that, only what the primary's log holds can be acknowledged, so a replica
// that has received all of it is a safe candidate. If none has in time, the primary itself
// is: it sends nothing while it does not lead, so waiting longer does not help. Errors:
// *UnsafeError if the primary does not step down, and the context's.
func (a *attempt) candidateAfterStepDown(ctx context.Context, preferred string) (ReplicaState, error) {
	final, err := a.stepDown(ctx)
	if err != nil {
		a.log.Info("primary did not step down", "endpoint", a.plan.Primary.ID, "error", err.Error())
		return ReplicaState{}, a.unsafeError()
	}
	a.resumeReplicas()
	deadline := time.Now().Add(catchUpTimeout)
	for {
		for i, s := range a.replicas {
			isWanted := preferred == "" || s.ID == preferred
			if s.Reached && isWanted && !s.position().Less(final.Received) {
				return a.replicas[i], nil
			}
		}
		if ctx.Err() != nil {
			return ReplicaState{}, ctx.Err()
		}
		if time.Now().After(deadline) {
			a.log.Info("no replica caught up after the primary stepped down", "position", final.Received.String())
			return ReplicaState{ID: a.plan.Primary.ID, Reached: true, Status: final}, nil
		}
		time.Sleep(statusPollInterval)
		a.forEachReplica(func(i int, _ Replica) {
			if a.replicas[i].Reached {
				a.runCommand(i, orderPoll, a.conns[i].Status)
			}
		})
	}
}

// stepDown makes the plan's primary step down and returns its final status. It also
// accepts an endpoint that this runner made step down in an earlier attempt. Errors:
// *NotPrimaryError, those of stmt.
func (a *attempt) stepDown(ctx context.Context) (stmt.Status, error) {
	conn, status, err := a.connectPrimary(ctx)
	if err != nil {
		return stmt.Status{}, err
	}
	defer conn.Close()
	if status.Role != stmt.Primary && !a.hasSteppedDown(a.plan.Primary.ID) {
		return stmt.Status{}, &NotPrimaryError{Endpoint: a.plan.Primary.ID}
	}
	term := max(NextTerm(a.replicas), status.Term+1)
	final, err := conn.StepDown(time.Now().Add(commandTimeout), term)
	if err == nil {
		a.logStatus(a.plan.Primary.ID, orderStepDown, final)
		a.setSteppedDown(a.plan.Primary.ID, true)
	}
	return final, err
}

func (a *attempt) unsafeError() error {
	e := &UnsafeError{Service: a.plan.Service}
	for _, s := range a.replicas {
		if !s.Paused && !s.Dead {
			e.NotPaused = append(e.NotPaused, s.ID)
		}
	}
	return e
}

// callPromoter asks the platform to promote an endpoint. If a call is not answered, it
// calls again with the same endpoint and token, which is idempotent.
func (a *attempt) callPromoter(ctx context.Context, id string) error {
	var err error
	for range maxPromoteCalls {
		callCtx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
		started := time.Now()
		err = a.Promoter.Promote(callCtx, a.plan.Service, id, a.plan.Token)
		cancel()
		a.log.Info("platform called", "endpoint", id, "took", time.Since(started).String(), "outcome", describeOutcome(err))
		var unknown *OutcomeUnknownError
		if !errors.As(err, &unknown) {
			return err
		}
	}
	return err
}

// describeOutcome returns the outcome of a call to the platform for logs.
func describeOutcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

// awaitTakeover waits until the endpoint reports that it is the primary. Errors:
// *TakeoverTimeoutError.
func (a *attempt) awaitTakeover(ctx context.Context, id string) error {
	deadline := time.Now().Add(takeoverTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if a.isPrimary(ctx, id) {
			return nil
		}
		time.Sleep(statusPollInterval)
	}
	return &TakeoverTimeoutError{Endpoint: id}
}

// isPrimary reports whether one of the plan's endpoints says that it is the primary.
func (a *attempt) isPrimary(ctx context.Context, id string) bool {
	if id == a.plan.Primary.ID {
		conn, status, err := a.connectPrimary(ctx)
		if err != nil {
			return false
		}
		conn.Close()
		return status.Role == stmt.Primary
	}
	i := slices.IndexFunc(a.replicas, func(s ReplicaState) bool { return s.ID == id })
	return a.runCommand(i, orderPoll, a.conns[i].Status) && a.replicas[i].Status.Role == stmt.Primary
}

// connectPrimary connects to the plan's primary and requests its status. The caller closes
// the connection. Errors: those of stmt.
func (a *attempt) connectPrimary(ctx context.Context) (stmt.Conn, stmt.Status, error) {
	dialCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	conn, err := a.Dialer.Dial(dialCtx, a.plan.Primary)
	if err != nil {
		return nil, stmt.Status{}, err
	}
	status, err := conn.Status(time.Now().Add(commandTimeout))
	if err != nil {
		conn.Close()
		return nil, stmt.Status{}, err
	}
	return conn, status, nil
}

// resumeReplicas resumes replication at the paused replicas.
func (a *attempt) resumeReplicas() {
	a.forEachReplica(func(i int, _ Replica) {
		if a.replicas[i].Paused {
			a.runCommand(i, orderResume, a.conns[i].Resume)
			a.replicas[i].Paused = false
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
