package plan_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/plan"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func newEngines(n int) []plan.Engine {
	var all []plan.Engine
	for i := range n {
		all = append(all, plan.Engine{Name: fmt.Sprintf("e%d", i), Domain: fmt.Sprintf("d%d", i%3), AllowedModels: []string{"m"}, Up: true})
	}
	return all
}

func newInput(n int, version string, replicas int) plan.Input {
	return plan.Input{
		Now: start, Document: 1, MaxConcurrentChanges: 1, Engines: newEngines(n),
		Models: []plan.Model{{Name: "m", Version: version, Replicas: replicas, LoadTime: 10 * time.Second}},
	}
}

// applyPlan stores the plan as the previous one and makes the engines carry the
// models that it assigns to them.
func applyPlan(in *plan.Input, p plan.Plan) {
	in.Previous = p
	for i := range in.Engines {
		in.Engines[i].LoadedModels = maps.Clone(p.Engines[in.Engines[i].Name].Models)
	}
}

func TestReplicasAreSpreadOverFailureDomains(t *testing.T) {
	g := NewWithT(t)
	p, changed := plan.Next(newInput(9, "1", 3))
	g.Expect(changed).To(BeTrue())
	domains := make(map[string]int)
	for _, e := range newEngines(9) {
		if p.Engines[e.Name].Models["m"] == "1" {
			domains[e.Domain]++
		}
	}
	g.Expect(domains).To(Equal(map[string]int{"d0": 1, "d1": 1, "d2": 1}))
}

func TestAPlanThatIsCarriedOutDoesNotChange(t *testing.T) {
	g := NewWithT(t)
	in := newInput(6, "1", 3)
	p, _ := plan.Next(in)
	applyPlan(&in, p)
	again, changed := plan.Next(in)
	g.Expect(changed).To(BeFalse())
	g.Expect(again.Revision).To(Equal(p.Revision))
}

func TestAPlanOfANewEraSupersedesOrdersOfPlansThatTheStoreLost(t *testing.T) {
	g := NewWithT(t)
	in := newInput(6, "1", 3)
	in.Era = 1
	kept, _ := plan.Next(in)
	applyPlan(&in, kept)
	lost := kept
	for document := int64(2); document < 9; document++ {
		in.Document = document
		lost, _ = plan.Next(in)
		applyPlan(&in, lost)
	}
	in.Document, in.Era = 1, 2
	applyPlan(&in, kept)
	restored, changed := plan.Next(in)
	g.Expect(changed).To(BeTrue(), "engines may have carried out orders of a later plan")
	g.Expect(restored.Fencing()).To(BeNumerically(">", lost.Fencing()))
	g.Expect(lost.Position().Before(restored.Position())).To(BeTrue())
	applyPlan(&in, restored)
	_, changed = plan.Next(in)
	g.Expect(changed).To(BeFalse())
}

func TestADocumentThatReusesALostRevisionIsPlanned(t *testing.T) {
	in := newInput(6, "1", 3)
	p, _ := plan.Next(in)
	applyPlan(&in, p)
	in.DocumentEra = 2
	_, changed := plan.Next(in)
	NewWithT(t).Expect(changed).To(BeTrue())
}

func TestANewVersionRollsOutOneEngineAtATimeAndNeverInterruptsADraft(t *testing.T) {
	g := NewWithT(t)
	in := newInput(4, "1", 0)
	p, _ := plan.Next(in)
	applyPlan(&in, p)
	in.Document, in.Models[0].Version = 2, "2"
	in.Engines[0].Running = 1 // a draft that never ends
	for range 40 {
		in.Now = in.Now.Add(5 * time.Second)
		before := in.Previous
		next, _ := plan.Next(in)
		g.Expect(next.Revision).To(BeNumerically(">=", before.Revision))
		draining := 0
		for name, entry := range next.Engines {
			if entry.Draining {
				draining++
			}
			if before.Engines[name].Models["m"] != entry.Models["m"] {
				g.Expect(before.Engines[name].Draining).To(BeTrue(), "an engine is drained before it changes")
				g.Expect(name).NotTo(Equal("e0"), "an engine with a draft keeps its version")
			}
		}
		g.Expect(draining).To(BeNumerically("<=", 1))
		g.Expect(next.EnginesByVersion("m")).NotTo(BeEmpty(), "the model is served all the time")
		applyPlan(&in, next)
	}
	in.Engines[0].Running = 0
	for range 40 {
		in.Now = in.Now.Add(5 * time.Second)
		next, _ := plan.Next(in)
		applyPlan(&in, next)
	}
	g.Expect(in.Previous.EnginesByVersion("m")).To(HaveKey("2"))
	g.Expect(in.Previous.EnginesByVersion("m")).To(HaveLen(1))
}

func TestLoadsAreRateLimitedForTheWeightStore(t *testing.T) {
	g := NewWithT(t)
	in := newInput(3, "1", 0)
	in.MaxConcurrentChanges = 3
	p, _ := plan.Next(in)
	applyPlan(&in, p)
	in.Document, in.Models[0].Version = 2, "2"
	var loadOrders []time.Time
	for range 100 {
		in.Now = in.Now.Add(time.Second)
		before := in.Previous
		next, _ := plan.Next(in)
		for name := range next.Engines {
			if next.Engines[name].Models["m"] != before.Engines[name].Models["m"] {
				loadOrders = append(loadOrders, in.Now)
			}
		}
		applyPlan(&in, next)
	}
	g.Expect(loadOrders).To(HaveLen(3))
	for i := 1; i < len(loadOrders); i++ {
		g.Expect(loadOrders[i].Sub(loadOrders[i-1])).To(BeNumerically(">=", 10*time.Second))
	}
}
