package directoryrpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	directorypb "hemlockmast/api/directory"
	"hemlockmast/internal/entryside/session/directory"
)

const (
	// callTimeout limits the duration of one call to one member.
	callTimeout = 250 * time.Millisecond
	// suspensionPeriod is how long a member is not called after a failed call.
	suspensionPeriod = 500 * time.Millisecond
)

// memberClient sends operations to one member. Operations that arrive during a
// call are sent together in the next call. Batches therefore grow with the load,
// and an operation is sent at once if no call is running.
//
// Lock order: no other lock is taken while mu is held.
type memberClient struct {
	rpc directorypb.Directory
	now func() time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	queued []*pendingOperation
	// sending states that a goroutine runs sendBatches.
	sending bool
	// lastCallFailed states that the last call failed. No operation is then sent
	// before suspendedUntil, and after that only one at a time until a call
	// succeeds.
	lastCallFailed bool
	suspendedUntil time.Time
}

// pendingOperation is an operation that is queued or being sent. The result is set
// when done is closed.
type pendingOperation struct {
	request *directorypb.Operation
	answer  directory.Answer
	err     error
	done    chan struct{}
}

func newMemberClient(url string, client *http.Client, now func() time.Time) *memberClient {
	return &memberClient{rpc: directorypb.NewDirectoryProtobufClient(url, client), now: now}
}

// execute executes one operation. If ctx ends early, the operation may still be
// executed later. That is safe, because floors are only raised.
func (m *memberClient) execute(ctx context.Context, request *directorypb.Operation) (directory.Answer, error) {
	op := &pendingOperation{request: request, done: make(chan struct{})}
	if err := m.enqueue(op); err != nil {
		return directory.Answer{}, err
	}
	select {
	case <-op.done:
		return op.answer, op.err
	case <-ctx.Done():
		return directory.Answer{}, ctx.Err()
	}
}

// enqueue queues op and starts sendBatches if it is not running. It returns
// *SuspendedError if the member is suspended.
func (m *memberClient) enqueue(op *pendingOperation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastCallFailed && (m.sending || m.now().Before(m.suspendedUntil)) {
		return &SuspendedError{Until: m.suspendedUntil}
	}
	m.queued = append(m.queued, op)
	if !m.sending {
		m.sending = true
		go m.sendBatches()
	}
	return nil
}

// usable returns *SuspendedError while the member is suspended, and nil if it can
// be called.
func (m *memberClient) usable() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastCallFailed && m.now().Before(m.suspendedUntil) {
		return &SuspendedError{Until: m.suspendedUntil}
	}
	return nil
}

// sendBatches calls the member until no operation is queued.
func (m *memberClient) sendBatches() {
	for {
		batch := m.nextBatch()
		if len(batch) == 0 {
			return
		}
		m.recordCall(m.call(batch))
		for _, op := range batch {
			close(op.done)
		}
	}
}

// nextBatch removes and returns up to MaxBatch queued operations. If there are
// none, it ends the sending.
func (m *memberClient) nextBatch() []*pendingOperation {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(len(m.queued), MaxBatch)
	batch := m.queued[:n:n]
	m.queued = m.queued[n:]
	if n == 0 {
		m.sending = false
		m.queued = nil
	}
	return batch
}

// recordCall records the error of a call, nil for success. After a failure it
// suspends the member and also fails the queued operations, so that they do not
// wait for a member that does not answer.
func (m *memberClient) recordCall(failure error) {
	m.mu.Lock()
	m.lastCallFailed = failure != nil
	if !m.lastCallFailed {
		m.mu.Unlock()
		return
	}
	queued := m.queued
	m.queued = nil
	m.suspendedUntil = m.now().Add(suspensionPeriod)
	m.mu.Unlock()
	for _, op := range queued {
		op.err = failure
		close(op.done)
	}
}

// call sends a batch and stores the answer or error in each of its operations. Its
// own error is that of the whole call.
func (m *memberClient) call(batch []*pendingOperation) error {
	req := &directorypb.BatchRequest{}
	for _, op := range batch {
		req.Operations = append(req.Operations, op.request)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := m.rpc.Batch(ctx, req)
	if err == nil && len(resp.Answers) != len(batch) {
		err = &AnswerCountError{Operations: len(batch), Answers: len(resp.Answers)}
	}
	for i, op := range batch {
		if err != nil {
			op.err = err
			continue
		}
		op.answer, op.err = answerFromProto(resp.Answers[i])
	}
	return err
}
