package confspread

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	configpb "hemlockmast/api/configstate"
	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/spreadstate"
)

const (
	// crossDomainDelay is the round trip time between failure domains.
	crossDomainDelay = time.Millisecond
	// idlePeriod is how long the idle cost, without publications, is measured.
	idlePeriod = 10 * time.Second
)

// BenchmarkSpread runs daemons, relays and control in one process over TCP on
// loopback. Calls to control take crossDomainDelay longer, and so does the
// replicated log of the control group, which is a fake. An operation is one
// publication that changes one service; it ends when all daemons run it. The
// benchmark reports quantiles of that time and the cost of an idle daemon, which
// includes both ends of its connections and its share of relay and control.
//
//	go test -run '^$' -bench Spread -benchtime 50x ./internal/configuration/confspread
func BenchmarkSpread(b *testing.B) {
	sizes := []struct{ domains, perDomain, groups int }{
		{4, 0, 3}, {12, 10, 533}, {12, 25, 533}, {12, 50, 533}, {12, 100, 533},
	}
	for _, topology := range []string{"relays", "direct"} {
		for _, size := range sizes {
			members := benchMembers(size.domains, size.perDomain)
			b.Run(fmt.Sprintf("%s/daemons=%d", topology, len(members)), func(b *testing.B) {
				benchmarkSpread(b, topology, members, size.groups)
			})
		}
	}
}

// benchMembers returns perDomain daemons in each domain. When perDomain is 0, it
// returns nine daemons in all.
func benchMembers(domains, perDomain int) []spreadstate.Member {
	var members []spreadstate.Member
	for d := range domains {
		n := perDomain
		if n == 0 {
			n = (9 + domains - 1 - d) / domains
		}
		for i := range n {
			name := fmt.Sprintf("fd%d-%d", d, i)
			members = append(members, spreadstate.Member{
				Name: name, FailureDomain: fmt.Sprint("fd", d), Live: true,
			})
		}
	}
	return members
}

// benchConfiguration returns groups with three databases, slots and services
// each. Each round gives one service another concurrency.
func benchConfiguration(groups, round int) *service.Configuration {
	cfg := &service.Configuration{}
	for g := range groups {
		name := fmt.Sprintf("group-%04d", g)
		group := &service.Group{Name: name}
		for i := range 3 {
			database := fmt.Sprintf("%s-db%d", name, i)
			group.Databases = append(group.Databases, database)
			group.Slots = append(group.Slots, &service.Slot{
				Name: fmt.Sprint("s", i), FailureDomain: fmt.Sprint("fd", (g+i)%12), ConnectionLimit: 45,
			})
			cfg.Services = append(cfg.Services, &service.Service{
				Name: fmt.Sprintf("%s-service%d", name, i), Group: name,
				Databases: []string{database}, Users: []string{database + "-user"},
				ReadLevel:      service.ReadLevel_READ_LEVEL_SESSION,
				ReadPreference: service.ReadPreference_READ_PREFERENCE_REPLICAS,
				DefaultAccess:  service.AccessMode_ACCESS_MODE_READ_WRITE,
				Deadline:       durationpb.New(time.Second), Priority: 5, Concurrency: 64, QueueLength: 32,
				Connections: &service.ConnectionNeeds{Min: 2, Max: 20},
			})
		}
		cfg.Groups = append(cfg.Groups, group)
	}
	cfg.Services[0].Concurrency += uint32(round)
	return cfg
}

// slowAgreement delays each call by the round trip within a control group.
type slowAgreement struct{ fakeAgreement }

func (a *slowAgreement) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	time.Sleep(crossDomainDelay)
	return a.fakeAgreement.Propose(ctx, cmd)
}

func (a *slowAgreement) ReadBarrier(ctx context.Context) error {
	time.Sleep(crossDomainDelay)
	return a.fakeAgreement.ReadBarrier(ctx)
}

// meter counts the bytes of all servers and the requests to control.
type meter struct{ bytes, controlRequests atomic.Int64 }

type meteredListener struct {
	net.Listener
	meter *meter
}

