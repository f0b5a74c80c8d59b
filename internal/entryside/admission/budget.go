package admission

const (
	// firstTriesPerRetry sets the budget: one retry for ten first tries.
	firstTriesPerRetry = 10
	// burstRetries bounds the retries that are saved up, and is what a new budget
	// starts with.
	burstRetries = 10
)

// RetryBudget keeps retries at a tenth of first tries, so that they cannot
// multiply an overload. Over any time the retries granted are at most
// burstRetries and a tenth of the first tries. It is not safe for concurrent
// use.
type RetryBudget struct {
	// credit counts first tries that were not used up by retries.
	credit int
}

// NewRetryBudget returns a budget with burstRetries retries.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{credit: burstRetries * firstTriesPerRetry}
}

// FirstTry records a first try.
func (b *RetryBudget) FirstTry() {
	b.credit = min(b.credit+1, burstRetries*firstTriesPerRetry)
}

// Retry reports whether a retry is within the budget, and takes it.
func (b *RetryBudget) Retry() bool {
	if b.credit < firstTriesPerRetry {
		return false
	}
	b.credit -= firstTriesPerRetry
	return true
}
