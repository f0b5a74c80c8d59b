package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	agreepb "hemlockmast/api/agree"
)

const (
	// peerQueueLength is the number of requests that can be queued for one peer;
	// further ones are dropped.
	peerQueueLength = 256
	// deliverTimeout bounds one delivery. It is extended by the same time for
	// each bytesPerTimeout of commands and snapshots.
	deliverTimeout  = 2 * time.Second
	bytesPerTimeout = 8 << 20
	// peerIdleTimeout is the time after which an unused peer queue is removed.
	peerIdleTimeout = time.Minute
	// MaxRequestBytes is the maximum size of a request that the service accepts.
	// It is large enough for a snapshot.
	MaxRequestBytes = 256 << 20
	// maxMergedBytes is the size of commands and snapshots at which no more
	// requests are merged into a delivery.
	maxMergedBytes = 4 << 20
)

// TwirpTransport is a Transport over twirp with one queue per address.
type TwirpTransport struct {
	client *http.Client
	scheme string
	ctx    context.Context

	mu     sync.Mutex
	queues map[string]chan *agreepb.DeliverRequest
}

// NewTwirpTransport returns a transport that stops when ctx ends. The scheme is
// "http" or "https".
func NewTwirpTransport(ctx context.Context, client *http.Client, scheme string) *TwirpTransport {
	return &TwirpTransport{
		client: client, scheme: scheme, ctx: ctx,
		queues: make(map[string]chan *agreepb.DeliverRequest),
	}
}

// Handler returns an HTTP handler for a member's Agree service.
func Handler(c *Control) http.Handler {
	return http.MaxBytesHandler(agreepb.NewAgreeServer(c), MaxRequestBytes)
}

// Send implements Transport.
func (p *TwirpTransport) Send(address string, request *agreepb.DeliverRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.queues[address]
	if queue == nil {
		queue = make(chan *agreepb.DeliverRequest, peerQueueLength)
		p.queues[address] = queue
		go p.deliverQueue(address, queue)
	}
	select {
	case queue <- request:
	default:
	}
}

// Join implements Transport.
func (p *TwirpTransport) Join(ctx context.Context, address string, request *agreepb.JoinRequest) (*agreepb.JoinReply, error) {
	return p.agreeClient(address).Join(ctx, request)
}

// Retire implements Transport.
func (p *TwirpTransport) Retire(ctx context.Context, address string, request *agreepb.RetireRequest) (*agreepb.RetireReply, error) {
	return p.agreeClient(address).Retire(ctx, request)
}

func (p *TwirpTransport) agreeClient(address string) agreepb.Agree {
	return agreepb.NewAgreeProtobufClient(p.scheme+"://"+address, p.client)
}

// deliverQueue delivers one peer's requests in order until the queue has been idle
// for peerIdleTimeout.
func (p *TwirpTransport) deliverQueue(address string, queue chan *agreepb.DeliverRequest) {
	agreeClient := p.agreeClient(address)
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(peerIdleTimeout)
		select {
		case <-p.ctx.Done():
			return
		case request := <-queue:
			size := mergeQueued(request, queue)
			timeout := deliverTimeout * time.Duration(1+size/bytesPerTimeout)
			ctx, cancel := context.WithTimeout(p.ctx, timeout)
			// The protocol recovers from a lost delivery.
			_, _ = agreeClient.Deliver(ctx, request)
			cancel()
		case <-idle.C:
			if p.removeIdleQueue(address, queue) {
				return
			}
		}
	}
}

// mergeQueued merges the requests queued behind request into it and returns the
// size of its commands and snapshots in bytes.
func mergeQueued(request *agreepb.DeliverRequest, queue chan *agreepb.DeliverRequest) int {
	size := 0
	for _, m := range request.Messages {
		size += messageBytes(m)
	}
	for size < maxMergedBytes {
		select {
		case next := <-queue:
			for _, m := range next.Messages {
				size += messageBytes(m)
			}
			request.Messages = append(request.Messages, next.Messages...)
		default:
			return size
		}
	}
	return size
}

// messageBytes returns the size of a message's commands and snapshot in bytes.
func messageBytes(m *agreepb.Message) int {
	size := len(m.Snapshot.GetState())
	for _, e := range m.Entries {
		size += len(e.Command)
	}
	return size
}

// removeIdleQueue removes a queue. It reports false, and keeps the queue, if a
// request has been queued in the meantime.
func (p *TwirpTransport) removeIdleQueue(address string, queue chan *agreepb.DeliverRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(p.queues, address)
	return true
}
