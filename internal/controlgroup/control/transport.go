package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	agreepb "hemlockmast/api/agree"
)

const (
	// peerQueue is the number of requests that may wait for one peer; more are
	// lost.
	peerQueue = 256
	// deliverTimeout bounds one delivery, with as much again for each
	// bytesPerTimeout of commands and snapshots.
	deliverTimeout  = 2 * time.Second
	bytesPerTimeout = 8 << 20
	// idlePeer is the time after which an unused peer queue ends.
	idlePeer = time.Minute
	// MaxRequestBytes bounds a request that the service accepts. It leaves room
	// for a snapshot.
	MaxRequestBytes = 256 << 20
	// mergeBytes bounds the commands merged into one delivery.
	mergeBytes = 4 << 20
)

// Peers is the Transport over twirp, with one queue per address.
type Peers struct {
	client *http.Client
	scheme string
	ctx    context.Context

	mu     sync.Mutex
	queues map[string]chan *agreepb.DeliverRequest
}

// NewPeers returns a transport that ends with ctx. The scheme is "http" or
// "https".
func NewPeers(ctx context.Context, client *http.Client, scheme string) *Peers {
	return &Peers{
		client: client, scheme: scheme, ctx: ctx,
		queues: make(map[string]chan *agreepb.DeliverRequest),
	}
}

// Handler serves a member's Agree service.
func Handler(c *Control) http.Handler {
	return http.MaxBytesHandler(agreepb.NewAgreeServer(c), MaxRequestBytes)
}

// Send implements Transport.
func (p *Peers) Send(address string, request *agreepb.DeliverRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.queues[address]
	if queue == nil {
		queue = make(chan *agreepb.DeliverRequest, peerQueue)
		p.queues[address] = queue
		go p.serve(address, queue)
	}
	select {
	case queue <- request:
	default:
	}
}

// Join implements Transport.
func (p *Peers) Join(ctx context.Context, address string, request *agreepb.JoinRequest) (*agreepb.JoinReply, error) {
	return p.service(address).Join(ctx, request)
}

func (p *Peers) service(address string) agreepb.Agree {
	return agreepb.NewAgreeProtobufClient(p.scheme+"://"+address, p.client)
}

// serve delivers one peer's requests in order, until it has been idle.
func (p *Peers) serve(address string, queue chan *agreepb.DeliverRequest) {
	service := p.service(address)
	idle := time.NewTimer(idlePeer)
	defer idle.Stop()
	for {
		idle.Reset(idlePeer)
		select {
		case <-p.ctx.Done():
			return
		case request := <-queue:
			size := merge(request, queue)
			timeout := deliverTimeout * time.Duration(1+size/bytesPerTimeout)
			ctx, cancel := context.WithTimeout(p.ctx, timeout)
			// A lost delivery is made good by the protocol.
			_, _ = service.Deliver(ctx, request)
			cancel()
		case <-idle.C:
			if p.drop(address, queue) {
				return
			}
		}
	}
}

// merge adds to request what waits behind it and returns the size in bytes.
func merge(request *agreepb.DeliverRequest, queue chan *agreepb.DeliverRequest) int {
	size := 0
	for _, m := range request.Messages {
		size += messageBytes(m)
	}
	for size < mergeBytes {
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

func messageBytes(m *agreepb.Message) int {
	size := len(m.Snapshot.GetState())
	for _, e := range m.Entries {
		size += len(e.Command)
	}
	return size
}

// drop forgets an idle queue; it reports false when there is work after all.
func (p *Peers) drop(address string, queue chan *agreepb.DeliverRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(p.queues, address)
	return true
}
