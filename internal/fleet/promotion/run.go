package promotion

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/metrics"
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
)

// Replica is an endpoint that may be promoted.
type Replica struct {
	stmt.Endpoint
	// BornMs is the start of the endpoint's process in Unix milliseconds.
	BornMs int64
	// Leaving means that the endpoint announced that it will shut down.
	Leaving bool
	// Ended means that the endpoint and its log are gone, and that it may have been the
	// only replica with some acknowledged commit.
	Ended bool
	// Covered means that another replica holds every acknowledged commit of the endpoint's
	// log, unless the endpoint was started again since.
	Covered bool
	// Restarted means that the endpoint was started again, perhaps without its log, and that
	// it is not covered since.
	Restarted bool
}

// Plan describes one promotion.
type Plan struct {
	Service string
	// Primary is the endpoint to replace.
	Primary stmt.Endpoint
	// PrimaryServes means that the primary is alive and serves until it is replaced.
	PrimaryServes bool
	// MayStepDown means that a primary that serves may be made to step down if entries do not
	// confirm what they pass on. Otherwise the attempt is given up.
	MayStepDown bool
	// PrimaryGone means that the primary has ended, as far as is known, and that its log is gone.
	PrimaryGone bool
	// PrimaryRestarted means that the primary was started again, perhaps without its log.
	PrimaryRestarted bool
	// PrimaryCalled means that a call for the primary may still be carried out.
	PrimaryCalled bool
	// Preferred is the id of the replica to promote while the primary serves. If it is
	// empty or cannot be promoted, Successor chooses another one.
	Preferred string
	Replicas  []Replica
	// Ended are endpoints that count as ended and may run after all, with the primary. They are
	// asked before a commit is given up that no replica holds. Only used if PrimaryGone is set.
	Ended []stmt.Endpoint
	// Token is the fencing token, which no other plan uses.
	Token uint64
	// Term is the last known term of a primary; 0 if unknown.
	Term uint64
	// OpenCalls are the calls of earlier attempts that may still be carried out, by token.
	OpenCalls []Call
	// Unfinished means that an earlier attempt may have left replicas paused.
	Unfinished bool
	// StepDownOrdered means that an earlier attempt may have ordered the primary to step
	// down.
	StepDownOrdered bool
	// SteppedDownAt is the end of the primary's log when it had stepped down; zero if unknown.
	SteppedDownAt logpos.Pos
	// Floor is a position that the log of the new primary must reach.
	Floor logpos.Pos
	// LeadTerm is the term in which the caller leads the control group, for logs.
	LeadTerm uint64
}

// Result describes how an attempt ended.
type Result struct {
	// Primary is the id of the new primary; empty after an error.
	Primary string
	// Term is the new primary's term, Promoted a position that its log had reached when it
	// was promoted; empty for the plan's primary, whose log may hold commits that were never
	// acknowledged and that no replica receives. Inherited the end of its log when it first reported that it leads, and
	// Highest the highest position that an endpoint reported before.
	Term                         uint64
	Promoted, Inherited, Highest logpos.Pos
	// PausesLeft means that an endpoint may be paused, or may be ordered to step down by a
	// late order.
	PausesLeft bool
	// CallRefused means that the attempt's recorded call was not made, or that the platform
	// refused it each time.
	CallRefused bool
}

// Recorder records what an attempt is about to do in the replicated state, so that later
// attempts of any daemon know it. A record is refused once a newer attempt has begun.
// Errors: *SupersededError, and those of the control group, after which the record may or
// may not be made.
type Recorder interface {
	// RecordStepDown records that the primary will be ordered to step down.
	RecordStepDown(ctx context.Context, service string, token uint64) error
	// RecordSteppedDown records the end of the primary's log when it had stepped down.
	RecordSteppedDown(ctx context.Context, service string, token uint64, final logpos.Pos) error
	// RecordCall records a call to the platform. It returns *UnknownEndpointError if the
	// service has an endpoint that is not accounted for, if one was started again, or if one
	// that was left out is not covered any more. closes means that entries must not pass on
	// successes of commits at the present primary any more; the call may be recorded again
	// for that.
	RecordCall(ctx context.Context, service string, call Call, accounted []Accounted, closes bool) error
	// RecordSuccessor records the endpoint that is to replace the present primary as planned:
	// entries must not pass on the success of a commit before the log of that endpoint holds it.
	RecordSuccessor(ctx context.Context, service string, token uint64, endpointID string) error
	// AwaitClosed waits for a bounded time until the entries have confirmed that they observe
	// what RecordSuccessor or RecordCall has recorded.
	AwaitClosed(ctx context.Context, service string, token uint64) Closing
}

// Closing is what entries have confirmed about the acknowledgements of a primary.
type Closing struct {
	// Acknowledged is the highest position of a commit whose success was passed on to a
	// caller before the confirmation; zero if none is known.
	Acknowledged logpos.Pos
	// Entries is the number of entries that control knows, Silent how many of them have not
	// confirmed.
	Entries, Silent int
	// Unheard is the number of control daemons that this one does not hear: it does not know
	// which entries follow them.
	Unheard int
}

// isComplete reports whether all entries have confirmed.
func (c Closing) isComplete() bool { return c.Silent == 0 && c.Unheard == 0 }

