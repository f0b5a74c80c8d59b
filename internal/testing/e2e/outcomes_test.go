package e2e

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	pb "hemlockmast/api/settings"
	"hemlockmast/internal/daemon"
	"hemlockmast/internal/shared/settings"
	"hemlockmast/internal/testing/ports"
	"hemlockmast/internal/testing/standin"
)

// path is an entry, a holder and three endpoints with a proxy at each hop.
type path struct {
	entry, holder *daemon.Daemon
	// caller, link and endpoint are the proxies before the entry, the holder
	// and the primary.
	caller, link, endpoint *proxy
	primary                *standin.Endpoint
	replicas               []*standin.Endpoint
	stopEntry, stopHolder  context.CancelFunc
}

// peerOf returns the peer entry for a daemon with settings s.
func peerOf(s *pb.Settings) *pb.Peer {
	return &pb.Peer{
		Name: s.Name, FailureDomain: s.FailureDomain, Roles: s.Roles,
		Link: s.Listen.Link, Admin: s.Listen.Admin, Heartbeat: s.Listen.Heartbeat,
	}
}

func pathSettings(t *testing.T, name, domain, folder string, roles ...string) *pb.Settings {
	s := &pb.Settings{
		Name: name, FailureDomain: domain, Roles: roles,
		Listen:               &pb.Listen{Link: ports.Own(), Admin: ports.Own(), Heartbeat: ports.Own()},
		ConfigurationFolders: []string{folder},
	}
	if roles[0] == settings.RoleEntry {
		s.Listen.Callers = ports.Own()
	}
	return s
}

func runDaemon(t *testing.T, s *pb.Settings) (*daemon.Daemon, context.CancelFunc) {
	t.Helper()
	checked, err := settings.Check(s.Name, s)
	assert.NilError(t, err)
	d, err := daemon.New(checked, daemon.Options{Log: logr.Discard()})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d, cancel
}

// startEndpoint runs an endpoint that announces the address of via, if given.
func startEndpoint(t *testing.T, slot, follow, daemonURL string, via *proxy) *standin.Endpoint {
	t.Helper()
	cfg := standin.Config{
		Group: "g", Slot: slot, ConnLimit: 20, Primary: follow == "", Follow: follow,
		Announce: []string{daemonURL},
	}
	if via != nil {
		cfg.Addr = ports.Own()
		cfg.Advertise = via.addr()
		via.setTarget(cfg.Addr)
	}
	e, err := standin.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func startPath(t *testing.T) *path {
	t.Helper()
	folder := writeFolder(t)
	es := pathSettings(t, "e1", "a", folder, settings.RoleEntry)
	hs := pathSettings(t, "h1", "b", folder, settings.RoleHolder)
	p := &path{
		caller:   newProxy(t, es.Listen.Callers),
		link:     newProxy(t, hs.Listen.Link),
		endpoint: newProxy(t, ""),
	}
	hs.Advertise = &pb.Listen{Link: p.link.addr()}
	hs.Peers = []*pb.Peer{peerOf(es)}
	es.Peers = []*pb.Peer{peerOf(hs)}
	es.Peers[0].Link = p.link.addr()
	p.holder, p.stopHolder = runDaemon(t, hs)
	p.entry, p.stopEntry = runDaemon(t, es)
	for _, d := range []*pb.Settings{es, hs} {
		waitReady(t, &daemonSpec{Name: d.Name, Listen: map[string]string{"admin": d.Listen.Admin}})
	}
	url := p.entry.AdminURL()
	p.primary = startEndpoint(t, "s1", "", url, p.endpoint)
	for _, slot := range []string{"s2", "s3"} {
		p.replicas = append(p.replicas, startEndpoint(t, slot, p.endpoint.target, url, nil))
	}
	return p
}

// url returns the connection string through the caller's proxy, with a deadline
// for each statement.
func (p *path) url(deadline time.Duration) string {
	return fmt.Sprintf("postgres://app@%s/db?hemlock.deadline=%s", p.caller.addr(), deadline)
}

// rows counts the rows with key k at the primary, past the daemons.
func (p *path) rows(t *testing.T, k string) (n int) {
	t.Helper()
	ctx := testContext(t)
	conn, err := pgx.Connect(ctx, "postgres://app@"+p.endpoint.target+"/db")
	assert.NilError(t, err)
	defer func() { _ = conn.Close(ctx) }()
	assert.NilError(t, conn.QueryRow(ctx, "SELECT count(*) FROM t WHERE k = $1", k).Scan(&n))
	return n
}

// outcomes that a caller can be told; lost means that its connection ended.
const (
	toldDone    = "done"
	toldNotRun  = "not run"
	toldUnknown = "outcome unknown"
	toldLost    = "lost"
	// toldRefused is an error of the endpoint itself: nothing was done.
	toldRefused = "refused"
)

// told returns what an error tells the caller.
func told(err error) string {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return toldDone
	case !errors.As(err, &pgErr):
		return toldLost
	case strings.HasPrefix(pgErr.Detail, "outcome: "+toldNotRun):
		return toldNotRun
	case strings.HasPrefix(pgErr.Detail, "outcome: "+toldUnknown):
		return toldUnknown
	default:
		return toldRefused
	}
}

