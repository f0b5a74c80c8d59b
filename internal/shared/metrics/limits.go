package metrics

import "github.com/prometheus/client_golang/prometheus"

// LimitScope is the part of a workspace's limit that tokens or admissions belong to.
type LimitScope string

// Scopes: the limit over all entries, the fallback share of a failure domain, that of an entry, and an
// entry's recent use.
const (
	LimitOfAll    LimitScope = "all"
	LimitOfDomain LimitScope = "domain"
	LimitOfEntry  LimitScope = "entry"
	LimitOfRecent LimitScope = "recent"
)

// limitMetrics are the metrics of the workspaces' limits.
type limitMetrics struct {
	granted, refused, fallback, changes *prometheus.CounterVec
}

func (s *Set) addLimits() {
	s.limits = limitMetrics{
		granted: counter("limit_tokens_granted_total", "Tokens of workspaces' limits that this entry granted, its own included.", "scope"),
		refused: counter("limit_refusals_total", "Operations refused because of their workspace's limit.", "workspace"),
		fallback: counter("limit_fallback_admissions_total",
			"Operations admitted from a fallback share because the workspace's granter did not answer.", "scope"),
		changes: counter("limit_granter_changes_total", "Workspaces whose granter this entry became or no longer is.", "change"),
	}
	s.registry.MustRegister(s.limits.granted, s.limits.refused, s.limits.fallback, s.limits.changes)
}

// TokensGranted counts tokens that this entry granted.
func (s *Set) TokensGranted(scope LimitScope, n int) {
	s.limits.granted.WithLabelValues(string(scope)).Add(float64(n))
}

// LimitRefused counts an operation that was refused because of its workspace's limit.
func (s *Set) LimitRefused(workspace string) {
	s.limits.refused.WithLabelValues(s.workspaces.limit(workspace)).Inc()
}

// FallbackAdmitted counts an operation that was admitted from a fallback share.
func (s *Set) FallbackAdmitted(scope LimitScope) {
	s.limits.fallback.WithLabelValues(string(scope)).Inc()
}

// GranterChanged counts workspaces whose granter this entry became or no longer is.
func (s *Set) GranterChanged(gained, lost int) {
	s.limits.changes.WithLabelValues("gained").Add(float64(gained))
	s.limits.changes.WithLabelValues("lost").Add(float64(lost))
}