// Accounted is a replica that an attempt has paused or left out.
type Accounted struct {
	ID string
	// BornMs is the start of the endpoint's process that the plan knows, in Unix
	// milliseconds.
	BornMs int64
	// Dead means that the replica was left out because it does not run and is covered.
	Dead bool
}

// Runner carries out promotions. It is safe for concurrent use.
type Runner struct {
	Dialer   stmt.Dialer
	Promoter Promoter
	Recorder Recorder
	Metrics  *metrics.ControlSet
	Log      logr.Logger
}

// attempt is the state of one promotion in progress. conns and replicas have an element
// for each of the plan's replicas, in the plan's order.
type attempt struct {
	*Runner
	plan Plan
	log  logr.Logger

	conns    []stmt.Conn
	replicas []ReplicaState
	// unpaused is the replica that need not be paused because only the primary receives from
	// it; see fencingCandidate.
	unpaused string
	// primaryConn is the connection to the plan's primary on which it answered or stepped
	// down, or nil; primaryStatus is its status then.
	primaryConn   stmt.Conn
	primaryStatus stmt.Status
	// pauseTerm is the lowest term of the pauses that the attempt counts on; 0 if it counts
	// on none.
	pauseTerm uint64
	// closes means that the acknowledgements of the primary are closed before the call.
	closes bool
	// isStepDownOrdered means that this attempt or an earlier one may have ordered the
	// primary to step down.
	isStepDownOrdered bool
	result            Result
}

// Run carries out the plan. The context ends when the caller must no longer promote; no call
// is made after that. Replicas stay paused until an endpoint is promoted, whichever attempt
// does it. Errors: *OtherPrimaryError, *NoCandidateError, *UnsafeError, *BelowFloorError,
// *MissingCommitError, *LogFoundError, *NotConfirmedError, *DelayedError and those of Recorder
// before the platform is called; those of Promoter and *TakeoverTimeoutError after that; the
// context's if it ended.
func (r *Runner) Run(ctx context.Context, plan Plan) (Result, error) {
	a := &attempt{
		Runner: r, plan: plan,
		log:               r.Log.WithValues("service", plan.Service, "token", plan.Token, "leadTerm", plan.LeadTerm),
		conns:             make([]stmt.Conn, len(plan.Replicas)),
		replicas:          make([]ReplicaState, len(plan.Replicas)),
		isStepDownOrdered: plan.StepDownOrdered,
	}
	defer a.close()
	a.log.Info("promotion started", "primary", plan.Primary.ID, "planned", plan.PrimaryServes, "openCalls", plan.OpenCalls,
		"stepDownOrdered", plan.StepDownOrdered, "floor", plan.Floor.String())
	err := a.execute(ctx)
	if err != nil && ctx.Err() != nil {
		a.log.Info("promotion interrupted", "error", err.Error())
		a.Metrics.AttemptInterrupted()
		err = ctx.Err()
	}
	return a.result, err
}

func (a *attempt) execute(ctx context.Context) error {
	a.connectReplicas(ctx)
	if other, ok := CurrentPrimary(a.replicas); ok {
		// The plan predates a promotion. Only the new primary knows which commits were
		// acknowledged since.
		return &OtherPrimaryError{Endpoint: other.ID, Term: other.Status.Term, Position: other.Status.Received}
	}
	candidate, err := a.candidate(ctx)
	if err != nil {
		return err
	}
	if candidate.position().Less(a.plan.Floor) {
		return &BelowFloorError{Endpoint: candidate.ID, Position: candidate.position(), Floor: a.plan.Floor}
	}
	call := Call{Token: a.plan.Token, EndpointID: candidate.ID}
	err = a.Recorder.RecordCall(ctx, a.plan.Service, call, a.accounted(), a.closes)
	if err == nil && a.closes {
		err = a.awaitClosed(ctx, candidate)
	}
	if err != nil {
		a.result.CallRefused = true
		return err
	}
	a.result.Highest = a.highestPosition(candidate)
	if candidate.ID != a.plan.Primary.ID {
		a.result.Promoted = candidate.position()
	}
	a.log.Info("promotion called", "endpoint", candidate.ID, "position", candidate.Status.Received.String(),
		"highest", a.result.Highest.String(), "pauseTerm", a.pauseTerm)
	if err := a.callPromoter(ctx, candidate); err != nil {
		return err
	}
	return a.awaitTakeover(ctx, candidate.ID)
}

// accounted returns the replicas that the attempt accounts for.
func (a *attempt) accounted() []Accounted {
	var list []Accounted
	for i, r := range a.plan.Replicas {
		list = append(list, Accounted{ID: r.ID, BornMs: r.BornMs, Dead: a.replicas[i].Dead})
	}
	return list
}

func (a *attempt) highestPosition(candidate ReplicaState) logpos.Pos {
	highest := candidate.position()
	for _, s := range a.replicas {
		highest = logpos.Max(highest, s.position())
	}
	return highest
}

func (a *attempt) unsafeError() error {
	e := &UnsafeError{Service: a.plan.Service}
	for _, s := range a.replicas {
		if !s.Dead && (!s.Reached || s.LostLog || !s.isPausedFor(a.pauseTerm)) {
			e.NotPaused = append(e.NotPaused, s.ID)
		}
	}
	return e
}

func (a *attempt) close() {
	for _, conn := range append(a.conns, a.primaryConn) {
		if conn != nil {
			conn.Close()
		}
	}
}