// settle lets a prepared fault reach all daemons, so that it strikes before the
// statement is sent.
const settle = 200 * time.Millisecond

// How a row's statement is sent.
const (
	autocommit = iota
	extended
	// commit writes in a transaction; the fault strikes in COMMIT.
	commit
	// inTx writes in a transaction; the fault strikes in the statement.
	inTx
	// withID is a statement with a request id.
	withID
)

// run sends a write of key k and returns what the caller is told.
func run(ctx context.Context, conn *pgx.Conn, how int, k string) error {
	insert := "INSERT INTO t (k, v) VALUES ('" + k + "', 1)"
	switch how {
	case extended:
		_, err := conn.Exec(ctx, "INSERT INTO t (k, v) VALUES ($1, 1)", k)
		return err
	case withID:
		_, err := conn.Exec(ctx, marked(k, insert))
		return err
	case commit, inTx:
		tx, err := conn.Begin(ctx)
		if err != nil {
			return err
		}
		if _, err := tx.Exec(ctx, insert); err != nil {
			return err
		}
		return tx.Commit(ctx)
	}
	_, err := conn.Exec(ctx, insert)
	return err
}

// TestOutcomeOfEveryFault strikes at every point of a request's way. The caller
// must be told what the table says, and it must be true: after done the row is
// there, after not run it is not and does not appear later.
func TestOutcomeOfEveryFault(t *testing.T) {
	type strikePoint struct {
		proxy    func(*path) *proxy
		toServer bool
		pattern  string
		action   action
	}
	caller := func(p *path) *proxy { return p.caller }
	link := func(p *path) *proxy { return p.link }
	endpoint := func(p *path) *proxy { return p.endpoint }
	for _, tc := range []struct {
		name   string
		how    int
		strike strikePoint
		// prepare sets a fault that needs no proxy.
		prepare func(*path)
		want    string
		// then strikes a second time, after the first.
		then func(*path)
		// rows is the number of rows afterwards; -1 leaves it open.
		rows int
	}{
		{"caller cut before its statement arrives", autocommit, strikePoint{caller, true, "INSERT", cutBefore}, nil, toldLost, nil, 0},
		{"caller cut in the answer", autocommit, strikePoint{caller, false, "INSERT 0 1", cutBefore}, nil, toldLost, nil, 1},
		{"link down before send", autocommit, strikePoint{}, func(p *path) { p.link.setDown(true) }, toldNotRun, nil, 0},
		{"link cut in send", autocommit, strikePoint{link, true, "INSERT", cutBefore}, nil, toldUnknown, nil, 0},
		{"link cut after send", autocommit, strikePoint{link, true, "INSERT", cutAfter}, nil, toldUnknown, nil, -1},
		{"link cut in the answer", autocommit, strikePoint{link, false, "INSERT 0 1", cutBefore}, nil, toldUnknown, nil, 1},
		{"link silent after send", autocommit, strikePoint{link, true, "INSERT", silence}, nil, toldUnknown, nil, 0},
		{"link silent in the answer", extended, strikePoint{link, false, "INSERT 0 1", silence}, nil, toldUnknown, nil, 1},
		{"holder stops before send", autocommit, strikePoint{}, func(p *path) { p.stopHolder() }, toldNotRun, nil, 0},
		{"endpoint down before send", autocommit, strikePoint{}, func(p *path) { p.endpoint.setDown(true) }, toldNotRun, nil, 0},
		{"endpoint cut in send", autocommit, strikePoint{endpoint, true, "INSERT", cutBefore}, nil, toldUnknown, nil, 0},
		{"endpoint cut in send, extended", extended, strikePoint{endpoint, true, "hm_", cutBefore}, nil, toldUnknown, nil, 0},
		{"endpoint cut after send", autocommit, strikePoint{endpoint, true, "INSERT", cutAfter}, nil, toldUnknown, nil, -1},
		{"endpoint cut in the answer", autocommit, strikePoint{endpoint, false, "INSERT 0 1", cutBefore}, nil, toldUnknown, nil, 1},
		{"endpoint silent after send", autocommit, strikePoint{endpoint, true, "INSERT", silence}, nil, toldUnknown, nil, 0},
		{"endpoint silent in the answer", autocommit, strikePoint{endpoint, false, "INSERT 0 1", silence}, nil, toldUnknown, nil, 1},
		{"endpoint cut at BEGIN", commit, strikePoint{endpoint, true, "begin", cutBefore}, nil, toldUnknown, nil, 0},
		{"endpoint cut in a transaction", inTx, strikePoint{endpoint, true, "INSERT", cutBefore}, nil, toldUnknown, nil, 0},
		{"endpoint cut in a transaction's answer", inTx, strikePoint{endpoint, false, "INSERT 0 1", cutBefore}, nil, toldUnknown, nil, 0},
		{"endpoint cut before COMMIT arrives", commit, strikePoint{endpoint, true, "commit", cutBefore}, nil, toldUnknown, nil, 0},
		{"endpoint cut after COMMIT", commit, strikePoint{endpoint, false, "COMMIT", cutBefore}, nil, toldUnknown, nil, 1},
		{"link cut after COMMIT", commit, strikePoint{link, false, "COMMIT", cutBefore}, nil, toldUnknown, nil, 1},
		{"no replica confirms", autocommit, strikePoint{}, pauseReplicas, toldUnknown, nil, 1},
		{"no replica confirms COMMIT", commit, strikePoint{}, pauseReplicas, toldUnknown, nil, 1},
		{"request id, endpoint cut before its statement", withID, strikePoint{endpoint, true, "INSERT INTO t", cutBefore}, nil, toldDone, nil, 1},
		{"request id, endpoint cut in its statement's answer", withID, strikePoint{endpoint, false, "INSERT 0 1", cutBefore}, nil, toldDone, nil, 1},
		{"request id, endpoint cut before COMMIT arrives", withID, strikePoint{endpoint, true, "COMMIT", cutBefore}, nil, toldDone, nil, 1},
		{"request id, endpoint cut after COMMIT", withID, strikePoint{endpoint, false, "COMMIT", cutBefore}, nil, toldDone, nil, 1},
		{"request id, link cut in send", withID, strikePoint{link, true, "INSERT", cutBefore}, nil, toldDone, nil, 1},
		{"request id, link cut in the answer", withID, strikePoint{link, false, "INSERT 0 1", cutBefore}, nil, toldDone, nil, 1},
		{"request id, no replica confirms", withID, strikePoint{}, pauseReplicas, toldUnknown, nil, 1},
		{"request id, endpoint cut after COMMIT and gone", withID, strikePoint{endpoint, false, "COMMIT", cutBefore}, nil, toldUnknown, func(p *path) { p.endpoint.setDown(true) }, 1},
		{"endpoint closed its idle connections", autocommit, strikePoint{}, func(p *path) { p.endpoint.cutAll() }, toldDone, nil, 1},
		{"link closed while idle", autocommit, strikePoint{}, func(p *path) { p.link.cutAll() }, toldDone, nil, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			p := startPath(t)
			ctx := testContext(t)
			setup := connect(t, ctx, p.url(5*time.Second))
			mustExec(t, ctx, setup, "CREATE TABLE t (k text PRIMARY KEY, v int)")
			mustExec(t, ctx, setup, marked("warm", "INSERT INTO t (k, v) VALUES ('warm', 1)"))
			conn := connect(t, ctx, p.url(time.Second))
			mustExec(t, ctx, conn, "SELECT 1")
			if tc.prepare != nil {
				tc.prepare(p)
				time.Sleep(settle)
			}
			if tc.strike.proxy != nil {
				struck := tc.strike.proxy(p).arm(rule{toServer: tc.strike.toServer, pattern: tc.strike.pattern, action: tc.strike.action})
				second := make(chan struct{})
				go func() {
					defer close(second)
					<-struck
					if tc.then != nil {
						tc.then(p)
					}
				}()
				defer func() { <-second }()
			}
			err := run(ctx, conn, tc.how, "key")
			assert.Equal(t, told(err), tc.want, fmt.Sprint(err))
			if tc.rows >= 0 {
				assert.Equal(t, p.rows(t, "key"), tc.rows)
			}
		})
	}
}

func pauseReplicas(p *path) {
	for _, e := range p.replicas {
		e.PauseReplication(true)
	}
}
