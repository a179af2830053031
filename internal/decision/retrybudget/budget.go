// Package retrybudget holds the retry budget that the routers of a fleet share. It
// bounds how many requests of the edge program, streams or not, are sent to a
// second backend server as retries or hedges: while a failure affects every request,
// unbounded retries would multiply the load. Each router takes into account what its
// peers report of theirs. A budget by one router's own calls only is
// limit.RetryBudget.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// A window is counted in buckets, and the buckets of two windows are kept.
	buckets     = 10
	keptBuckets = 2 * buckets
	// peerWeight is the weight of the newest peer's counts in the moving average
	// over the peers; the counts of about seven peers arrive each second.
	peerWeight = 0.15
	// ownWeight is the weight of this router's counts in the average when it asks
	// for more than its part: it sees its own failures now, while those of the
	// peers arrive a second later.
	ownWeight = 0.15
	// A router may use up to borrowFactor times the mean router's budget while the
	// mean router uses less than borrowBelow of it. Failures hit routers unevenly:
	// two or three attempts fail at one router and none at most others.
	borrowBelow  = 0.5
	borrowFactor = 2.5
	// A router may not know its peers for discoveryTime after its start; until then
	// it divides the slack by at least minDiscoveryRouters.
	discoveryTime       = 3 * time.Second
	minDiscoveryRouters = 64
)

// Config bounds the retries of one router.
type Config struct {
	Ratio  float64 // retries for each first attempt
	Slack  float64 // retries in a window beyond the ratio, shared by all routers
	Window time.Duration
	// Routers returns the number of routers known to share the slack.
	Routers func() int
	// Lending means that routers lend each other retries on request. They then borrow nothing by
	// the mean of what peers report, which together with loans could exceed the budget.
	Lending bool
}

// Counts holds the attempts of one router in a window.
type Counts struct {
	FirstAttempts float64 `json:"Firsts"`
	Retries       float64 `json:"Repeats"`
}

// Budget is one router's view of the shared retry budget. It counts the attempts for
// each service over a sliding window, at this router and as its peers report them, and
// decides whether another retry is allowed.
type Budget struct {
	cfg     Config
	started time.Time

	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	peerMean      Counts // moving average of the counts that peers report
	firstAttempts [keptBuckets]int
	retries       [keptBuckets]int
	lent          [keptBuckets]int // retries lent to peers
	loans         []loan           // retries that peers lent to this router
	loansUsed     [keptBuckets]int // retries of loans that Allow gave
	newest        int64            // number of the newest bucket
}

// sum adds up the buckets of the window that ended the given number of buckets ago. A negative
// number means a window that ends later; nothing is counted in the buckets to come.
func (w *window) sum(counts *[keptBuckets]int, ago int64) int {
	sum := 0
	for age := max(ago, 0); age < ago+buckets; age++ {
		sum += counts[(w.newest-age)%keptBuckets]
	}
	return sum
}

// New returns a budget without counts.
func New(cfg Config, now time.Time) *Budget {
	return &Budget{cfg: cfg, started: now, services: make(map[string]*window)}
}

// RecordFirstAttempt counts the first attempt of a request.
func (b *Budget) RecordFirstAttempt(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	w.firstAttempts[w.newest%keptBuckets]++
}

// Allow takes one retry from the budget and reports whether there was one left. An
// attempt that its server rejects counts too. Retries are measured against the first
// attempts of the current window, of the one half a window earlier or of the one a
// whole window earlier, whichever has most.
func (b *Budget) Allow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	if own := b.counts(w, 0); own.Retries >= b.allowed(w, own, b.slack(1, now)) {
		return w.spendLoan(now)
	}
	w.retries[w.newest%keptBuckets]++
	return true
}

// NextAt returns when Allow has a retry if there are no more attempts until then: now, or the
// end of a bucket. It returns the zero time if there will be none.
func (b *Budget) NextAt(service string, now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	if w.borrowed(now) > 0 {
		return now
	}
	slack := b.slack(1, now)
	for ahead := range int64(buckets + loanBuckets + 1) {
		if own := b.counts(w, ahead); own.Retries >= b.allowed(w, own, slack) {
			continue
		}
		if ahead == 0 {
			return now
		}
		return b.bucketStart(w.newest + ahead)
	}
	return time.Time{}
}

