package limit

// maxBudget bounds the retries that a quiet time saves up.
const maxBudget = 20

// Budget allows retries or hedges as a share of the ordinary calls, so that they
// never multiply the load. It is not safe for concurrent use.
type Budget struct {
	Share float64
	left  float64
}

// NewBudget returns a full budget.
func NewBudget(share float64) *Budget { return &Budget{Share: share, left: maxBudget} }

// Deposit records an ordinary call.
func (b *Budget) Deposit() { b.left = min(b.left+b.Share, maxBudget) }

// Withdraw takes one retry and reports whether it is allowed.
func (b *Budget) Withdraw() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
