package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/decision/admission"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const modelKey = "redattore@1+"

func newServer(name string, slots int) admission.Server {
	return admission.Server{Name: name, Slots: slots, Speed: 40, Carries: map[string]bool{modelKey: true}}
}

func newItem(id, organisation string, c admission.Class, tokens float64) admission.Item {
	return admission.Item{
		ID: id, Organisation: organisation, Weight: 1, Class: c, Tokens: tokens, ModelKey: modelKey,
		ArrivedAt: start, StartBy: start.Add(time.Minute),
	}
}

func ids(assigned []admission.Assignment) []string {
	var all []string
	for _, a := range assigned {
		all = append(all, a.Item.ID)
	}
	return all
}

func TestShortWorkFindsASlotBesideLongWork(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue()
	q.PutServer(newServer("s", 10))
	for i := range 30 {
		q.Offer(start, newItem(fmt.Sprintf("long%02d", i), "a", admission.Draft, 2000))
	}
	assigned, _ := q.Schedule(start)
	g.Expect(len(assigned)).To(Equal(8), "two slots are reserved for short work")
	g.Expect(q.Offer(start, newItem("short", "b", admission.Interactive, 32))).To(BeNil())
	assigned, _ = q.Schedule(start)
	g.Expect(ids(assigned)).To(Equal([]string{"short"}))
}

func TestOrganisationsShareByWeight(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue()
	q.PutServer(newServer("s", 1))
	for i := range 40 {
		heavy := newItem(fmt.Sprintf("heavy%02d", i), "heavy", admission.Interactive, 50)
		heavy.Weight = 3
		q.Offer(start, heavy)
	}
	for i := range 40 {
		q.Offer(start, newItem(fmt.Sprintf("light%02d", i), "light", admission.Interactive, 50))
	}
	served := make(map[string]int)
	for range 40 {
		assigned, _ := q.Schedule(start)
		g.Expect(assigned).To(HaveLen(1))
		served[assigned[0].Item.Organisation]++
		q.Release(assigned[0].Item.ID)
	}
	g.Expect(served["heavy"]).To(BeNumerically("~", 30, 1))
}

func TestWorkThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue()
	q.PutServer(newServer("s", 2))
	refused := 0
	for i := range 100 {
		item := newItem(fmt.Sprint(i), "a", admission.Interactive, 40)
		item.StartBy = start.Add(2 * time.Second)
		if r := q.Offer(start, item); r != nil {
			refused++
			g.Expect(r.Cause).To(Equal(admission.Busy))
			g.Expect(r.RetryAt).To(BeTemporally(">", start))
		}
		q.Schedule(start)
	}
	// Two slots of 40 tokens a second serve two items of 40 tokens a second.
	g.Expect(100 - refused).To(BeNumerically("~", 2+2*2, 2))
}

func TestWaitingWorkExpiresAndIsRefused(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue()
	q.PutServer(newServer("s", 1))
	q.Offer(start, newItem("first", "a", admission.Draft, 10))
	q.Schedule(start)
	late := newItem("late", "a", admission.Draft, 10)
	late.StartBy = start.Add(time.Second)
	g.Expect(q.Offer(start, late)).To(BeNil())
	_, refused := q.Schedule(start.Add(2 * time.Second))
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Cause).To(Equal(admission.Expired))
}

func TestALeavingOrDownServerGetsNoWork(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue()
	leaving := newServer("leaving", 4)
	leaving.Leaving = true
	q.PutServer(leaving)
	g.Expect(q.Offer(start, newItem("a", "a", admission.Draft, 10)).Cause).To(Equal(admission.NoServer))
	q.PutServer(newServer("down", 4))
	q.Server("down").Down = true
	q.Offer(start, newItem("b", "a", admission.Draft, 10))
	assigned, _ := q.Schedule(start)
	g.Expect(assigned).To(BeEmpty())
}

func TestAServerThatBeginsToLeaveGetsNoQueuedWork(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue()
	q.PutServer(newServer("s", 4))
	g.Expect(q.Offer(start, newItem("a", "a", admission.Draft, 10))).To(BeNil())
	q.Server("s").Leaving = true
	assigned, _ := q.Schedule(start)
	g.Expect(assigned).To(BeEmpty())
}