func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return meteredConn{conn, l.meter}, err
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// serve runs mux on loopback until the benchmark ends.
func (m *meter) serve(b *testing.B, mux http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{Handler: mux}
	go server.Serve(meteredListener{listener, m})
	b.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// delayedTransport delays requests to one address by crossDomainDelay.
type delayedTransport struct {
	next http.RoundTripper
	addr string
}

func (t delayedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Host == t.addr {
		time.Sleep(crossDomainDelay)
	}
	return t.next.RoundTrip(request)
}

// benchSystem is a running control process with its daemons.
type benchSystem struct {
	meter   *meter
	control *Control
	state   *StateMachine
	daemons []*Daemon
}

func startBench(b *testing.B, topology string, members []spreadstate.Member) *benchSystem {
	s := &benchSystem{meter: &meter{}, state: NewStateMachine()}
	agreement := &slowAgreement{fakeAgreement{state: s.state}}
	s.control = NewControl(ControlOptions{ReplicatedLog: agreement, State: s.state,
		Members: StaticMembers(nil), Now: time.Now, Log: logr.Discard()})
	mux := http.NewServeMux()
	s.control.Register(mux)
	controlAt := s.meter.serve(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.meter.controlRequests.Add(1)
		mux.ServeHTTP(w, r)
	}))
	muxes := make([]*http.ServeMux, len(members))
	for i := range members {
		muxes[i] = http.NewServeMux()
		members[i].Addr = s.meter.serve(b, muxes[i])
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i, member := range members {
		known := StaticMembers(members)
		if topology == "direct" {
			known = StaticMembers{member}
		}
		d := NewDaemon(Options{Self: member, Control: []string{controlAt}, Members: known,
			Peers: NewHTTPPeers(delayedTransport{&http.Transport{}, controlAt}, false),
			Now:   time.Now, Log: logr.Discard()})
		d.Register(muxes[i])
		s.daemons = append(s.daemons, d)
		group.Go(func() { d.Run(ctx) })
	}
	b.Cleanup(func() { cancel(); group.Wait() })
	return s
}

// publish publishes the configuration of a round and returns the time until all
// daemons run it.
func (s *benchSystem) publish(b *testing.B, groups, round int) time.Duration {
	cfg := benchConfiguration(groups, round)
	sentAt := time.Now()
	response, err := s.control.Publish(context.Background(), &confspread.PublishRequest{
		Change:       &configpb.Change{Id: fmt.Sprint("c", round), Author: "bench"},
		BaseRevision: uint64(round), Configuration: cfg,
	})
	assert.NilError(b, err)
	revision := response.GetAccepted().GetRevision()
	assert.Equal(b, revision, uint64(round+1), "%v", response)
	for _, d := range s.daemons {
		for {
			changed := d.Changed()
			if d.Configuration().GetRevision() >= revision {
				break
			}
			<-changed
		}
	}
	return time.Since(sentAt)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkSpread(b *testing.B, topology string, members []spreadstate.Member, groups int) {
	s := startBench(b, topology, members)
	s.publish(b, groups, 0)
	var times []time.Duration
	b.ResetTimer()
	for round := 1; b.Loop(); round++ {
		times = append(times, s.publish(b, groups, round))
		// The pause lets the daemons poll again before the next publication.
		time.Sleep(50 * time.Millisecond)
	}
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(milliseconds(times[len(times)/2]), "p50-ms")
	b.ReportMetric(milliseconds(times[(len(times)*99+99)/100-1]), "p99-ms")
	reportIdle(b, s, len(members))
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func reportIdle(b *testing.B, s *benchSystem, daemons int) {
	time.Sleep(time.Second)
	bytes, requests, usedBefore := s.meter.bytes.Load(), s.meter.controlRequests.Load(), cpuTime()
	startedAt := time.Now()
	time.Sleep(idlePeriod)
	period := time.Since(startedAt).Seconds()
	perDaemon := period * float64(daemons)
	b.ReportMetric(float64(s.meter.bytes.Load()-bytes)/perDaemon, "B/s/daemon")
	b.ReportMetric(float64(s.meter.controlRequests.Load()-requests)/period, "control-requests/s")
	b.ReportMetric(100*(cpuTime()-usedBefore).Seconds()/perDaemon, "%core/daemon")
}
