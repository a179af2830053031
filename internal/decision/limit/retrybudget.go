package limit

// maxBudget bounds the retries that a quiet time saves up.
const maxBudget = 20

// RetryBudget allows retries or hedges as a share of the ordinary calls, so that they
// never multiply the load. It is not safe for concurrent use.
type RetryBudget struct {
	Share float64
	left  float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(share float64) *RetryBudget { return &RetryBudget{Share: share, left: maxBudget} }

// Deposit records an ordinary call.
func (b *RetryBudget) Deposit() { b.left = min(b.left+b.Share, maxBudget) }

// Withdraw takes one retry and reports whether it is allowed.
func (b *RetryBudget) Withdraw() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