func TestResumesGoFirstWithinABound(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue()
	q.PutServer(newServer("s", 1))
	for i := range 10 {
		q.Offer(start, newItem(fmt.Sprintf("resume%d", i), "a", admission.Resume, 100))
	}
	q.Offer(start, newItem("short", "b", admission.Interactive, 10))
	var order []string
	for range 6 {
		assigned, _ := q.Schedule(start)
		order = append(order, ids(assigned)...)
		q.Release(assigned[0].Item.ID)
	}
	g.Expect(order).To(Equal([]string{"resume0", "resume1", "resume2", "resume3", "short", "resume4"}))
}

func TestASlowServerOffersFewerSlots(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue()
	q.PutServer(newServer("slow", 9))
	s := q.Server("slow")
	for range 3000 {
		s.Pace.Observe(25*time.Millisecond, 0.1)
	}
	for range 60 {
		s.Pace.Observe(75*time.Millisecond, 0.1)
	}
	g.Expect(s.Pace.Slow()).To(BeTrue())
	for i := range 9 {
		q.Offer(start, newItem(fmt.Sprint(i), "a", admission.Interactive, 10))
	}
	assigned, _ := q.Schedule(start)
	g.Expect(len(assigned)).To(BeNumerically("<=", 4))
	g.Expect(assigned).NotTo(BeEmpty(), "one slot stays, so that a recovery is observed")
}

// TestQueueAccountsForSlotsAndItems drives a queue at random and asserts that no
// slot is assigned twice, no slot is lost, and every item ends exactly once.
func TestQueueAccountsForSlotsAndItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewQueue()
		slots := make(map[string]int)
		for i := range rapid.IntRange(1, 3).Draw(t, "servers") {
			name := fmt.Sprintf("s%d", i)
			slots[name] = rapid.IntRange(1, 6).Draw(t, "slots")
			q.PutServer(newServer(name, slots[name]))
		}
		now := start
		running := make(map[string]string) // item ID to server name
		state := make(map[string]string)
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "offer") {
				item := newItem(fmt.Sprint(n), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "org"),
					rapid.SampledFrom(admission.Classes).Draw(t, "class"), float64(rapid.IntRange(1, 500).Draw(t, "tokens")))
				item.ArrivedAt, item.StartBy = now, now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "wait"))*time.Second)
				state[item.ID] = "waiting"
				if q.Offer(now, item) != nil {
					state[item.ID] = "refused"
				}
			} else if len(running) > 0 {
				for id := range running {
					q.Release(id)
					delete(running, id)
					break
				}
			}
			assigned, refused := q.Schedule(now)
			for _, a := range assigned {
				if state[a.Item.ID] != "waiting" || now.After(a.Item.StartBy) {
					t.Fatalf("item %s was %s and is assigned, start by %s", a.Item.ID, state[a.Item.ID], a.Item.StartBy)
				}
				state[a.Item.ID], running[a.Item.ID] = "assigned", a.Server
			}
			for _, r := range refused {
				if state[r.Item.ID] != "waiting" {
					t.Fatalf("item %s was %s and is refused", r.Item.ID, state[r.Item.ID])
				}
				state[r.Item.ID] = "refused"
			}
			used := make(map[string]int)
			for _, s := range running {
				used[s]++
			}
			for name := range slots {
				if used[name] > slots[name] || used[name] != q.Server(name).InFlight() {
					t.Fatalf("server %s runs %d items but reports %d in flight of %d slots", name, used[name], q.Server(name).InFlight(), slots[name])
				}
			}
		}
	})
}

func TestFreeServersAdmitTheItem(t *testing.T) {
	g := NewWithT(t)
	q := admission.NewQueue()
	carries := map[string]bool{"m": true}
	q.PutServer(admission.Server{Name: "a", Slots: 1, Carries: carries})
	q.PutServer(admission.Server{Name: "down", Slots: 1, Carries: carries, Down: true})
	q.PutServer(admission.Server{Name: "full", Slots: 1, Carries: carries, Foreign: 1})
	q.PutServer(admission.Server{Name: "leaving", Slots: 1, Carries: carries, Leaving: true})
	q.PutServer(admission.Server{Name: "other", Slots: 1, Carries: map[string]bool{"n": true}})
	q.PutServer(admission.Server{Name: "z", Slots: 1, Carries: carries})
	g.Expect(q.FreeServers(admission.Item{ModelKey: "m", Class: admission.Resume}, "a")).To(Equal([]string{"z"}))
}
