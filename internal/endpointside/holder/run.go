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
	// flushBytes is the size at which collected replies go to the sink.
	flushBytes = 16 << 10
	// directWriteBytes is the largest segment that is written before replies
	// are read; a larger one is written beside the reading, so that a full
	// socket in each direction does not block both ends.
	directWriteBytes = 32 << 10
	// maxWithheldBytes bounds the replies kept back until a commit is confirmed.
	maxWithheldBytes = 4 << 20
)

// run is one segment in progress on one connection.
type run struct {
	c    *conn
	plan *plan
	sink io.Writer

	// sent states that a byte may have left for the endpoint.
	sent bool
	// out collects replies that may go to the sink.
	out []byte
	// withheld collects replies from the first one that may report a commit.
	withheld  []byte
	withholds bool
	// withholdAll keeps the whole reply back.
	withholdAll bool
	result      exchange.Result
	// sessionState states that a command changed session state.
	sessionState bool
	// tag is the last command tag.
	tag     string
	sinkErr error

	// waiting states that the run waits for the endpoint, and not for its caller;
	// progress counts the messages received. A silence guard reads both.
	waiting  atomic.Bool
	progress atomic.Uint64
}

func newRun(c *conn, p *plan, sink io.Writer) *run {
	return &run{c: c, plan: p, sink: sink}
}

// drive sends the segment and reads until every reply has come.
func (r *run) drive() (exchange.Result, error) {
	if err := r.write(); err != nil {
		return r.result, err
	}
	for len(r.plan.expect) > 0 {
		if err := r.step(); err != nil {
			return r.result, err
		}
	}
	return r.result, r.flush()
}

// write sends the plan's bytes. From here on the segment may have run.
func (r *run) write() error {
	if len(r.plan.out) == 0 {
		return nil
	}
	r.sent = true
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

// step handles the next due reply.
func (r *run) step() error {
	if e := &r.plan.expect[0]; e.kind == expectSynthetic {
		r.pass(e.data)
		r.plan.expect = r.plan.expect[1:]
		return nil
	}
	if r.c.br.Buffered() == 0 || len(r.out) >= flushBytes {
		if err := r.flush(); err != nil {
			return err
		}
	}
	if r.c.br.Buffered() == 0 {
		r.waiting.Store(true)
	}
	f, err := r.c.br.Next()
	r.waiting.Store(false)
	r.progress.Add(1)
	if err != nil {
		return err
	}
	return r.reply(f)
}

// reply handles one message of the endpoint.
func (r *run) reply(f pgwire.Frame) error {
	switch f.Type() {
	case pgwire.MsgParameterStatus:
		return r.parameterStatus(f)
	case pgwire.MsgNoticeResponse, pgwire.MsgNotification:
		r.pass(f)
		return nil
	case pgwire.MsgErrorResponse:
		r.errorResponse(f)
		return nil
	case pgwire.MsgCopyInResponse:
		return r.refuseCopyIn()
	}
	e := &r.plan.expect[0]
	if e.message == 0 {
		return &SequenceError{Reply: f.Type()}
	}
	if f.Type() == pgwire.MsgCommandComplete {
		r.commandComplete(pgwire.CommandTag(f.Body()))
	}
	if e.kind == expectForward {
		r.pass(f)
	}
	if e.ends(f.Type()) {
		r.end(e, f)
	}
	return r.checkWithheld()
}

// end takes the first expectation off after its last reply.
func (r *run) end(e *expectation, f pgwire.Frame) {
	if e.prepares != "" {
		r.c.markPrepared(e.prepares)
	}
	if e.endsBatch() && e.kind == expectForward {
		r.result.TxStatus = f.Body()[0]
	}
	r.plan.expect = r.plan.expect[1:]
}

// errorResponse passes an error on and drops the replies that the endpoint now
// skips: everything before the ReadyForQuery of the same batch.
func (r *run) errorResponse(f pgwire.Frame) {
	code := pgwire.ErrorCode(f.Body())
	if r.result.ErrorCode == "" {
		r.result.ErrorCode = code
	}
	if code == endpoint.CodeReadOnly {
		r.result.ReadOnlyRefusal = true
	}
	r.pass(f)
	for len(r.plan.expect) > 0 && !r.plan.expect[0].endsBatch() {
		r.plan.expect = r.plan.expect[1:]
	}
	r.c.skipping = len(r.plan.expect) == 0
}

// refuseCopyIn makes the endpoint fail the COPY; its error goes to the caller.
// In copy mode the endpoint ignored the Sync of an extended query, so that
// another one is due.
func (r *run) refuseCopyIn() error {
	fail := pgproto3.CopyFail{Message: "COPY FROM STDIN is not supported"}
	out, err := fail.Encode(nil)
	if err != nil {
		return err
	}
	if r.plan.expect[0].message == pgwire.MsgExecute {
		out = pgwire.AppendEmpty(out, pgwire.MsgSync)
	}
	_, err = r.c.raw.Write(out)
	return err
}

// parameterStatus takes the commit position out of the stream.
func (r *run) parameterStatus(f pgwire.Frame) error {
	pos, ok, err := commitPosition(f)
	if err != nil {
		return err
	}
	if !ok {
		r.pass(f)
		return nil
	}
	r.result.Commit = logpos.Max(r.result.Commit, pos)
	return nil
}

// commandComplete decides by the command tag whether this reply may report a
// commit and whether the command changed session state.
func (r *run) commandComplete(tag string) {
	r.tag = tag
	if !streamsAtOnce(tag) {
		r.withholds = true
	}
	if changesSession(tag) {
		r.sessionState = true
	}
}

// pass hands a message to the caller, or withholds it.
func (r *run) pass(data []byte) {
	if r.withholds || r.withholdAll {
		r.withheld = append(r.withheld, data...)
		return
	}
	r.out = append(r.out, data...)
}

func (r *run) checkWithheld() error {
	if len(r.withheld) > maxWithheldBytes {
		return &WithheldError{Limit: maxWithheldBytes}
	}
	return nil
}

func (r *run) flush() error {
	if len(r.out) == 0 {
		return nil
	}
	_, err := r.sink.Write(r.out)
	r.out = r.out[:0]
	r.sinkErr = err
	return err
}

// releaseWithheld sends what was kept back.
func (r *run) releaseWithheld() error {
	if len(r.withheld) == 0 {
		return nil
	}
	_, err := r.sink.Write(r.withheld)
	return err
}

// failure turns an error of drive into what the caller may be told. Not run is
// possible only while no byte has left.
func (r *run) failure(ctx context.Context, err error) error {
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
	if !r.sent {
		return outcome.NotRunError(outcome.CodeCannotConnectNow, reason, message, err)
	}
	return outcome.UnknownError(reason, message, err)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// streamsAtOnce reports whether a command with this tag cannot have committed
// anything, so that its reply need not wait for a confirmation.
func streamsAtOnce(tag string) bool {
	switch firstWord(tag) {
	case "SELECT", "FETCH", "SHOW", "SET", "RESET", "BEGIN", "START", "DECLARE", "CLOSE", "MOVE", "LISTEN", "UNLISTEN", "SAVEPOINT", "RELEASE":
		return true
	}
	return false
}

// changesSession reports whether a command with this tag leaves state on the
// connection that the next exchange must not see.
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
