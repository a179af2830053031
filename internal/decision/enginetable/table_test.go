package enginetable_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginespeed"
	"wisteriafield/internal/decision/enginetable"
)

func byQueue(e balance.Engine, _ enginespeed.Speed, _, _ int) float64 { return float64(e.QueuedTokens) }

func candidates(domains ...string) (all []enginetable.Candidate) {
	for i, domain := range domains {
		all = append(all, enginetable.Candidate{Key: enginetable.Key{ID: fmt.Sprint("i-", i)}, Engine: balance.Engine{Domain: domain, Slots: 2}})
	}
	return all
}

func ids(offers []enginetable.Offer) (all []string) {
	for _, o := range offers {
		all = append(all, o.Engine.ID)
	}
	return all
}

// An owner that forgets its own offers gives all routers the same engine until a notice arrives,
// and one that never does keeps engines idle.
func TestOffersCountForATime(t *testing.T) {
	g, table, now := NewWithT(t), enginetable.New(byQueue), time.Unix(100, 0)
	ask := func(n uint64, at time.Time) []string {
		return ids(table.Offer(enginetable.Question{Number: n, Prompt: 10}, candidates("a", "b", "b"), at))
	}
	g.Expect(ask(1, now)).To(Equal([]string{"i-0", "i-1"}))
	g.Expect(ask(2, now)).To(Equal([]string{"i-1", "i-0"}))
	g.Expect(ask(3, now)).To(Equal([]string{"i-2", "i-0"}))
	table.Withdraw(1)
	g.Expect(ask(4, now)).To(Equal([]string{"i-0", "i-1"}))
	g.Expect(ask(5, now.Add(150*time.Millisecond))).To(Equal([]string{"i-0", "i-1"}))
}

// The backup must not be lost with the attempt, nor be in a domain that has just been lost.
func TestSecondOfferIsOfAnotherDomain(t *testing.T) {
	g, table := NewWithT(t), enginetable.New(byQueue)
	q := enginetable.Question{Avoid: []string{"a"}}
	g.Expect(ids(table.Offer(q, candidates("a", "b", "a", "c"), time.Unix(0, 0)))).To(Equal([]string{"i-1", "i-3"}))
	g.Expect(ids(table.Offer(q, candidates("a", "b", "b"), time.Unix(1, 0)))).To(Equal([]string{"i-1", "i-0"}))
	g.Expect(ids(table.Offer(q, candidates("b", "b"), time.Unix(2, 0)))).To(Equal([]string{"i-0"}))
}

// Engines that are down or have no slot or KV cache left would refuse or crash.
func TestEnginesWithoutRoomAreNotOffered(t *testing.T) {
	g, table, now := NewWithT(t), enginetable.New(byQueue), time.Unix(0, 0)
	all := candidates("a", "b", "c")
	all[0].Engine.Down = true
	table.Record(enginetable.Attempt{ID: 1, Engine: all[1].Key}, now)
	table.Record(enginetable.Attempt{ID: 2, Engine: all[1].Key}, now)
	table.Record(enginetable.Attempt{ID: 3, Engine: all[2].Key, UsedTokens: 90, Backup: true}, now)
	g.Expect(table.Offer(enginetable.Question{Prompt: 10, Capacity: 100}, all, now)).To(BeEmpty())
}

// Notices arrive late, twice, out of order or not at all; what they say must not stay or return.
func TestEntriesFollowNoticesInAnyOrder(t *testing.T) {
	g, table, now := NewWithT(t), enginetable.New(byQueue), time.Unix(0, 0)
	engine := enginetable.Key{ID: "i-0", Started: 1}
	begun := enginetable.Attempt{ID: 1, Engine: engine, PrefillTokens: 10, UsedTokens: 20}
	first := begun
	first.PrefillTokens = 0
	table.Record(first, now)
	table.Record(begun, now)
	g.Expect(table.Load(engine, now)).To(Equal(enginetable.Load{Running: 1, UsedTokens: 20}))
	table.End(1, engine, now)
	table.Record(begun, now)
	g.Expect(table.Load(engine, now)).To(BeZero())
	table.End(2, engine, now)
	table.Record(enginetable.Attempt{ID: 2, Engine: engine}, now)
	g.Expect(table.Len(now)).To(BeZero())
	table.Record(enginetable.Attempt{ID: 3, Engine: engine}, now)
	table.Record(enginetable.Attempt{ID: 3, Engine: engine}, now.Add(4*time.Second))
	g.Expect(table.Load(engine, now.Add(8*time.Second)).Running).To(Equal(1))
	g.Expect(table.Load(engine, now.Add(9*time.Second))).To(BeZero())
	for id := range uint64(5000) {
		table.Record(enginetable.Attempt{ID: 10 + id, Engine: engine}, now.Add(10*time.Second))
	}
	g.Expect(table.Len(now.Add(10 * time.Second))).To(Equal(4096))
}

// Owners that change with every engine that comes or goes would always be warming.
func TestGroupCountStaysWhileEnginesComeAndGo(t *testing.T) {
	g := NewWithT(t)
	for engines, groups := range map[int]int{0: 1, 3: 1, 120: 16, 224: 32, 600: 64} {
		g.Expect(enginetable.GroupCount(engines, 0)).To(Equal(groups))
	}
	g.Expect(enginetable.GroupCount(224*3/4, 32)).To(Equal(32))
	g.Expect(enginetable.GroupCount(100, 32)).To(Equal(16))
	g.Expect(enginetable.GroupCount(600, 32)).To(Equal(64))
}
