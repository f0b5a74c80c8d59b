package hop

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	carrypb "hemlockmast/api/carry"
	"hemlockmast/internal/proxy/pool"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/stmt"
)

// noRunTime is how long a carrier that ended a stream on Run is not sent another. Carriers are
// replaced one VM at a time, so that an address may soon belong to a newer build.
const noRunTime = 5 * time.Minute

// End says what becomes of the connection after the statement of a Run.
type End = carrypb.Run_End

// Ends of a Run.
const (
	// KeepLoan lends the connection on.
	KeepLoan = carrypb.Run_END_KEEP
	// ReturnConn ends the loan before the answer.
	ReturnConn = carrypb.Run_END_RETURN
	// RollBackGuard rolls the transaction back after the answer and ends the loan.
	RollBackGuard = carrypb.Run_END_ROLLBACK
)

// RunRequest is a request to run a statement on a borrowed connection. It must be one that may
// run twice, or the start of a transaction: nothing of it may be committed.
type RunRequest struct {
	BorrowRequest
	// Begin, if not empty, starts a transaction before the statement.
	Begin, BeginID string
	// Text is the statement. With Needs.Shape it is that shape's execution with Args, and Text
	// is not used.
	Text, ID, Args string
	// After is the log position that the endpoint must have.
	After logpos.Pos
	End   End
}

// RunResult is the outcome of the steps of a Run.
type RunResult struct {
	// Begun is the reply to the begin and BeginErr its failure. The statement was not run if
	// either is an error.
	Begun    stmt.Reply
	BeginErr error
	// Reply is the reply to the statement, and Err the failure of its connection.
	Reply stmt.Reply
	Err   error
	// Conn is the connection if the loan goes on, else nil.
	Conn *pool.Conn
	// MayHaveRun is set, also with an error, if the statement may have run in an earlier attempt
	// that the stream or its carrier did not survive.
	MayHaveRun bool
	// Took is the time of the statement with the way to the carrier and back, Waited the rest.
	Took, Waited time.Duration
}

// RunUnknownError reports a carrier that closed a new stream on a Run, as an older build does. A
// carrier that was lost at that moment looks the same, so that the statement may have run.
type RunUnknownError struct{ Carrier string }

func (e *RunUnknownError) Error() string {
	return fmt.Sprintf("carrier %s does not know Run", e.Carrier)
}

// Run borrows a connection from a carrier and runs a statement on it. Errors: those of Borrow,
// after which no statement has run unless the result says so; *RunUnknownError; and a *stmt.BrokenError with a *LostError
// if the stream failed. After the last two, the statement may have run, and a transaction that
// was begun is rolled back.
func (c *Client) Run(carrier string, r RunRequest) (RunResult, error) {
	if !c.knowsRun(carrier) {
		return RunResult{}, &RunUnknownError{Carrier: carrier}
	}
	s, isNew, err := c.getStream(carrier)
	if err != nil {
		c.markDown(carrier, err)
		return RunResult{}, &UnreachableError{Carrier: carrier, Cause: err}
	}
	result, isClosed, err := c.runOn(s, carrier, r)
	if isClosed && !isNew {
		// The carrier may have closed the stream while it was idle. Only a new one tells.
		if s, err = c.dialStream(carrier); err != nil {
			return RunResult{}, c.lostRun(carrier, err)
		}
		result, isClosed, err = c.runOn(s, carrier, r)
		result.MayHaveRun = true
	}
	if isClosed {
		return RunResult{}, c.closedOnRun(carrier, err)
	}
	return result, err
}

// runOn sends the request on a stream. isClosed is set if the carrier closed the stream without
// any sign of work.
func (c *Client) runOn(s *stream, carrier string, r RunRequest) (result RunResult, isClosed bool, err error) {
	sentAt := time.Now()
	answer, isAlive, err := s.exchangeRun(r)
	if err == nil {
		result, err = c.runResult(carrier, s, r, answer, time.Since(sentAt))
		return result, false, err
	}
	s.Close()
	if isAlive || errors.Is(err, os.ErrDeadlineExceeded) {
		return RunResult{}, false, c.lostRun(carrier, err)
	}
	return RunResult{}, true, err
}

// exchangeRun sends the request and waits for its answer while keepalives arrive.
func (s *stream) exchangeRun(r RunRequest) (answer *carrypb.Response, isAlive bool, err error) {
	request := &carrypb.Request{Kind: &carrypb.Request_Run{Run: encodeRun(r)}}
	if err := s.write(request, time.Now().Add(keepaliveTimeout)); err != nil {
		return nil, false, err
	}
	return awaitWithKeepalives(s, r.Deadline.Add(answerGrace), keepaliveTimeout)
}

