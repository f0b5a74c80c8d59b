package fleetd

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	fleetpb "hemlockmast/api/fleet"
	"hemlockmast/internal/fleet/fleetctl"
	"hemlockmast/internal/fleet/fleetrpc"
	"hemlockmast/internal/proxy"
	"hemlockmast/internal/proxy/explanation"
	"hemlockmast/internal/proxy/fleetview"
	"hemlockmast/internal/proxy/hop"
	"hemlockmast/internal/shared/metrics"
	"hemlockmast/internal/shared/netopt"
	"hemlockmast/platform"
)

const (
	// settingsPollInterval is the interval at which the settings file is checked, because
	// the file may change without a signal to the daemon.
	settingsPollInterval = 2 * time.Second
	// defaultMaxLeavingWork applies where the settings do not name the time.
	defaultMaxLeavingWork = 5 * time.Second
	// headerTimeout bounds the time to read the header of a request to the HTTP servers.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request to the HTTP servers. Its longest part is
	// the id of an endpoint in the path.
	maxHeaderBytes = 16 << 10
	// acceptStaleAfter is the time after an entry's start from which it also accepts the
	// configuration of a control daemon that is not current. It is longer than an election,
	// and short enough for an entry that starts in a failure domain which is cut off from
	// the control group's majority.
	acceptStaleAfter = 3 * time.Second
	// shutdownTimeout bounds how long the HTTP servers finish requests in progress when the daemon
	// ends. It is a part of exitMargin.
	shutdownTimeout = 300 * time.Millisecond
	// exitMargin is the part of the grace time that is kept for the exit of the process
	// after connections are drained, or after a control daemon's place is given away.
	exitMargin = 500 * time.Millisecond
)

// Run runs the daemon with the settings s, read from the file at path, until ctx ends. It
// then stops the daemon within the grace time. An entry rereads the file when it changes and
// applies new seeds. Errors: those of fleetctl.Open and of opening a listener, or the error
// that stopped a part of the daemon.
func Run(ctx context.Context, path string, s *fleetpb.DaemonSettings, log logr.Logger) error {
	log = log.WithValues("daemon", s.Name)
	log.Info("daemon started", "role", s.Role, "failureDomain", s.FailureDomain, "seeds", s.Seeds, "mayFound", s.MayFound)
	defer log.Info("daemon stopped")
	if s.Role == RoleControl {
		return runControl(ctx, s, log)
	}
	return runEntry(ctx, path, s, log)
}

func controlPort(s *fleetpb.DaemonSettings) string { return strconv.Itoa(int(s.ControlPort)) }

func runControl(ctx context.Context, s *fleetpb.DaemonSettings, log logr.Logger) error {
	set := metrics.NewControl()
	// The daemon keeps running after ctx has ended, until its place is given away.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	node, err := fleetctl.Open(serving, fleetctl.Config{
		Name: s.Name, FailureDomain: s.FailureDomain, Address: s.Internal,
		Seeds:    fleetrpc.WithPort(s.Seeds, controlPort(s)),
		MayFound: s.MayFound, DataFolder: s.DataFolder,
		Heartbeat: time.Duration(s.HeartbeatMs) * time.Millisecond,
		Dialer:    platform.Dialer{Name: s.Name}, Texts: platform.Texts,
		Promoter: &platform.Promoter{Address: s.Promoter, Holder: s.Name, Client: fleetrpc.NewHTTPClient()},
		Metrics:  set,
		Log:      log,
	})
	if err != nil {
		return err
	}
	internal := http.NewServeMux()
	internal.Handle("GET /metrics", set.Handler())
	node.Register(internal)
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return node.Run(serving) })
	group.Go(func() error { return serveHTTP(serving, s.Internal, internal) })
	group.Go(func() error { return serveHTTP(serving, s.Operators, platform.Handler(node, log)) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}
		prepareCtx, cancel := context.WithTimeout(serving, time.Duration(s.GraceMs)*time.Millisecond-exitMargin)
		defer cancel()
		// Prepared or not, which is logged, the daemon has to end within the grace time.
		_ = node.PrepareStop(prepareCtx)
		stop()
		return nil
	})
	return group.Wait()
}

// serveHTTP serves HTTP at address until ctx ends.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := netopt.ListenConfig().Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	// The contexts of requests end with ctx, so that long polls do not hold up the others.
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	isShutDown := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(isShutDown)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	})
	err = server.Serve(listener)
	if stop() {
		return err
	}
	<-isShutDown
	return nil
}