// allowed returns the retries that this router may use in a window with its own counts and its part
// of the slack.
func (b *Budget) allowed(w *window, own Counts, slack float64) float64 {
	allowed := b.cfg.Ratio*own.FirstAttempts + slack
	if b.cfg.Lending {
		return allowed
	}
	if meanAllowed := b.cfg.Ratio*w.peerMean.FirstAttempts + slack; w.peerMean.FirstAttempts > 0 && w.peerMean.Retries+ownWeight*(own.Retries-w.peerMean.Retries) < borrowBelow*meanAllowed {
		return max(allowed, borrowFactor*meanAllowed)
	}
	return allowed
}

// Return gives back a retry that Allow gave at takenAt, and that was not sent. One of a loan is
// lost: its lender counts it.
func (b *Budget) Return(service string, takenAt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	bucket := b.bucketAt(takenAt)
	if bucket <= w.newest-keptBuckets || bucket > w.newest {
		return
	}
	switch i := bucket % keptBuckets; {
	case w.loansUsed[i] > 0: // it may be an own one, which stays counted then
		w.loansUsed[i]--
	case w.retries[i] > 0:
		w.retries[i]--
	}
}

// Demand returns this router's first attempts for a service in relation to those of the
// mean router: 1 if all have the same.
func (b *Budget) Demand(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service, now)
	own, peers := b.counts(w, 0).FirstAttempts, w.peerMean.FirstAttempts
	routers := float64(max(b.cfg.Routers(), 1))
	mean := (own + (routers-1)*peers) / routers
	// One attempt more keeps routers with few of them from extremes.
	return (own + 1) / (mean + 1)
}

// OwnCounts returns this router's counts by service, which it sends to peers.
func (b *Budget) OwnCounts(now time.Time) map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[string]Counts, len(b.services))
	for service := range b.services {
		own[service] = b.counts(b.currentWindow(service, now), 0)
	}
	return own
}

// MergePeerCounts adds a peer's counts to the moving average over the peers.
func (b *Budget) MergePeerCounts(counts map[string]Counts, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, c := range counts {
		w := b.currentWindow(service, now)
		w.peerMean.FirstAttempts += peerWeight * (c.FirstAttempts - w.peerMean.FirstAttempts)
		w.peerMean.Retries += peerWeight * (c.Retries - w.peerMean.Retries)
	}
}

// counts returns the retries of the window that ends the given number of buckets after the
// current one, and the first attempts that they are measured against.
//
// Routers that lend each other retries measure them against the first attempts of the same window:
// the largest of three windows of each router add up to more than that of all routers.
func (b *Budget) counts(w *window, ahead int64) Counts {
	firstAttempts := w.sum(&w.firstAttempts, -ahead)
	if !b.cfg.Lending {
		firstAttempts = max(firstAttempts, w.sum(&w.firstAttempts, buckets/2-ahead), w.sum(&w.firstAttempts, buckets-ahead))
	}
	return Counts{FirstAttempts: float64(firstAttempts), Retries: float64(w.sum(&w.retries, -ahead) + w.lentRetries(ahead))}
}

// slack returns this router's part of the shared slack among the routers that it knows of, or the
// given number if that is larger.
func (b *Budget) slack(routers int, now time.Time) float64 {
	routers = max(b.cfg.Routers(), routers, 1)
	if now.Sub(b.started) < discoveryTime {
		routers = max(routers, minDiscoveryRouters)
	}
	return b.cfg.Slack / float64(routers)
}

// bucketAt returns the number of the bucket at a time. Buckets are numbered from the start of this
// router, by the monotonic clock: after a step of the wall clock, no retry or all of them would be past.
func (b *Budget) bucketAt(at time.Time) int64 {
	return 2*keptBuckets + max(0, int64(at.Sub(b.started)/(b.cfg.Window/buckets)))
}

// bucketStart returns when a bucket begins.
func (b *Budget) bucketStart(bucket int64) time.Time {
	return b.started.Add(time.Duration(bucket-2*keptBuckets) * (b.cfg.Window / buckets))
}

// currentWindow returns the window of a service, advanced to now. The caller holds mu.
func (b *Budget) currentWindow(service string, now time.Time) *window {
	newest := b.bucketAt(now)
	w := b.services[service]
	if w == nil {
		w = &window{newest: newest}
		b.services[service] = w
	}
	for ; w.newest < newest; w.newest++ {
		if newest-w.newest > keptBuckets {
			w.newest = newest - keptBuckets
		}
		next := (w.newest + 1) % keptBuckets
		w.firstAttempts[next], w.retries[next], w.lent[next], w.loansUsed[next] = 0, 0, 0, 0
	}
	return w
}
