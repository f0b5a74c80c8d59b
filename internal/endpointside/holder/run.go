package holder

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"hemlockmast/internal/endpointside/endpoint"
	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/shared/outcome"
	"hemlockmast/internal/wire/exchange"
	"hemlockmast/internal/wire/pgwire"
)

const (
	// flushBytes is the size at which buffered replies are written to the sink.
	flushBytes = 16 << 10
	// directWriteBytes is the size of the largest segment that is written before
	// replies are read. A larger one is written in another goroutine while
	// replies are read: otherwise full socket buffers in both directions could
	// deadlock holder and endpoint.
	directWriteBytes = 32 << 10
	// maxWithheldBytes bounds the replies withheld until a commit is confirmed.
	maxWithheldBytes = 4 << 20
)

// segmentRun executes one segment on one connection.
type segmentRun struct {
	c    *conn
	plan *plan
	sink io.Writer

	// maybeSent states that the endpoint may have received part of the segment.
	maybeSent bool
	// out buffers replies that may be written to the sink.
	out []byte
	// withheld buffers replies until the commit is confirmed. withholdRest states
	// that a reply that may report a commit was received: it and all later replies
	// are withheld.
	withheld     []byte
	withholdRest bool
	// withholdAll states that the replies to the whole segment are withheld.
	withholdAll bool
	result      exchange.Result
	// sessionState states that a command changed session state.
	sessionState bool
	// commandTag is the last command tag received.
	commandTag string
	sinkErr    error

	// waiting states that the run waits for the endpoint and not for the caller.
	// progress counts the messages received. A silenceMonitor reads both.
	waiting  atomic.Bool
	progress atomic.Uint64
}

func newSegmentRun(c *conn, p *plan, sink io.Writer) *segmentRun {
	return &segmentRun{c: c, plan: p, sink: sink}
}

// execute sends the segment and reads until every expected reply is complete.
func (r *segmentRun) execute() (exchange.Result, error) {
	if err := r.write(); err != nil {
		return r.result, err
	}
	for len(r.plan.expect) > 0 {
		if err := r.handleNext(); err != nil {
			return r.result, err
		}
	}
	return r.result, r.flush()
}

// write sends the plan's bytes. Once it is called, the segment may have run.
func (r *segmentRun) write() error {
	if len(r.plan.out) == 0 {
		return nil
	}
	r.maybeSent = true
	if len(r.plan.out) <= directWriteBytes {
		_, err := r.c.raw.Write(r.plan.out)
		return err
	}
	go func() {
		if _, err := r.c.raw.Write(r.plan.out); err != nil {
			_ = r.c.raw.Close()
		}
	}()
	return nil
}

// handleNext handles the next message or synthetic reply.
func (r *segmentRun) handleNext() error {
	if e := &r.plan.expect[0]; e.action == replySynthetic {
		r.forward(e.data)
		r.plan.expect = r.plan.expect[1:]
		return nil
	}
	if r.c.reader.Buffered() == 0 || len(r.out) >= flushBytes {
		if err := r.flush(); err != nil {
			return err
		}
	}
	if r.c.reader.Buffered() == 0 {
		r.waiting.Store(true)
	}
	f, err := r.c.reader.Next()
	r.waiting.Store(false)
	r.progress.Add(1)
	if err != nil {
		return err
	}
	return r.handleMessage(f)
}

// handleMessage handles one message from the endpoint.
func (r *segmentRun) handleMessage(f pgwire.Frame) error {
	switch f.Type() {
	case pgwire.MsgParameterStatus:
		return r.handleParameterStatus(f)
	case pgwire.MsgNoticeResponse, pgwire.MsgNotification:
		r.forward(f)
		return nil
	case pgwire.MsgErrorResponse:
		r.handleErrorResponse(f)
		return nil
	case pgwire.MsgCopyInResponse:
		return r.refuseCopyIn()
	}
	e := &r.plan.expect[0]
	if e.message == 0 {
		return &SequenceError{Reply: f.Type()}
	}
	if f.Type() == pgwire.MsgCommandComplete {
		r.handleCommandComplete(pgwire.CommandTag(f.Body()))
	}
	if e.action == replyForward {
		r.forward(f)
	}
	if e.isLastReply(f.Type()) {
		r.finishExpected(e, f)
	}
	return r.checkWithheld()
}

// finishExpected removes the first expected reply after its last message.
func (r *segmentRun) finishExpected(e *expectedReply, f pgwire.Frame) {
	if e.prepares != "" {
		r.c.markPrepared(e.prepares)
	}
	if e.endsBatch() && e.action == replyForward {
		r.result.TxStatus = f.Body()[0]
	}
	r.plan.expect = r.plan.expect[1:]
}