func runEntry(ctx context.Context, path string, s *fleetpb.DaemonSettings, log logr.Logger) error {
	set := metrics.New()
	view := fleetview.New(log)
	follower := &fleetrpc.Follower{
		Name: s.Name, FailureDomain: s.FailureDomain, Carrier: s.Carrier, Sink: view, HTTP: fleetrpc.NewHTTPClient(), Log: log, AcceptStaleAfter: acceptStaleAfter,
	}
	follower.SetSeeds(fleetrpc.WithPort(s.Seeds, controlPort(s)))
	server := proxy.New(proxy.Config{
		Name: s.Name, FailureDomain: s.FailureDomain, View: view,
		Dialer: platform.Dialer{Name: s.Name}, Texts: platform.Texts, Reporter: follower, PositionSource: follower, Log: log,
		ControlLostFor: follower.LostFor, Carrier: s.Carrier, Metrics: set,
		MaxLeavingWork: maxLeavingWork(s), CrossDomainCost: time.Duration(s.CrossDomainCostMs) * time.Millisecond,
		QuotaWindow: time.Duration(s.QuotaWindowS * float64(time.Second)),
	})
	loans := hop.NewServer(server, log, set.Fault)
	internal := http.NewServeMux()
	internal.Handle("GET /metrics", set.Handler())
	internal.Handle("GET "+explanation.Path, explainHandler(server, log))
	listener, err := netopt.ListenConfig().Listen(ctx, "tcp", s.Callers)
	if err != nil {
		return err
	}
	// The servers keep running after ctx has ended, until the connections are drained.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { follower.Run(serving); return nil })
	group.Go(func() error { return serveHTTP(serving, s.Internal, internal) })
	group.Go(func() error { return serveHTTP(serving, s.Ready, platform.ReadyHandler(server.Ready)) })
	group.Go(func() error { server.WatchIsolation(serving); return nil })
	group.Go(func() error { server.WatchDistance(serving); return nil })
	accepting, refuseCallers := context.WithCancel(serving)
	defer refuseCallers()
	group.Go(func() error {
		return acceptConns(accepting, listener, func(conn net.Conn) { server.Serve(platform.NewCaller(conn)) }, log)
	})
	if s.Carrier != "" {
		lending, err := netopt.ListenConfig().Listen(ctx, "tcp", s.Carrier)
		if err != nil {
			stop()
			return errors.Join(err, group.Wait())
		}
		group.Go(func() error { return acceptConns(serving, lending, loans.Serve, log) })
	}
	group.Go(func() error {
		watchSettings(serving, path, log, func(n *fleetpb.DaemonSettings) {
			follower.SetSeeds(fleetrpc.WithPort(n.Seeds, controlPort(n)))
		})
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}
		grace := time.Duration(s.GraceMs) * time.Millisecond
		drainCtx, cancel := context.WithTimeout(serving, grace-exitMargin)
		defer cancel()
		follower.WithdrawCarrier()
		loans.StopLending()
		server.Drain(drainCtx, grace/2, refuseCallers)
		loans.Drain(drainCtx)
		stop()
		return nil
	})
	return group.Wait()
}

// maxLeavingWork returns how long an endpoint that leaves may get new work.
func maxLeavingWork(s *fleetpb.DaemonSettings) time.Duration {
	if s.DrainMs == 0 {
		return defaultMaxLeavingWork
	}
	return time.Duration(s.DrainMs) * time.Millisecond
}

// acceptConns serves incoming connections, each in its own goroutine, until ctx ends.
func acceptConns(ctx context.Context, listener net.Listener, serve func(net.Conn), log logr.Logger) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The process is probably out of file descriptors. Some are freed soon.
			log.Error(err, "cannot accept a connection", "address", listener.Addr().String())
			time.Sleep(20 * time.Millisecond)
			continue
		}
		go serve(conn)
	}
}

// watchSettings checks the settings file on SIGHUP and every settingsPollInterval until
// ctx ends, and calls onChange with the new settings if the file has changed. Invalid
// settings are logged and ignored.
func watchSettings(ctx context.Context, path string, log logr.Logger, onChange func(*fleetpb.DaemonSettings)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var last []byte
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			log.Error(err, "cannot read the settings file")
			continue
		}
		if last == nil {
			last = data
		}
		if bytes.Equal(data, last) {
			continue
		}
		last = data
		s, err := Parse(path, data)
		if err != nil {
			log.Error(err, "changed settings are invalid; keeping the current ones")
			continue
		}
		log.Info("applying changed settings", "seeds", s.Seeds)
		onChange(s)
	}
}
