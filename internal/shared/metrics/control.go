package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// ControlSet holds the metrics of one control daemon. It is safe for concurrent use.
type ControlSet struct {
	registry *prometheus.Registry

	term, leads, voters prometheus.Gauge
	// lossesBorne has a series only while this member leads.
	lossesBorne *prometheus.GaugeVec
	// silentVoters has a series for each voter that the leader does not hear.
	silentVoters  *prometheus.GaugeVec
	revision      prometheus.Gauge
	proposals     *prometheus.HistogramVec
	promotions    *prometheus.CounterVec
	promotionTime prometheus.Histogram
	reports       *prometheus.CounterVec
	positions     *prometheus.CounterVec
}

// NewControl returns the metrics of one control daemon, registered in their own registry.
func NewControl() *ControlSet {
	buckets := prometheus.ExponentialBuckets(0.001, 3, 9)
	s := &ControlSet{
		registry: prometheus.NewRegistry(),
		term:     gauge("control_term", "Term of the control group as this member knows it."),
		leads:    gauge("control_leads", "1 while this member leads the control group."),
		voters:   gauge("control_voters", "Members of the control group that vote."),
		lossesBorne: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "control_losses_borne",
			Help: "Voters that may still be lost before the control group stops, as its leader knows it.",
		}, nil),
		silentVoters: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "control_voter_silent_seconds",
			Help: "Time for which a voter has not answered the leader, for voters that count as lost.",
		}, []string{"voter"}),
		revision:  gauge("config_revision", "Revision of the configuration agreed on."),
		proposals: histogram("control_proposal_seconds", "Time from a proposal to its outcome.", buckets, "outcome"),
		promotions: counter("promotions_total", "Promotions that this member attempted, by reason and outcome.",
			"reason", "outcome"),
		reports:   counter("endpoint_reports_total", "Reports of entries against endpoints.", "suspicion"),
		positions: counter("positions_total", "Questions of entries for a primary's position.", "outcome"),
	}
	s.promotionTime = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "promotion_seconds", Help: "Time of a promotion from its token to its record.",
		Buckets: []float64{0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30},
	})
	s.registry.MustRegister(
		s.term, s.leads, s.voters, s.lossesBorne, s.silentVoters, s.revision, s.proposals, s.promotions, s.promotionTime, s.reports, s.positions,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return s
}

// Handler serves the metrics in the Prometheus text format.
func (s *ControlSet) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Member records the state of the control group as this member knows it: the term,
// whether this member is the leader, the number of voters and the revision of the
// configuration.
func (s *ControlSet) Member(term uint64, leads bool, voters int, revision uint64) {
	s.term.Set(float64(term))
	s.leads.Set(0)
	if leads {
		s.leads.Set(1)
	}
	s.voters.Set(float64(voters))
	s.revision.Set(float64(revision))
}

// LossesBorne records how many more voters may be lost before the control group stops, and
// for how long each silent voter has not answered. Only the leader knows.
func (s *ControlSet) LossesBorne(n int, silent map[string]time.Duration) {
	s.lossesBorne.WithLabelValues().Set(float64(n))
	s.silentVoters.Reset()
	for voter, since := range silent {
		s.silentVoters.WithLabelValues(voter).Set(since.Seconds())
	}
}

// LossesUnknown removes what LossesBorne recorded, when this member no longer leads.
func (s *ControlSet) LossesUnknown() {
	s.lossesBorne.Reset()
	s.silentVoters.Reset()
}

// outcomeLabel returns the value of an outcome label.
func outcomeLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// Proposed records a proposal that ended after elapsed with err.
func (s *ControlSet) Proposed(elapsed time.Duration, err error) {
	s.proposals.WithLabelValues(outcomeLabel(err)).Observe(elapsed.Seconds())
}

// Promoted records an attempted promotion that ended after elapsed with err. reason must
// be one of a fixed set, as it becomes a label value.
func (s *ControlSet) Promoted(reason string, elapsed time.Duration, err error) {
	s.promotions.WithLabelValues(reason, outcomeLabel(err)).Inc()
	if err == nil {
		s.promotionTime.Observe(elapsed.Seconds())
	}
}

// Reported counts an entry's report of a suspicion against an endpoint.
func (s *ControlSet) Reported(suspicion string) { s.reports.WithLabelValues(suspicion).Inc() }

// PositionQueried counts an entry's query for the log position of a primary.
func (s *ControlSet) PositionQueried(err error) { s.positions.WithLabelValues(outcomeLabel(err)).Inc() }