func encodeRun(r RunRequest) *carrypb.Run {
	m := &carrypb.Run{
		Borrow: encodeBorrow(r.BorrowRequest), Begin: []byte(r.Begin), BeginId: []byte(r.BeginID), End: r.End,
		Statement: &carrypb.Do{
			Id: []byte(r.ID), AfterTerm: r.After.Term, AfterIndex: r.After.Index, LeftMs: ceilMillis(time.Until(r.Deadline)),
		},
	}
	if r.Needs.Shape != nil {
		m.Executes, m.ExecuteArgs = true, []byte(r.Args)
		return m
	}
	m.Statement.Text = []byte(r.Text)
	return m
}

// lostRun returns the error for a stream that failed after the request was sent. The carrier
// counts as down, unless it closed the stream itself or is only late.
func (c *Client) lostRun(carrier string, err error) error {
	if !errors.Is(err, io.EOF) && !isLate(err) {
		c.markDown(carrier, err)
	}
	return &stmt.BrokenError{Sent: true, Cause: &LostError{Carrier: carrier, Detail: err.Error()}}
}

// knowsRun reports whether a carrier may be sent a Run.
func (c *Client) knowsRun(carrier string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[carrier]
	return p == nil || !time.Now().Before(p.noRunUntil)
}

// closedOnRun records that a carrier closed a new stream on a Run. If the carrier is lost, the
// next attempt to borrow from it marks it as down, which clears the record.
func (c *Client) closedOnRun(carrier string, err error) error {
	c.log.Info("carrier does not know Run", "carrier", carrier, "error", err.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peer(carrier).noRunUntil = time.Now().Add(noRunTime)
	return &RunUnknownError{Carrier: carrier}
}

// runResult decodes the answer to a Run.
func (c *Client) runResult(carrier string, s *stream, r RunRequest, answer *carrypb.Response, elapsed time.Duration) (RunResult, error) {
	if refused := answer.GetRefused(); refused != nil {
		r.tell(refused.Load)
		c.putStream(carrier, s)
		return RunResult{}, refusalError(carrier, r.Endpoint, refused)
	}
	result, err := decodeRunReply(carrier, r, answer)
	if err != nil {
		s.Close()
		return RunResult{}, c.lostRun(carrier, err)
	}
	m := answer.GetRunReply()
	r.tell(m.Granted.Load)
	served := time.Duration(m.ServedUs) * time.Microsecond
	onWay := max(0, elapsed-served)
	result.Took = min(time.Duration(m.StatementUs)*time.Microsecond+onWay, elapsed)
	result.Waited = elapsed - result.Took
	if m.Kept {
		result.Conn = c.newBorrowedConn(carrier, s, r.BorrowRequest, m.GetGranted())
		return result, nil
	}
	c.putStream(carrier, s)
	return result, nil
}

// decodeRunReply decodes the outcome of each step. Errors: *ProtocolError.
func decodeRunReply(carrier string, r RunRequest, answer *carrypb.Response) (result RunResult, err error) {
	m := answer.GetRunReply()
	if m == nil || m.Granted == nil {
		return result, &ProtocolError{Got: fmt.Sprintf("%T", answer.Kind)}
	}
	if m.Begun != nil {
		if result.Begun, err = decodeReply(m.Begun); err != nil {
			return result, err
		}
	}
	isBegun := r.Begin == "" || (m.Begun != nil && result.Begun.Err == nil)
	switch {
	case m.Broken != nil:
		broken := brokenAtCarrier(carrier, m.Broken)
		if isBegun {
			result.Err = broken
		} else {
			result.BeginErr = broken
		}
	case m.Reply != nil && isBegun:
		result.Reply, err = decodeReply(m.Reply)
	case m.Reply != nil || isBegun || m.Begun == nil:
		err = &ProtocolError{Got: "incomplete answer to Run"}
	}
	if err == nil && m.Kept != mustKeep(r, m, result) {
		err = &ProtocolError{Got: "answer to Run with a wrong end of the loan"}
	}
	return result, err
}

// mustKeep reports whether the loan goes on after these outcomes. Without a connection, a
// transaction that is still open would silently start anew.
func mustKeep(r RunRequest, m *carrypb.RunReply, result RunResult) bool {
	isRun := m.Broken == nil && m.Reply != nil
	return isRun && r.End == KeepLoan && (result.Reply.Err == nil || result.Reply.State != stmt.Idle)
}
