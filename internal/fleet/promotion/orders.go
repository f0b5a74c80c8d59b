package promotion

import (
	"context"
	"errors"
	"sync"
	"time"

	"hemlockmast/internal/shared/stmt"
)

// Orders to endpoints, for logs. orderPoll is a repeated status request.
const (
	orderStatus   = "status"
	orderPoll     = "poll"
	orderPause    = "pause"
	orderStepDown = "step down"
)

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
			s.Dead = r.Covered && ProvesDead(err)
			a.log.Info("replica cannot be reached", "endpoint", r.ID, "covered", r.Covered, "dead", s.Dead, "error", err.Error())
			return
		}
		a.conns[i] = conn
		a.runCommand(i, orderStatus, conn.Status)
		s.LostLog = r.Restarted && s.Reached && (a.plan.Floor.IsZero() || s.position().Less(a.plan.Floor))
	})
}

// ProvesDead reports whether a dial error proves that the endpoint is not running at its
// address: another endpoint answers there. A connection that is refused or reset proves
// nothing, since a partitioned network may answer for an endpoint that runs.
func ProvesDead(err error) bool {
	var refused *stmt.RefusedError
	return errors.As(err, &refused) && refused.Reply.Code == stmt.CodeMisrouted
}

// runCommand runs a command at replica i and stores the status that it returns. It
// retries while the endpoint is busy, for at most commandTimeout, and reports whether
// the endpoint answered.
func (a *attempt) runCommand(i int, order string, command func(deadline time.Time) (stmt.Status, error)) bool {
	deadline := time.Now().Add(commandTimeout)
	for {
		status, err := command(deadline)
		if err == nil || !isBusy(err) || time.Now().After(deadline) {
			a.logAnswer(a.replicas[i].ID, order, status, err)
			a.replicas[i].Reached = err == nil
			if err == nil {
				a.replicas[i].Status = status
			}
			return err == nil
		}
		time.Sleep(statusPollInterval)
	}
}

// isBusy reports whether an error is the answer of an endpoint that is too busy for a command.
func isBusy(err error) bool {
	var refused *stmt.RefusedError
	return errors.As(err, &refused) && refused.Reply.Code == stmt.CodeBusy
}

// logAnswer counts an order and logs the endpoint's answer to it. Answers to status requests that are
// repeated until something changes are only logged in debug mode.
func (a *attempt) logAnswer(id, order string, status stmt.Status, err error) {
	a.Metrics.OrderSent(order, err == nil)
	if err != nil {
		a.log.Info("endpoint did not answer", "endpoint", id, "order", order, "error", err.Error())
		return
	}
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

// pauseReplicas pauses all replicas other than except for the promotion of the endpoint with
// the id candidate, and reports whether all of them are paused. A replica whose pause already
// has the required term or a higher one is left as it is, since a pause replaces a higher one.
func (a *attempt) pauseReplicas(candidate, except string) bool {
	term := a.pauseTermFor(candidate)
	a.pauseTerm = term
	a.result.PausesLeft = true
	a.forEachReplica(func(i int, r Replica) {
		if r.ID == except || !a.replicas[i].Reached || a.replicas[i].isPausedFor(term) {
			return
		}
		a.runCommand(i, orderPause, func(deadline time.Time) (stmt.Status, error) {
			return a.conns[i].Pause(deadline, term)
		})
	})
	return AllPaused(a.replicas, term, except)
}

// confirmReplicas checks that the replicas are still as the choice of the candidate found
// them. Errors: *UnsafeError.
func (a *attempt) confirmReplicas(ctx context.Context, candidate ReplicaState) error {
	changed := make([]bool, len(a.replicas))
	a.forEachReplica(func(i int, r Replica) {
		isNeeded := r.ID == candidate.ID || a.pauseTerm > 0 && r.ID != a.unpaused
		changed[i] = isNeeded && !a.isUnchanged(ctx, i, candidate)
	})
	e := &UnsafeError{Service: a.plan.Service}
	if a.primaryConn != nil && !a.isSame(a.primaryConn, a.plan.Primary.ID, a.primaryStatus) {
		e.NotPaused = append(e.NotPaused, a.plan.Primary.ID)
	}
	for i, s := range a.replicas {
		if changed[i] {
			e.NotPaused = append(e.NotPaused, s.ID)
		}
	}
	if len(e.NotPaused) > 0 {
		return e
	}
	return nil
}

// isUnchanged reports whether replica i still holds its pause, does not run if it was dead,
// or holds its log if it is the candidate. An endpoint that is too busy for an answer has not
// started again, because the connection is still open.
func (a *attempt) isUnchanged(ctx context.Context, i int, candidate ReplicaState) bool {
	if a.replicas[i].Dead {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		conn, err := a.Dialer.Dial(ctx, a.plan.Replicas[i].Endpoint)
		if err == nil {
			conn.Close()
		}
		return err != nil && ProvesDead(err)
	}
	if a.replicas[i].ID == candidate.ID {
		return a.isSame(a.conns[i], candidate.ID, candidate.Status)
	}
	status, err := a.conns[i].Status(time.Now().Add(commandTimeout))
	if err == nil && status.PausedTerm >= a.pauseTerm || isBusy(err) {
		return true
	}
	a.logAnswer(a.replicas[i].ID, orderStatus, status, err)
	return false
}

// isSame reports whether an endpoint still has the role of an earlier status and holds its log.
// A connection that was opened before ends if the endpoint starts again.
func (a *attempt) isSame(conn stmt.Conn, id string, earlier stmt.Status) bool {
	status, err := conn.Status(time.Now().Add(commandTimeout))
	if err == nil && status.Role == earlier.Role && !status.Received.Less(earlier.Received) || isBusy(err) {
		return true
	}
	a.logAnswer(id, orderStatus, status, err)
	return false
}

// IsOverloaded reports whether an error is the answer of an endpoint that has no capacity left for
// a connection or a command.
func IsOverloaded(err error) bool {
	var refused *stmt.RefusedError
	return isBusy(err) || errors.As(err, &refused) && refused.Reply.Code == stmt.CodeTooMany
}

// statusAt requests an endpoint's status over a new connection. Errors: those of stmt.
func (a *attempt) statusAt(ctx context.Context, e stmt.Endpoint) (stmt.Status, error) {
	conn, status, err := a.connect(ctx, e)
	if err == nil {
		conn.Close()
	}
	return status, err
}

// connectPrimary connects to the plan's primary and requests its status. The caller closes
// the connection. Errors: those of stmt.
func (a *attempt) connectPrimary(ctx context.Context) (stmt.Conn, stmt.Status, error) {
	return a.connect(ctx, a.plan.Primary)
}

// connect connects to an endpoint and requests its status. The caller closes the connection.
// Errors: those of stmt.
func (a *attempt) connect(ctx context.Context, e stmt.Endpoint) (stmt.Conn, stmt.Status, error) {
	dialCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	conn, err := a.Dialer.Dial(dialCtx, e)
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
