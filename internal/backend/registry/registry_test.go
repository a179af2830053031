package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
)

func one(id string, started int64) server.Server {
	return server.Server{ID: id, Service: "engines", Address: "10.0.0.1:80", Domain: "a", Started: started}
}

func TestAnIncarnationKeepsItsLoadAndTheNextOneOnlyItsPace(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	now := time.Unix(1_000, 0)
	r.Set(1, []server.Server{one("i-1", 5)})
	run := r.Get("i-1").Load.BeginRun(5000, 5000)
	for i := range 50 {
		run.Event(now.Add(time.Duration(i)*40*time.Millisecond), 6)
	}
	r.Get("i-1").Load.FindDown(now.Add(time.Hour))

	leaving := one("i-1", 5)
	leaving.Leaving = true
	r.Set(1, []server.Server{leaving})
	g.Expect(r.Get("i-1").Leaving).To(BeTrue())
	g.Expect(r.Get("i-1").Load.State(now).Runs).To(Equal(1))

	r.Set(1, []server.Server{one("i-1", 6)}) // the same id, started again
	st := r.At("10.0.0.1:80").Load.State(now)
	g.Expect(st.Down).To(BeFalse())
	g.Expect(st.Runs).To(BeZero())
	g.Expect(st.Pace).To(BeNumerically("~", 40*time.Millisecond, time.Millisecond))
}

func TestTheNewestIncarnationHasTheAddress(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Set(1, []server.Server{one("i-old", 5), one("i-new", 9)})
	g.Expect(r.At("10.0.0.1:80").ID).To(Equal("i-new"))
	r.Set(2, nil)
	g.Expect(r.At("10.0.0.1:80")).To(BeNil())
}

func TestARunThatEndsLeavesNothingBehind(t *testing.T) {
	g := NewWithT(t)
	l := &registry.Load{}
	now := time.Unix(1_000, 0)
	for _, events := range []int{0, 3} {
		run := l.BeginRun(4000, 4000)
		drop := l.HoldCopy(4000)
		for range events {
			now = now.Add(30 * time.Millisecond)
			run.Event(now, 6)
		}
		run.End()
		drop()
		st := l.State(now)
		g.Expect([]int{st.Runs, st.Prompts, st.Memory}).To(Equal([]int{0, 0, 0}))
	}
}

func TestPeersSharesAddUpAndKeepTheBestPace(t *testing.T) {
	g := NewWithT(t)
	sum := registry.Share{Runs: 1, Memory: 5, PaceMs: 30}.Plus(registry.Share{Runs: 2, Memory: 6, PaceMs: 20}).Plus(registry.Share{InFlight: 1})
	g.Expect(sum).To(Equal(registry.Share{Runs: 3, Memory: 11, PaceMs: 20, InFlight: 1}))
	l := &registry.Load{}
	l.SetPeers(sum)
	l.SetPeers(registry.Share{})
	g.Expect(l.State(time.Now()).Pace).To(Equal(20*time.Millisecond), "a known pace stays")
}
