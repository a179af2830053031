package ratelimit_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/ratelimit"
)

var start = time.Unix(1_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// newTable returns the table of router-0 of n, which has run for a while.
func newTable(n int) *ratelimit.Table {
	var peers []string
	for i := 1; i < n; i++ {
		peers = append(peers, fmt.Sprintf("router-%d", i))
	}
	return ratelimit.New(ratelimit.Config{
		Self: "router-0", Peers: func(time.Time) []string { return peers }, Demand: func(string, time.Time) float64 { return 1 }, ContactTime: 3 * time.Second,
	}, start.Add(-time.Minute))
}

// sent returns how many of many requests are sent to a server between two moments.
func sent(t *ratelimit.Table, server string, from, to float64) int {
	n := 0
	for i := range int(100 * (to - from)) {
		if t.Take(server, "desk", at(from+float64(i)/100)) {
			n++
		}
	}
	return n
}

func TestServerWithoutALimitGetsAllRequests(t *testing.T) {
	g := NewWithT(t)
	table := newTable(6)
	table.ObserveAnswer("e1", 0, false, at(0), at(0.1))
	g.Expect(sent(table, "e1", 1, 2)).To(Equal(100))
	g.Expect(table.Report(16, true, at(2))).To(BeEmpty(), "servers without a limit are not kept")
}

func TestOneRouterUsesTheWholeLimit(t *testing.T) {
	for _, limit := range []float64{0.5, 2, 7.5, 40} {
		g := NewWithT(t)
		table := newTable(1)
		g.Expect(table.ObserveAnswer("e1", limit, true, at(0), at(0))).To(BeTrue())
		g.Expect(float64(sent(table, "e1", 0, 20))).To(BeNumerically("~", 20*limit, 2+limit/4), "%g a second", limit)
	}
}

func TestLimitEndsWithAnAnswerThatNamesNone(t *testing.T) {
	g := NewWithT(t)
	table := newTable(1)
	table.ObserveAnswer("e1", 0.2, true, at(0), at(1))
	g.Expect(table.ObserveAnswer("e1", 0, false, at(0.5), at(2))).To(BeFalse(), "its request is older than the limit")
	g.Expect(table.Limited("e1", at(2))).To(BeTrue())
	g.Expect(table.ObserveAnswer("e1", 0, false, at(1.5), at(3))).To(BeTrue())
	g.Expect(table.Limited("e1", at(3))).To(BeFalse())
	g.Expect(sent(table, "e1", 3, 4)).To(Equal(100))
	g.Expect(table.ObserveAnswer("e1", 0.2, true, at(3), at(5))).To(BeTrue(), "it names one again")
	g.Expect(table.Limited("e1", at(5))).To(BeTrue())
}

func TestLimitThatNoAnswerConfirmsExpires(t *testing.T) {
	g := NewWithT(t)
	table := newTable(1)
	table.ObserveAnswer("e1", 0, true, at(0), at(0))
	g.Expect(table.Limited("e1", at(299))).To(BeTrue())
	g.Expect(table.Limited("e1", at(301))).To(BeFalse())
	g.Expect(table.Report(16, true, at(301))).To(BeEmpty())
}

// The end of a limit of 0 could never be noticed.
func TestServerThatAcceptsNothingIsTriedNowAndThen(t *testing.T) {
	g := NewWithT(t)
	table := newTable(1)
	table.ObserveAnswer("e1", 0, true, at(0), at(0))
	g.Expect(sent(table, "e1", 0, 60)).To(BeNumerically("~", 6, 1))
}

func TestNextAtIsWhenARequestMayBeSent(t *testing.T) {
	g := NewWithT(t)
	table := newTable(1)
	table.ObserveAnswer("e1", 2, true, at(0), at(0))
	table.Take("e1", "desk", at(0))
	for table.Take("e1", "desk", at(10)) {
	}
	next := table.NextAt("e1", "desk", at(10))
	g.Expect(next).To(BeTemporally("~", at(10.5), time.Millisecond))
	g.Expect(table.Take("e1", "desk", next.Add(-time.Millisecond))).To(BeFalse())
	g.Expect(table.Take("e1", "desk", next)).To(BeTrue())
	g.Expect(table.NextAt("e2", "desk", at(10))).To(Equal(at(10)), "a server without a limit")
}

// The choice of an engine is repeated until it can be taken.
func TestWhatMayBeSentNowCanBeTaken(t *testing.T) {
	g := NewWithT(t)
	table := newTable(1)
	table.ObserveAnswer("e1", 5e6, true, at(0), at(0))
	for i := range 100_000 {
		now := at(1).Add(time.Duration(i))
		allowed := !table.NextAt("e1", "desk", now).After(now)
		g.Expect(table.Take("e1", "desk", now)).To(Equal(allowed))
	}
}

func TestMergeTakesTheNewest(t *testing.T) {
	limit := func(perSecond, seconds float64, lifted bool) ratelimit.Limit {
		return ratelimit.Limit{Server: "e1", PerSecond: perSecond, Lifted: lifted, At: at(seconds)}
	}
	for _, c := range []struct {
		name    string
		news    []ratelimit.Limit
		limited bool
		changed int
	}{
		{"a limit", []ratelimit.Limit{limit(2, 1, false)}, true, 1},
		{"the same again", []ratelimit.Limit{limit(2, 1, false), limit(2, 1.1, false), limit(2, 4, false)}, true, 1},
		{"its end", []ratelimit.Limit{limit(2, 1, false), limit(0, 2, true)}, false, 2},
		{"its end, and old news of it", []ratelimit.Limit{limit(0, 2, true), limit(2, 1, false)}, false, 1},
		{"from the future, without a name, negative or no number", []ratelimit.Limit{
			limit(2, 99, false), {PerSecond: 2, At: at(1)}, limit(-1, 1, false), limit(math.NaN(), 1, false),
			{Server: strings.Repeat("e", 200), PerSecond: 1, At: at(1)}}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := newTable(6)
			changed := 0
			for _, l := range c.news {
				if table.Merge([]ratelimit.Limit{l}, at(5)) {
					changed++
				}
			}
			g.Expect(table.Limited("e1", at(5))).To(Equal(c.limited))
			g.Expect(changed).To(Equal(c.changed))
		})
	}
}

// Any host may send datagrams.
func TestTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := newTable(6)
	for i := range 5000 {
		table.Merge([]ratelimit.Limit{{Server: fmt.Sprintf("e%d", i), PerSecond: 1, At: at(float64(i) / 1000)}}, at(6))
	}
	g.Expect(table.Limits(at(6))).To(HaveLen(1024))
	g.Expect(table.Limited("e4999", at(6))).To(BeTrue())
	g.Expect(table.Report(16, true, at(6))).To(HaveLen(16))
	g.Expect(table.Report(16, false, at(60))).To(BeEmpty(), "old news")
}

func TestABurstGetsWhatALimitLeftUnused(t *testing.T) {
	for _, limit := range []float64{0.3, 1, 2.5, 10} {
		g := NewWithT(t)
		table := newTable(1)
		table.ObserveAnswer("e1", limit, true, at(0), at(0))
		sent(table, "e1", 0, 1)
		burst := sent(table, "e1", 60, 64)
		g.Expect(float64(burst)).To(BeNumerically(">", 4*limit+3), "%g a second", limit)
		g.Expect(float64(burst)).To(BeNumerically("<=", 1.5*4*limit+5), "%g a second", limit)
	}
}
