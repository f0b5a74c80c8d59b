// Package measure produces the figures of the documentation: load on a running
// system, and the experiments on a cluster in one process.
package measure

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"

	"hemlockmast/internal/wire/pgwire"
)

const (
	// connectParallel bounds the connections that are set up at once.
	connectParallel = 128
	// ioTimeout bounds one exchange of the load.
	ioTimeout = 30 * time.Second
	// bufferBytes is the read buffer of one load connection.
	bufferBytes = 1 << 10
	// maxReplyBytes bounds one message of a reply.
	maxReplyBytes = 1 << 20
	// maxLatencyMicros is the largest latency that is told apart.
	maxLatencyMicros = 60_000_000
)

// LoadConfig describes a closed loop of callers that run one statement each.
type LoadConfig struct {
	// URLs are connection strings; callers are spread over them.
	URLs []string
	// Statement is sent as a simple query.
	Statement string
	// Open is the number of open connections, Active those that send.
	Open, Active int
	Warmup       time.Duration
	Duration     time.Duration
}

// LoadResult is what a load measured. Latencies are in microseconds.
type LoadResult struct {
	Statements int64   `json:"statements"`
	Errors     int64   `json:"errors"`
	PerSecond  float64 `json:"per_second"`
	P50        int64   `json:"p50_us"`
	P90        int64   `json:"p90_us"`
	P99        int64   `json:"p99_us"`
	Max        int64   `json:"max_us"`
}

// StatementError reports an ErrorResponse to a load statement.
type StatementError struct{ Code string }

func (e *StatementError) Error() string { return "statement failed with SQLSTATE " + e.Code }

// RunLoad opens the connections, warms up and measures.
func RunLoad(ctx context.Context, cfg LoadConfig) (LoadResult, error) {
	callers, err := connectAll(ctx, cfg)
	defer closeAll(callers)
	if err != nil {
		return LoadResult{}, err
	}
	if _, err := drive(ctx, cfg, callers, cfg.Warmup); err != nil {
		return LoadResult{}, err
	}
	return drive(ctx, cfg, callers, cfg.Duration)
}

// caller is one load connection.
type caller struct {
	conn net.Conn
	r    *pgwire.Reader
}

func connectAll(ctx context.Context, cfg LoadConfig) ([]*caller, error) {
	callers := make([]*caller, cfg.Open)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(connectParallel)
	for i := range callers {
		g.Go(func() error {
			c, err := dial(ctx, cfg.URLs[i%len(cfg.URLs)])
			callers[i] = c
			return err
		})
	}
	return callers, g.Wait()
}

func closeAll(callers []*caller) {
	for _, c := range callers {
		if c != nil {
			_ = c.conn.Close()
		}
	}
}

// dial logs in with as little memory as possible.
func dial(ctx context.Context, text string) (*caller, error) {
	u, err := url.Parse(text)
	if err != nil {
		return nil, err
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return nil, err
	}
	params := map[string]string{"user": u.User.Username(), "database": u.Path[1:]}
	for name, values := range u.Query() {
		params[name] = values[0]
	}
	startup := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params}
	out, err := startup.Encode(nil)
	if err != nil {
		return nil, err
	}
	c := &caller{conn: conn, r: pgwire.NewReader(bufio.NewReaderSize(conn, bufferBytes), maxReplyBytes)}
	if err := c.exchange(out); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// exchange sends out and reads up to ReadyForQuery.
func (c *caller) exchange(out []byte) error {
	_ = c.conn.SetDeadline(time.Now().Add(ioTimeout))
	if _, err := c.conn.Write(out); err != nil {
		return err
	}
	var failure error
	for {
		f, err := c.r.Next()
		if err != nil {
			if failure != nil {
				return failure
			}
			return err
		}
		switch f.Type() {
		case pgwire.MsgErrorResponse:
			failure = &StatementError{Code: pgwire.ErrorCode(f.Body())}
		case pgwire.MsgReadyForQuery:
			return failure
		}
	}
}

// drive runs the loop of the active callers for d.
func drive(ctx context.Context, cfg LoadConfig, callers []*caller, d time.Duration) (LoadResult, error) {
	out := pgwire.AppendQuery(nil, cfg.Statement)
	total := newHistogram()
	var mu sync.Mutex
	var failures int64
	start := time.Now()
	end := start.Add(d)
	g, ctx := errgroup.WithContext(ctx)
	for i := range cfg.Active {
		g.Go(func() error {
			hist, failed, err := loop(ctx, callers[i*len(callers)/cfg.Active], out, end)
			mu.Lock()
			defer mu.Unlock()
			total.Merge(hist)
			failures += failed
			return err
		})
	}
	err := g.Wait()
	elapsed := time.Since(start)
	return LoadResult{
		Statements: total.TotalCount(),
		Errors:     failures,
		PerSecond:  float64(total.TotalCount()) / elapsed.Seconds(),
		P50:        total.ValueAtQuantile(50),
		P90:        total.ValueAtQuantile(90),
		P99:        total.ValueAtQuantile(99),
		Max:        total.Max(),
	}, err
}

func newHistogram() *hdrhistogram.Histogram {
	const significantDigits = 3
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// loop sends until end. A refused statement is counted; a broken connection
// ends the load.
func loop(ctx context.Context, c *caller, out []byte, end time.Time) (*hdrhistogram.Histogram, int64, error) {
	hist := newHistogram()
	var failed int64
	for ctx.Err() == nil {
		began := time.Now()
		if !began.Before(end) {
			break
		}
		if err := c.exchange(out); err != nil {
			if _, refused := err.(*StatementError); !refused {
				return hist, failed, err
			}
			failed++
			continue
		}
		_ = hist.RecordValue(max(1, time.Since(began).Microseconds()))
	}
	return hist, failed, nil
}

// String returns the result as one line.
func (r LoadResult) String() string {
	return fmt.Sprintf("%d statements, %d errors, %.0f/s, p50 %d us, p90 %d us, p99 %d us, max %d us",
		r.Statements, r.Errors, r.PerSecond, r.P50, r.P90, r.P99, r.Max)
}
