package retrybudget

import (
	"math"
	"slices"
	"time"
)

const (
	// LoanTime is how long a router may use the retries that a peer has lent it, or a bucket if
	// that is shorter.
	LoanTime = time.Second
	// loanBuckets is by how many buckets longer than its own a lender counts the retries that it
	// has lent: one for the time of the loan, and one since it may begin at the end of a bucket.
	loanBuckets = 2
	// lendFraction of what is left of its own retries is what a router lends at most at a time, so
	// that a failure that hits all routers finds some left at each.
	lendFraction = 0.5
)

// loan is a number of retries that a peer has lent.
type loan struct {
	retries int
	until   time.Time
}

// Lend takes up to n retries for a peer from this router's own share, and returns how many. The
// share is that by the number of routers that the peer knows of, if it is larger than this router's:
// a router that was cut off takes the whole slack for its own. What is lent counts as this router's
// until the peer can't use it any more and the window has passed, so the retries of all routers
// together stay within the budget even if the answer is lost.
func (b *Budget) Lend(service string, n, routers int, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	own := b.counts(w, 0)
	left := b.cfg.Ratio*own.FirstAttempts + b.slack(routers, now) - own.Retries
	lent := min(n, int(math.Ceil(lendFraction*math.Floor(left))))
	if lent <= 0 {
		return 0
	}
	w.lent[w.newest%keptBuckets] += lent
	return lent
}

// Left returns how many retries a router with the given counts has left, without its part of the
// slack.
func (b *Budget) Left(c Counts) float64 { return b.cfg.Ratio*c.FirstAttempts - c.Retries }

// AddLoan adds retries that a peer has lent in answer to a request that was sent at a time. Allow
// uses them once this router's own share is used up.
func (b *Budget) AddLoan(service string, n int, requestedAt, now time.Time) {
	until := requestedAt.Add(min(LoanTime, b.cfg.Window/buckets))
	if n <= 0 || !now.Before(until) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	at := len(w.loans)
	for at > 0 && w.loans[at-1].until.After(until) {
		at--
	}
	w.loans = slices.Insert(w.loans, at, loan{n, until})
}

// spendLoan uses a retry that a peer has lent, the one that ends first, and reports whether there
// was one.
func (w *window) spendLoan(now time.Time) bool {
	if w.borrowed(now) == 0 {
		return false
	}
	w.loans[0].retries--
	w.loansUsed[w.newest%keptBuckets]++
	return true
}

// borrowed drops the loans that have ended and returns how many retries are left of the others.
func (w *window) borrowed(now time.Time) int {
	for len(w.loans) > 0 && (w.loans[0].retries <= 0 || !now.Before(w.loans[0].until)) {
		w.loans = w.loans[1:]
	}
	sum := 0
	for _, l := range w.loans {
		sum += l.retries
	}
	return sum
}

// lentRetries returns the lent retries that count in the window that ends the given number of
// buckets after the current one.
func (w *window) lentRetries(ahead int64) int {
	sum := 0
	for age := int64(0); age < buckets+loanBuckets-ahead; age++ {
		sum += w.lent[(w.newest-age)%keptBuckets]
	}
	return sum
}
