// Package metrics holds the Prometheus collectors of the daemons. The number of label
// values is bounded: services, groups and slots come from the configuration in force, and
// names beyond a limit share one label value.
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	namespace = "hemlockmast"
	// maxLabelValues bounds the values of a label that holds names.
	maxLabelValues = 500
	// otherLabelValue is the label value of all names beyond maxLabelValues.
	otherLabelValue = "other"
)

// Outcome is the outcome of a request.
type Outcome uint8

// Outcomes. OutcomeAbandoned counts requests whose caller did not wait for the answer.
// Such a request is also counted by its other outcome.
const (
	OutcomeDone Outcome = iota
	OutcomeNotRun
	OutcomeUnknown
	OutcomeAbandoned
)

// String returns the label value.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "abandoned"
}

// Target is the role of the endpoint that served a read.
type Target uint8

// Targets of reads.
const (
	TargetReplica Target = iota
	TargetPrimary
)

// String returns the label value.
func (t Target) String() string {
	if t == TargetReplica {
		return "replica"
	}
	return "primary"
}

// Set holds the metrics of one daemon. It is safe for concurrent use.
type Set struct {
	registry *prometheus.Registry

	requests    *prometheus.CounterVec
	reads       *prometheus.CounterVec
	retries     *prometheus.CounterVec
	refused     *prometheus.CounterVec
	queueTime   *prometheus.HistogramVec
	latency     *prometheus.HistogramVec
	failoverGap *prometheus.HistogramVec
	connections *prometheus.GaugeVec
	connLimit   *prometheus.GaugeVec
	revision    prometheus.Gauge
	current     prometheus.Gauge
	floors      *prometheus.CounterVec
	loans       *prometheus.CounterVec
	faults      prometheus.Counter
	// The metrics of connections by workspace; see addConns.
	connEvents *prometheus.CounterVec
	connsHeld  *prometheus.GaugeVec
	missing    prometheus.Counter
	withheld   prometheus.Counter
	limits     limitMetrics

	load loadMetrics

	services, groups, slots, workspaces labelValues
}

// New returns the metrics of one daemon, registered in their own registry.
func New() *Set {
	s := &Set{registry: prometheus.NewRegistry()}
	s.addRequests()
	s.addGroups()
	s.addConns()
	s.addLoad()
	s.revision = gauge("config_revision", "Revision of the configuration in force.")
	s.faults = singleCounter("session_faults_total", "Sessions and streams ended by a fault of the program.")
	s.missing = singleCounter("acknowledged_commits_missing_total",
		"Primary records whose endpoint lacks a commit that this entry had seen acknowledged.")
	s.withheld = singleCounter("commits_withheld_total",
		"Commits whose success was not passed on to the caller, because their primary was being replaced.")
	s.current = gauge("config_current", "1 while the daemon has confirmed that its configuration is current.")
	s.addLimits()
	s.registry.MustRegister(
		s.requests, s.reads, s.retries, s.refused, s.queueTime, s.latency, s.floors, s.loans, s.faults, s.missing, s.withheld,
		s.failoverGap, s.connections, s.connLimit, s.revision, s.current,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return s
}

func (s *Set) addRequests() {
	s.requests = counter("requests_total", "Requests by service and outcome.", "service", "outcome")
	s.reads = counter("reads_total", "Reads outside transactions that write, by where they were served.", "service", "target")
	s.retries = counter("retries_total", "Retries by the proxy, granted or beyond the budget.", "service", "granted")
	s.refused = counter("refusals_total", "Refused requests by reason.", "service", "reason")
	s.loans = counter("loans_total", "Connections asked for at carriers, by what came of it.", "outcome")
	s.floors = counter("session_floors_total", "Session floors looked up, by what was found.", "found")
	s.queueTime = histogram("queue_seconds", "Time from arrival to admission.",
		prometheus.ExponentialBuckets(0.0001, 4, 9), "service")
	s.latency = histogram("request_seconds", "Time from arrival to the answer's end.",
		prometheus.ExponentialBuckets(0.0001, 4, 10), "service")
}

func (s *Set) addGroups() {
	s.failoverGap = histogram("failover_gap_seconds",
		"Time from the first suspicion of a primary to the first write acknowledged in the next term.",
		[]float64{0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30}, "group")
	s.connections = gaugeVec("endpoint_connections", "Connections to a slot, by state.", "group", "slot", "state")
	s.connLimit = gaugeVec("endpoint_connection_share", "Connections that this daemon may have to a slot.", "group", "slot")
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func singleCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	}, labels)
}