// handleErrorResponse forwards an error and stops expecting the replies that the
// endpoint now skips: everything before the ReadyForQuery of the same batch.
func (r *segmentRun) handleErrorResponse(f pgwire.Frame) {
	code := pgwire.ErrorCode(f.Body())
	if r.result.ErrorCode == "" {
		r.result.ErrorCode = code
	}
	if code == endpoint.CodeReadOnly {
		r.result.ReadOnlyRefusal = true
	}
	r.forward(f)
	for len(r.plan.expect) > 0 && !r.plan.expect[0].endsBatch() {
		r.plan.expect = r.plan.expect[1:]
	}
	r.c.skipsUntilSync = len(r.plan.expect) == 0
}

// refuseCopyIn makes the endpoint fail the COPY and report an error to the
// caller. In copy mode the endpoint ignores the Sync of an extended query, so
// another Sync is sent.
func (r *segmentRun) refuseCopyIn() error {
	fail := pgproto3.CopyFail{Message: "COPY FROM STDIN is not supported"}
	out, err := fail.Encode(nil)
	if err != nil {
		return err
	}
	if r.plan.expect[0].message == pgwire.MsgExecute {
		out = pgwire.AppendEmptyMessage(out, pgwire.MsgSync)
	}
	_, err = r.c.raw.Write(out)
	return err
}

// handleParameterStatus records a commit position and forwards other parameters.
func (r *segmentRun) handleParameterStatus(f pgwire.Frame) error {
	pos, ok, err := commitPosition(f)
	if err != nil {
		return err
	}
	if !ok {
		r.forward(f)
		return nil
	}
	r.result.Commit = logpos.Max(r.result.Commit, pos)
	return nil
}

// handleCommandComplete derives from the command tag whether the reply may report
// a commit and whether the command changed session state.
func (r *segmentRun) handleCommandComplete(commandTag string) {
	r.commandTag = commandTag
	if !cannotCommit(commandTag) {
		r.withholdRest = true
	}
	if changesSession(commandTag) {
		r.sessionState = true
	}
}

// forward buffers a message for the caller, or withholds it.
func (r *segmentRun) forward(data []byte) {
	if r.withholdRest || r.withholdAll {
		r.withheld = append(r.withheld, data...)
		return
	}
	r.out = append(r.out, data...)
}

// checkWithheld returns a *WithheldError if the withheld replies are too long.
func (r *segmentRun) checkWithheld() error {
	if len(r.withheld) > maxWithheldBytes {
		return &WithheldError{Limit: maxWithheldBytes}
	}
	return nil
}

// flush writes the buffered replies to the sink.
func (r *segmentRun) flush() error {
	if len(r.out) == 0 {
		return nil
	}
	_, err := r.sink.Write(r.out)
	r.out = r.out[:0]
	r.sinkErr = err
	return err
}

// releaseWithheld writes the withheld replies to the sink.
func (r *segmentRun) releaseWithheld() error {
	if len(r.withheld) == 0 {
		return nil
	}
	_, err := r.sink.Write(r.withheld)
	return err
}

// callerError converts an error of execute to one for the caller. The outcome
// is not run only if nothing was sent to the endpoint.
func (r *segmentRun) callerError(ctx context.Context, err error) error {
	if r.sinkErr != nil {
		return r.sinkErr
	}
	reason, message := outcome.ReasonConnLost, "the connection to the endpoint was lost"
	if ctx.Err() == context.DeadlineExceeded || isTimeout(err) {
		reason, message = outcome.ReasonDeadline, "the endpoint did not answer before the deadline"
	}
	if ctx.Err() == context.Canceled {
		reason, message = outcome.ReasonCanceled, "canceled"
	}
	if !r.maybeSent {
		return outcome.NotRunError(outcome.CodeCannotConnectNow, reason, message, err)
	}
	return outcome.UnknownError(reason, message, err)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// cannotCommit reports whether a command with this tag never commits anything,
// so that its reply need not wait for a confirmation.
func cannotCommit(tag string) bool {
	switch firstWord(tag) {
	case "SELECT", "FETCH", "SHOW", "SET", "RESET", "BEGIN", "START", "DECLARE", "CLOSE", "MOVE", "LISTEN", "UNLISTEN", "SAVEPOINT", "RELEASE":
		return true
	}
	return false
}

// changesSession reports whether a command with this tag leaves session state on
// the connection that the next exchange must not see.
func changesSession(tag string) bool {
	switch firstWord(tag) {
	case "SET", "LISTEN", "PREPARE", "DECLARE", "LOAD":
		return true
	}
	return false
}

func firstWord(s string) string {
	word, _, _ := strings.Cut(s, " ")
	return word
}
