package admission

const (
	// firstTriesPerRetry is the number of first tries that earn one retry.
	firstTriesPerRetry = 10
	// burstRetries is the number of retries that a budget can accumulate at
	// most, and with which a new budget starts.
	burstRetries = 10
)

// RetryBudget limits retries to a tenth of the first tries, so that retries
// cannot amplify an overload. In any period the granted retries are at most
// burstRetries plus a tenth of the first tries. It is not safe for concurrent
// use.
type RetryBudget struct {
	// credit is what remains for retries, in first tries.
	credit int
}

// NewRetryBudget returns a budget that allows burstRetries retries at once.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{credit: burstRetries * firstTriesPerRetry}
}

// FirstTry records a first try, which adds to the credit.
func (b *RetryBudget) FirstTry() {
	b.credit = min(b.credit+1, burstRetries*firstTriesPerRetry)
}

// Retry reports whether the budget allows a retry, and if so charges it.
func (b *RetryBudget) Retry() bool {
	if b.credit < firstTriesPerRetry {
		return false
	}
	b.credit -= firstTriesPerRetry
	return true
}