// Loan counts a request for a connection to a carrier, by outcome.
func (s *Set) Loan(outcome string) { s.loans.WithLabelValues(outcome).Inc() }

// CommitWithheld counts a commit whose success was not passed on to the caller.
func (s *Set) CommitWithheld() { s.withheld.Inc() }

// CommitMissing counts a primary record whose endpoint lacks an acknowledged commit.
func (s *Set) CommitMissing() { s.missing.Inc() }

// Fault counts a session or stream that ended by a panic.
func (s *Set) Fault() { s.faults.Inc() }

// Handler serves the metrics in the Prometheus text format.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Request records a request that ended after elapsed.
func (s *Set) Request(service string, outcome Outcome, elapsed time.Duration) {
	service = s.services.limit(service)
	s.requests.WithLabelValues(service, outcome.String()).Inc()
	s.latency.WithLabelValues(service).Observe(elapsed.Seconds())
}

// Read counts a read outside read-write transactions.
func (s *Set) Read(service string, target Target) {
	s.reads.WithLabelValues(s.services.limit(service), target.String()).Inc()
}

// Retry counts a wanted retry and whether the retry budget granted it.
func (s *Set) Retry(service string, granted bool) {
	label := "no"
	if granted {
		label = "yes"
	}
	s.retries.WithLabelValues(s.services.limit(service), label).Inc()
}

// Refused counts a refusal. reason must be one of a fixed set, never text from a caller,
// as it becomes a label value.
func (s *Set) Refused(service, reason string) {
	s.refused.WithLabelValues(s.services.limit(service), reason).Inc()
}

// Queued records the time that a request waited for admission.
func (s *Set) Queued(service string, waited time.Duration) {
	s.queueTime.WithLabelValues(s.services.limit(service)).Observe(waited.Seconds())
}

// Floor counts a look-up of a session's floor, the log position that its reads must have
// reached, and whether it was known.
func (s *Set) Floor(known bool) {
	label := "unknown"
	if known {
		label = "known"
	}
	s.floors.WithLabelValues(label).Inc()
}

// FailoverGap records a finished failover. gap is the time from the first suspicion of
// the primary to the first acknowledged write in the next term.
func (s *Set) FailoverGap(group string, gap time.Duration) {
	s.failoverGap.WithLabelValues(s.groups.limit(group)).Observe(gap.Seconds())
}

// Connections sets the numbers of this daemon's connections to a slot: those in use, those
// idle in the pool, those pinned to a caller, and the daemon's share, which is its limit.
func (s *Set) Connections(group, slot string, busy, idle, pinned, share int) {
	group, slot = s.groups.limit(group), s.slots.limit(slot)
	s.connections.WithLabelValues(group, slot, "busy").Set(float64(busy))
	s.connections.WithLabelValues(group, slot, "idle").Set(float64(idle))
	s.connections.WithLabelValues(group, slot, "pinned").Set(float64(pinned))
	s.connLimit.WithLabelValues(group, slot).Set(float64(share))
}

// Revision sets the configuration revision in force and whether the daemon has confirmed
// that it is current.
func (s *Set) Revision(revision uint64, current bool) {
	s.revision.Set(float64(revision))
	confirmed := 0.0
	if current {
		confirmed = 1
	}
	s.current.Set(confirmed)
}

// labelValues is the set of values that a label has had. No other lock is taken while mu
// is held.
type labelValues struct {
	mu   sync.RWMutex
	seen map[string]struct{}
}

// limit returns name, or otherLabelValue if name is new and the label already has
// maxLabelValues values.
func (n *labelValues) limit(name string) string {
	n.mu.RLock()
	_, ok := n.seen[name]
	n.mu.RUnlock()
	if ok {
		return name
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.seen[name]; ok {
		return name
	}
	if len(n.seen) >= maxLabelValues {
		return otherLabelValue
	}
	if n.seen == nil {
		n.seen = make(map[string]struct{})
	}
	n.seen[name] = struct{}{}
	return name
}
