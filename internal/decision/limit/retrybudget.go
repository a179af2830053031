package limit

// maxBalance is the maximum number of retries that a RetryBudget saves up while
// there are no retries.
const maxBalance = 20

// RetryBudget limits the retries or the hedges of one router to a share of its own
// ordinary calls, so that they never multiply the load. It takes no account of other
// routers and is not safe for concurrent use. Package caller/service uses it for
// idempotent calls; the budget that the routers of a fleet share is
// retrybudget.Budget.
type RetryBudget struct {
	Share   float64 // retries allowed per ordinary call
	balance float64
}

// NewRetryBudget returns a budget with the maximum balance.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{Share: share, balance: maxBalance}
}

// Deposit records an ordinary call, which adds Share to the balance.
func (b *RetryBudget) Deposit() { b.balance = min(b.balance+b.Share, maxBalance) }

// Withdraw reports whether a retry is allowed, and if so subtracts it from the
// balance.
func (b *RetryBudget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
