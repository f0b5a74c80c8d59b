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

// endlessExchange is an exchange whose answer never ends. It sends the error of
// the write that ended a run to writeFailed.
type endlessExchange struct{ writeFailed chan error }

func (e *endlessExchange) Open(context.Context) (exchange.Exchange, error) { return e, nil }

func (e *endlessExchange) Run(_ context.Context, _ *link.Segment, sink io.Writer) (exchange.Result, error) {
	chunk := make([]byte, 32<<10)
	for {
		if _, err := sink.Write(chunk); err != nil {
			e.writeFailed <- err
			return exchange.Result{}, err
		}
	}
}

func (e *endlessExchange) Close() {}

// blockedSink accepts no data, like a caller that stopped reading. Its writes
// block until release is closed and then fail.
type blockedSink struct{ release chan struct{} }

func (b *blockedSink) Write([]byte) (int, error) {
	<-b.release
	return 0, io.ErrClosedPipe
}

// TestHolderStopsWritingToAStreamThatItsPeerClosed guards against a holder that
// stays blocked on a stream's window after the entry closed its end. The entry
// stops reading until the window is full, then closes the stream.
func TestHolderStopsWritingToAStreamThatItsPeerClosed(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opener := &endlessExchange{writeFailed: make(chan error, 1)}
	server := &Server{Opener: opener, Log: logr.Discard()}
	go func() { _ = server.Serve(ctx, ln) }()
	peer := NewPeer("entry", ln.Addr().String())
	defer peer.Close()
	ex, err := peer.Open(ctx)
	assert.NilError(t, err)
	sink := &blockedSink{release: make(chan struct{})}
	done := make(chan error, 1)
	go func() {
		_, err := ex.Run(ctx, &link.Segment{Open: &link.Open{}}, sink)
		done <- err
	}()
	time.Sleep(200 * time.Millisecond)
	close(sink.release)
	assert.ErrorIs(t, <-done, io.ErrClosedPipe)
	ex.Close()
	select {
	case <-opener.writeFailed:
	case <-ctx.Done():
		t.Fatal("the holder still writes to a stream that nobody reads")
	}
}
