package retrybudget_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/decision/retrybudget"
)

// The rule of the users: retries for each request, plus a number for all routers.
const (
	maxRetryRatio = 0.8
	maxRetrySlack = 150
	usedShare     = 0.85 // as the edge program sets it
	earlierShare  = 0.7  // as it set it without loans, which count exactly
)

// An answer to a request for retries may be lost, and the borrower may use what it got up to
// LoanTime later: the lender alone decides what both use.
func TestALoanCountsAtTheLenderUntilItCannotBeUsed(t *testing.T) {
	g := NewWithT(t)
	b := retrybudget.New(config, time.Unix(0, 0))
	now := time.Unix(100, 0)
	for range 8 {
		b.RecordFirstAttempt("desk", now)
	}
	g.Expect(b.Lend("desk", 10, 1, now)).To(Equal(4), "half of the eight that are left")
	g.Expect(b.Lend("desk", 10, 1, now)).To(Equal(2))
	allowed := 0
	for b.Allow("desk", now) {
		allowed++
	}
	g.Expect(allowed).To(Equal(2))
	g.Expect(b.Lend("desk", 1, 1, now)).To(BeZero())
	g.Expect(b.OwnCounts(now.Add(10 * time.Second))["desk"].Retries).To(BeEquivalentTo(6))
	g.Expect(b.OwnCounts(now.Add(12 * time.Second))["desk"].Retries).To(BeZero())
}

func TestALoanIsUsedAfterTheOwnShareAndEnds(t *testing.T) {
	g := NewWithT(t)
	b := retrybudget.New(config, time.Unix(0, 0))
	now := time.Unix(100, 0)
	for b.Allow("desk", now) {
	}
	b.AddLoan("desk", 2, now, now.Add(10*time.Millisecond))
	g.Expect(b.NextAt("desk", now)).To(Equal(now))
	g.Expect(b.Allow("desk", now.Add(20*time.Millisecond))).To(BeTrue())
	g.Expect(b.OwnCounts(now)["desk"].Retries).To(BeEquivalentTo(4), "the lender counts it")
	g.Expect(b.Allow("desk", now.Add(retrybudget.LoanTime))).To(BeFalse())
	b.AddLoan("desk", 2, now, now.Add(retrybudget.LoanTime))
	g.Expect(b.Allow("desk", now.Add(retrybudget.LoanTime))).To(BeFalse(), "the answer came too late")
}

// Whatever is lent, lost or used late: two routers never use more than both shares in a window.
func TestLoansDoNotRaiseTheBudgetOfTwoRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := retrybudget.Config{Ratio: 0, Slack: 20, Window: 10 * time.Second, Lending: true, Routers: func() int { return 2 }}
		fleet := []*retrybudget.Budget{retrybudget.New(cfg, time.Unix(0, 0)), retrybudget.New(cfg, time.Unix(0, 0))}
		now := time.Unix(100, 0)
		var used []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "router")
			if rapid.Bool().Draw(t, "lend") {
				n := fleet[1-i].Lend("desk", rapid.IntRange(0, 9).Draw(t, "n"), 2, now)
				delay := time.Duration(rapid.IntRange(0, 1200).Draw(t, "delay")) * time.Millisecond
				if rapid.Bool().Draw(t, "arrives") {
					fleet[i].AddLoan("desk", n, now, now.Add(delay))
				}
			} else if fleet[i].Allow("desk", now) {
				used = append(used, now)
			}
		}
		for _, end := range used {
			// Own retries are counted in buckets, which may end up to one bucket before the window.
			count := 0
			for _, at := range used {
				if !at.After(end) && at.After(end.Add(-9*time.Second)) {
					count++
				}
			}
			if count > 20 {
				t.Fatalf("%d retries in a window", count)
			}
		}
	})
}

// lostStream waits for a retry since it lost its engine.
type lostStream struct {
	router int
	since  time.Time
}

