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
	// callTimeout bounds one call to one copy.
	callTimeout = 250 * time.Millisecond
	// suspendInterval is how long a copy is not called after a failed call.
	suspendInterval = 500 * time.Millisecond
)

// member sends operations to one daemon. Operations that arrive while a call is
// under way go together in the next call, so that a batch grows with the load
// and a single operation waits for nothing.
//
// Lock order: no other lock is taken while mu is held.
type member struct {
	rpc directorypb.Directory
	now func() time.Time

	mu      sync.Mutex
	waiting []*operation
	sending bool
	// failing says that the last call failed. Then one operation at a time is
	// sent, and none before suspended.
	failing   bool
	suspended time.Time
}

type operation struct {
	request *directorypb.Operation
	answer  directory.Answer
	err     error
	done    chan struct{}
}

func newMember(url string, client *http.Client, now func() time.Time) *member {
	return &member{rpc: directorypb.NewDirectoryProtobufClient(url, client), now: now}
}

// do carries out one operation. An operation whose context ends may still be
// carried out; that is safe, since floors only go up.
func (m *member) do(ctx context.Context, request *directorypb.Operation) (directory.Answer, error) {
	op := &operation{request: request, done: make(chan struct{})}
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

func (m *member) enqueue(op *operation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing && (m.sending || m.now().Before(m.suspended)) {
		return &SuspendedError{Until: m.suspended}
	}
	m.waiting = append(m.waiting, op)
	if !m.sending {
		m.sending = true
		go m.send()
	}
	return nil
}

// usable gives *SuspendedError while the member is not called.
func (m *member) usable() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing && m.now().Before(m.suspended) {
		return &SuspendedError{Until: m.suspended}
	}
	return nil
}

// send makes calls until no operation waits.
func (m *member) send() {
	for {
		batch := m.take()
		if len(batch) == 0 {
			return
		}
		m.note(m.call(batch))
		for _, op := range batch {
			close(op.done)
		}
	}
}

func (m *member) take() []*operation {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(len(m.waiting), MaxBatch)
	batch := m.waiting[:n:n]
	m.waiting = m.waiting[n:]
	if n == 0 {
		m.sending = false
		m.waiting = nil
	}
	return batch
}

// note records how a call went. A failure also fails what waits, so that nothing
// waits for a copy that does not answer.
func (m *member) note(failure error) {
	m.mu.Lock()
	m.failing = failure != nil
	if !m.failing {
		m.mu.Unlock()
		return
	}
	waiting := m.waiting
	m.waiting = nil
	m.suspended = m.now().Add(suspendInterval)
	m.mu.Unlock()
	for _, op := range waiting {
		op.err = failure
		close(op.done)
	}
}

func (m *member) call(batch []*operation) error {
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
