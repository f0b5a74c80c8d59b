package fleetd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hemlockmast/platform/standin"
)

// The configuration could not be read any more: a control daemon was stopped as planned after
// its successor had joined, and the disk of another one was lost right after that.
func TestPlannedReplacementOfAControlDaemonThenLostDisk(t *testing.T) {
	f := newFleet(t, 3, 0)
	f.publish(standin.Configuration(5, 800))
	successor := f.controlSettings(3, false)
	f.start(successor)
	assert.Assert(t, standin.WaitFor(5*time.Second, func() bool {
		return f.logged(`"formatted the data folder","daemon":"control-3"`)
	}))
	time.Sleep(time.Second)
	f.stop("control-0")
	lost := f.stop("control-1")
	assert.NilError(t, os.RemoveAll(lost.DataFolder))
	lost.DataFolder, lost.MayFound = t.TempDir(), false
	f.start(lost)
	f.publish(standin.Configuration(6, 800))
	assert.Assert(t, standin.WaitFor(10*time.Second, func() bool {
		status, _ := f.operatorRequest(3, "GET", standin.ReadPath, "")
		return status == http.StatusOK
	}))
}

// Callers had requests cut: most entries of a failure domain stop at once, so that the platform
// goes on to use all of them until they end.
func TestEntriesThatStopAtOnceCutNoRequest(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.publish(standin.Configuration(5, 800))
	f.querySucceeds(0, "STORE item v0")
	f.querySucceeds(1, "STORE item v0")
	for _, n := range f.group.Nodes() {
		n.Set(standin.Faults{Slow: 40 * time.Millisecond})
	}
	var served, refused atomic.Int64
	var mu sync.Mutex
	var cut []string
	ctx, stop := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				text := []string{"STORE item v", "FETCH item"}[n%2]
				isAnswered, err := f.queryOnce(i%2, id, text)
				switch {
				case isAnswered:
					served.Add(1)
				case err == nil || f.group.Ran(id) == 0:
					refused.Add(1)
					time.Sleep(10 * time.Millisecond)
				default:
					mu.Lock()
					cut = append(cut, fmt.Sprintf("%s %s: %v", id, text, err))
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	var stops sync.WaitGroup
	for _, name := range []string{"entry-0", "entry-1"} {
		p := f.daemons[name]
		delete(f.daemons, name)
		stops.Go(func() { p.stop(); <-p.done })
	}
	stops.Wait()
	stop()
	clients.Wait()
	assert.Equal(t, len(cut), 0, "%s", strings.Join(cut, "\n"))
	// Sessions of a daemon in the test's process outlive it: those open when its drain ended are the
	// ones that the end of a process cuts.
	for i := range 2 {
		assert.Assert(t, f.logged(fmt.Sprintf(`"drain ended","daemon":"entry-%d","sessions":0`, i)), "entry %d", i)
	}
	assert.Assert(t, served.Load() > 100 && refused.Load() > 0, "%d served, %d refused", served.Load(), refused.Load())
}

// queryOnce runs one statement in a new session. err is not nil if the connection ended without a
// complete answer.
func (f *fleet) queryOnce(entry int, id, text string) (isServed bool, err error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("127.0.2.%d:%d", entry+1, f.port), time.Second)
	if err != nil {
		return false, nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(conn)
	_, _ = fmt.Fprintf(conn, "CONNECT db me\r\n")
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		return false, err
	}
	_, _ = fmt.Fprintf(conn, "QUERY %s %s\r\n", id, text)
	isServed = true
	for {
		line, err := r.ReadString('\n')
		switch {
		case err != nil:
			return false, err
		case strings.HasPrefix(line, "ERROR"):
			isServed = false
		case strings.HasPrefix(line, "READY"):
			return isServed, nil
		}
	}
}

// An operator got no answer to a configuration that was half read when its control daemon ended.
// A long poll must not hold up the end.
func TestEndingServerFinishesRequests(t *testing.T) {
	address := freeAddress(t)
	received := make(chan struct{}, 2)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- struct{}{}
		if r.URL.Path == "/poll" {
			<-r.Context().Done()
			return
		}
		time.Sleep(50 * time.Millisecond)
		_, _ = bufio.NewReader(r.Body).ReadString('.')
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- serveHTTP(ctx, address, handler) }()
	var conn net.Conn
	assert.Assert(t, standin.WaitFor(2*time.Second, func() bool {
		var err error
		conn, err = net.Dial("tcp", address)
		return err == nil
	}))
	defer conn.Close()
	_, err := fmt.Fprintf(conn, "POST /publish HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345")
	assert.NilError(t, err)
	poll, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer poll.Close()
	_, err = fmt.Fprintf(poll, "GET /poll HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	<-received
	<-received
	started := time.Now()
	stop()
	_, err = fmt.Fprintf(conn, "6789.")
	assert.NilError(t, err)
	for _, c := range []net.Conn{conn, poll} {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
		line, err := bufio.NewReader(c).ReadString('\n')
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(line, "HTTP/1.1 "), line)
	}
	assert.NilError(t, <-ended)
	assert.Assert(t, time.Since(started) < shutdownTimeout+100*time.Millisecond)
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// A daemon that is told to stop while it starts ends as one that runs does.
func TestStopDuringStart(t *testing.T) {
	f := newFleet(t, 3, 1)
	for _, name := range []string{"entry-0", "control-0"} {
		s := f.stop(name)
		f.start(s)
		f.stop(name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.logLines {
		assert.Assert(t, !strings.Contains(line, "daemon failed"), line)
	}
}
