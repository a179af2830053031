package storereader_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/storereader"
)

func TestEachRouterOwesOneFirstTryInAnOutage(t *testing.T) {
	g := NewWithT(t)
	all := fleet(30, 3*time.Second)
	idle := 0
	for decide(all, idle).Role != storereader.Idle {
		idle++
	}
	self := all[idle]
	peers := append(append([]storereader.Router{}, all[:idle]...), all[idle+1:]...)
	e := storereader.NewElector(func() float64 { return 0.9 })
	for outage := range 2 {
		at := now.Add(time.Duration(outage) * 10 * time.Second)
		peers[3].ReachedAt = at
		g.Expect(e.Decide(self, peers, at).Role).To(Equal(storereader.Idle))
		g.Expect(e.FirstTryDue()).To(BeFalse(), "a peer has an answer")
		for i := range peers {
			peers[i].HeardAt = at.Add(3 * time.Second)
		}
		g.Expect(e.Decide(self, peers, at.Add(3*time.Second)).Role).To(Equal(storereader.Idle))
		g.Expect(e.FirstTryDue()).To(BeTrue())
		g.Expect(e.TakingTurns()).To(BeFalse())
		tried := self
		tried.ReadsStore, tried.Failing = true, true
		e.Decide(tried, peers, at.Add(3100*time.Millisecond))
		g.Expect(e.FirstTryDue()).To(BeFalse())
		g.Expect(e.TakingTurns()).To(BeTrue())
		e.Decide(self, peers, at.Add(3300*time.Millisecond))
		g.Expect(e.FirstTryDue()).To(BeFalse(), "it has tried in this outage")
	}
}
