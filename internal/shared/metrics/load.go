package metrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// loadMetrics are the metrics of decisions that depend on the load of endpoints.
type loadMetrics struct {
	queueRefused *prometheus.CounterVec
	avoided      prometheus.Gauge
	awayShare    *prometheus.GaugeVec
	priorities   labelValues
}

func (s *Set) addLoad() {
	s.load.queueRefused = counter("queue_refusals_total",
		"Statements refused at once because of the expected wait for their turn, by priority.", "priority")
	s.load.avoided = gauge("endpoints_avoided", "Endpoints that get no reads but probes, because they fail statements.")
	s.load.awayShare = gaugeVec("reads_away_share", "Share of a service's reads sent to other failure domains by choice.", "service")
	s.registry.MustRegister(s.load.queueRefused, s.load.avoided, s.load.awayShare)
}

// QueueRefused counts a statement that was refused because of its expected wait.
func (s *Set) QueueRefused(priority int32) {
	s.load.queueRefused.WithLabelValues(s.load.priorities.limit(strconv.Itoa(int(priority)))).Inc()
}

// EndpointsAvoided sets how many endpoints are avoided.
func (s *Set) EndpointsAvoided(n int) { s.load.avoided.Set(float64(n)) }

// AwayShare sets the share of a service's reads that leave the failure domain by choice.
func (s *Set) AwayShare(service string, share float64) {
	s.load.awayShare.WithLabelValues(s.services.limit(service)).Set(share)
}
