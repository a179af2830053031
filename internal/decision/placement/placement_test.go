package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/decision/placement"
)

func names(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("router-%d", i))
	}
	return all
}

func TestOnlyTheKeysOfALostRouterGetANewOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(2, 20).Draw(t, "routers"))
		lost := rapid.SampledFrom(all).Draw(t, "lost")
		var remaining []string
		for _, name := range all {
			if name != lost {
				remaining = append(remaining, name)
			}
		}
		for i := range 50 {
			key := fmt.Sprintf("engine-%d", i)
			before := placement.Rendezvous(key, all)
			after := placement.Owner(key, remaining)
			if before[0] != lost && after != before[0] || before[0] == lost && after != before[1] {
				t.Fatalf("owner of %s went from %v to %s", key, before[:2], after)
			}
		}
	})
}

func TestKeysAreSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	count := make(map[string]int)
	for i := range 6000 {
		count[placement.Owner(fmt.Sprintf("engine-%d", i), names(10))]++
	}
	for _, n := range count {
		g.Expect(n).To(BeNumerically("~", 600, 120))
	}
}

func TestEachFailureDoublesTheBackoffOfASuspect(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	suspects := placement.NewSuspects()
	for _, backoff := range []time.Duration{2, 4, 8, 16, 30, 30} {
		suspects.RecordFailure("r", now)
		g.Expect(suspects.Suspected("r", now.Add(backoff*time.Second-time.Millisecond))).To(BeTrue())
		now = now.Add(backoff * time.Second)
		g.Expect(suspects.Suspected("r", now)).To(BeFalse())
	}
	suspects.RecordSuccess("r")
	suspects.RecordFailure("r", now)
	g.Expect(suspects.Suspected("r", now.Add(2*time.Second))).To(BeFalse())
}

func TestTheKeeperWithTheLowerCostIsChosen(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	r := rand.New(rand.NewPCG(1, 2))
	all := []placement.Candidate{
		{Name: "busy", Domain: "a", Region: "x", Capacity: 100, Wait: 5 * time.Second, SeenAt: now},
		{Name: "free", Domain: "b", Region: "x", Capacity: 100, SeenAt: now},
	}
	for range 100 {
		g.Expect(placement.Choose(now, "c", "x", all, r)).To(Equal(1))
	}
	old := now.Add(time.Minute)
	chosen := make(map[int]int)
	for range 1000 {
		chosen[placement.Choose(old, "c", "x", all, r)]++
	}
	g.Expect(chosen[0]).To(BeNumerically(">", 300), "an old wait has no weight")
	g.Expect(placement.Choose(now, "c", "x", nil, r)).To(Equal(-1))
}