// crashes plays a fleet whose engines crash in groups every 3 s, with a fraction of the running streams,
// so that the fleet needs most of its budget. Routers that have no retry left ask three peers, some of which do not answer. It
// returns how long streams waited for a retry, the most that the fleet used of its budget, and
// how many streams still waited at the end.
func crashes(n int, lostFraction float64, lends bool) (waits []time.Duration, most float64, waiting int) {
	const step = 10 * time.Millisecond
	const streamTime = 6 * time.Second
	r := rand.New(rand.NewPCG(7, uint64(n)))
	share := earlierShare
	if lends {
		share = usedShare
	}
	cfg := retrybudget.Config{Ratio: share * maxRetryRatio, Slack: share * maxRetrySlack, Window: 10 * time.Second, Lending: lends, Routers: func() int { return n }}
	start := time.Unix(100, 0)
	var fleet []*retrybudget.Budget
	for range n {
		fleet = append(fleet, retrybudget.New(cfg, start.Add(-time.Minute)))
	}
	running := make([][]time.Time, n) // when they end
	var lost []lostStream
	askedAt := make([]time.Time, n)
	var firsts, retries []time.Time
	for now := start; now.Before(start.Add(45 * time.Second)); now = now.Add(step) {
		elapsed := now.Sub(start)
		for i, b := range fleet {
			demand := 0.8 + 1.7*float64(i%7)/6 // streams a second, 1.65 on average
			if r.Float64() < demand*step.Seconds() {
				b.RecordFirstAttempt("engines", now)
				firsts = append(firsts, now)
				running[i] = append(running[i], now.Add(streamTime))
			}
			var still []time.Time
			for _, end := range running[i] {
				switch {
				case elapsed%(3*time.Second) == 0 && elapsed > 0 && r.Float64() < lostFraction:
					lost = append(lost, lostStream{i, now})
				case end.After(now):
					still = append(still, end)
				}
			}
			running[i] = still
		}
		var left []lostStream
		for _, s := range lost {
			b := fleet[s.router]
			if !b.Allow("engines", now) {
				left = append(left, s)
				if lends && now.Sub(askedAt[s.router]) >= 50*time.Millisecond {
					askedAt[s.router] = now
					for range 3 {
						if lender := r.IntN(n); lender != s.router && r.Float64() > 0.05 {
							if got := fleet[lender].Lend("engines", 3, n, now); r.Float64() > 0.05 {
								b.AddLoan("engines", got, now, now.Add(5*time.Millisecond))
							}
						}
					}
				}
				continue
			}
			retries = append(retries, now)
			waits = append(waits, now.Sub(s.since))
			running[s.router] = append(running[s.router], now.Add(streamTime/2))
		}
		lost = left
	}
	within := func(times []time.Time, end time.Time) float64 {
		before := func(at time.Time) int { return sort.Search(len(times), func(i int) bool { return times[i].After(at) }) }
		return float64(before(end) - before(end.Add(-cfg.Window)))
	}
	for end := start; end.Before(start.Add(45 * time.Second)); end = end.Add(step) {
		most = max(most, within(retries, end)/(maxRetryRatio*within(firsts, end)+maxRetrySlack))
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits, most, len(lost)
}

// Streams waited for seconds for a retry at routers whose share was used up, while the fleet had
// used three quarters of its budget.
func TestRetriesOfTheFleetReachTheRoutersThatLostTheirEngines(t *testing.T) {
	// The constant part of the budget is small for 340 routers, so it bears fewer losses.
	for n, lostFraction := range map[int]float64{36: 0.26, 340: 0.22} {
		t.Run(fmt.Sprint(n, " routers"), func(t *testing.T) {
			g := NewWithT(t)
			before, _, _ := crashes(n, lostFraction, false)
			waits, most, waiting := crashes(n, lostFraction, true)
			at := func(waits []time.Duration, quantile float64) time.Duration {
				return waits[int(quantile*float64(len(waits)-1))]
			}
			t.Logf("90 %% of %d streams within %v, 90 %% of %d without loans within %v, %.2f of the budget, %d still wait", len(waits), at(waits, 0.9), len(before), at(before, 0.9), most, waiting)
			g.Expect(at(before, 0.9)).To(BeNumerically(">", 500*time.Millisecond), "the play needs loans")
			g.Expect(at(waits, 0.9)).To(BeNumerically("<", 500*time.Millisecond), "pauses of 700 ms include the detection and the resume")
			g.Expect(waiting).To(BeNumerically("<", len(waits)/20))
			g.Expect(most).To(BeNumerically("<=", 1))
		})
	}
}
