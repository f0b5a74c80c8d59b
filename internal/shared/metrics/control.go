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

	term, leads, votes, voters prometheus.Gauge
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
	refused       *prometheus.CounterVec

	unfinishedAttempts, openCalls prometheus.Gauge
	orders, calls                 *prometheus.CounterVec
	behindPrimaries, interrupted  prometheus.Counter
	closings                      *prometheus.CounterVec
}

// CallOutcome is the outcome of a call that asks the platform for a promotion.
type CallOutcome string

// Outcomes of calls to the platform. With CallUnanswered the platform may still carry the
// call out.
const (
	CallAccepted   CallOutcome = "accepted"
	CallRefused    CallOutcome = "refused"
	CallUnanswered CallOutcome = "unanswered"
)

// NewControl returns the metrics of one control daemon, registered in their own registry.
func NewControl() *ControlSet {
	buckets := prometheus.ExponentialBuckets(0.001, 3, 9)
	s := &ControlSet{
		registry: prometheus.NewRegistry(),
		term:     gauge("control_term", "Term of the control group as this member knows it."),
		leads:    gauge("control_leads", "1 while this member leads the control group."),
		votes:    gauge("control_votes", "1 while this member of the control group has a vote, 0 while it is a learner."),
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
		refused:   counter("announcements_refused_total", "Announcements of endpoints that were refused.", "reason"),
	}
	s.promotionTime = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "promotion_seconds", Help: "Time of a promotion from its token to its record.",
		Buckets: []float64{0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30},
	})
	s.addAttempts()
	s.registry.MustRegister(
		s.term, s.leads, s.votes, s.voters, s.lossesBorne, s.silentVoters, s.revision, s.proposals, s.promotions, s.promotionTime,
		s.reports, s.positions, s.refused,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return s
}

// addAttempts adds the metrics of single attempts to replace a primary.
func (s *ControlSet) addAttempts() {
	s.unfinishedAttempts = gauge("attempts_unfinished",
		"Services whose last attempt to replace the primary may have left endpoints paused, as this member knows it.")
	s.openCalls = gauge("platform_calls_open",
		"Calls to the platform that may still be carried out, as this member knows it.")
	s.orders = counter("orders_total", "Orders sent to endpoints, by kind and outcome.", "order", "outcome")
	s.calls = counter("platform_calls_total", "Calls to the platform for a promotion, by outcome.", "outcome")
	s.behindPrimaries = singleCounter("primaries_behind_total",
		"New primaries whose log lacked a position that an endpoint had reported before.")
	s.closings = counter("acknowledgements_closed_total",
		"Promotions before which entries had to close acknowledgements, or to wait for a successor, by whether all known ones confirmed it.", "confirmed")
	s.interrupted = singleCounter("attempts_interrupted_total",
		"Attempts to replace a primary that ended because this member lost the lead or stopped.")
	s.registry.MustRegister(
		s.unfinishedAttempts, s.openCalls, s.orders, s.calls, s.behindPrimaries, s.closings, s.interrupted)
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

// Votes records whether this member has a vote.
func (s *ControlSet) Votes(votes bool) {
	s.votes.Set(0)
	if votes {
		s.votes.Set(1)
	}
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

// AnnouncementRefused counts an announcement that was refused. reason must be one of a fixed
// set, as it becomes a label value.
func (s *ControlSet) AnnouncementRefused(reason string) { s.refused.WithLabelValues(reason).Inc() }

// PositionQueried counts an entry's query for the log position of a primary.
func (s *ControlSet) PositionQueried(err error) { s.positions.WithLabelValues(outcomeLabel(err)).Inc() }

// Attempts records the numbers of unfinished attempts and of open calls in the replicated
// state.
func (s *ControlSet) Attempts(unfinished, openCalls int) {
	s.unfinishedAttempts.Set(float64(unfinished))
	s.openCalls.Set(float64(openCalls))
}

// OrderSent counts an order to an endpoint and whether it was answered. order must be one of
// a fixed set, as it becomes a label value.
func (s *ControlSet) OrderSent(order string, answered bool) {
	outcome := "unanswered"
	if answered {
		outcome = "answered"
	}
	s.orders.WithLabelValues(order, outcome).Inc()
}

// PlatformCalled counts a call to the platform.
func (s *ControlSet) PlatformCalled(outcome CallOutcome) {
	s.calls.WithLabelValues(string(outcome)).Inc()
}

// PrimaryBehind counts a new primary whose log lacks a position that an endpoint of the service
// had reported before. Commits up to that position that were acknowledged are lost.
func (s *ControlSet) PrimaryBehind() { s.behindPrimaries.Inc() }

// AcknowledgementsClosed counts a promotion before which entries had to close acknowledgements, or
// to wait for a successor to hold commits. byAll means that all known ones confirmed it in time.
func (s *ControlSet) AcknowledgementsClosed(byAll bool) {
	confirmed := "all"
	if !byAll {
		confirmed = "some"
	}
	s.closings.WithLabelValues(confirmed).Inc()
}

// AttemptInterrupted counts an attempt that ended because this member no longer led or stopped.
func (s *ControlSet) AttemptInterrupted() { s.interrupted.Inc() }
