package link

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"hemlockmast/api/link"
	"hemlockmast/internal/wire/exchange"
)

// endless is an exchange whose answer never ends. It counts those that run.
type endless struct{ ended chan error }

func (e *endless) Open(context.Context) (exchange.Exchange, error) { return e, nil }

func (e *endless) Run(_ context.Context, _ *link.Segment, sink io.Writer) (exchange.Result, error) {
	chunk := make([]byte, 32<<10)
	for {
		if _, err := sink.Write(chunk); err != nil {
			e.ended <- err
			return exchange.Result{}, err
		}
	}
}

func (e *endless) Close() {}

// blocked refuses to take anything, as a caller does that stopped reading.
type blocked struct{ full chan struct{} }

func (b *blocked) Write([]byte) (int, error) {
	<-b.full
	return 0, io.ErrClosedPipe
}

// TestHolderStopsWritingToAStreamThatItsPeerClosed blocks an answer on the
// stream's window, then closes the entry's end without reading on.
func TestHolderStopsWritingToAStreamThatItsPeerClosed(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opener := &endless{ended: make(chan error, 1)}
	server := &Server{Opener: opener, Log: logr.Discard()}
	go func() { _ = server.Serve(ctx, ln) }()
	peer := NewPeer("entry", ln.Addr().String())
	defer peer.Close()
	ex, err := peer.Open(ctx)
	assert.NilError(t, err)
	sink := &blocked{full: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		_, err := ex.Run(ctx, &link.Segment{Open: &link.Open{}}, sink)
		done <- err
	}()
	time.Sleep(200 * time.Millisecond)
	close(sink.full)
	assert.ErrorIs(t, <-done, io.ErrClosedPipe)
	ex.Close()
	select {
	case <-opener.ended:
	case <-ctx.Done():
		t.Fatal("the holder still writes to a stream that nobody reads")
	}
}
