package registry_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/enginespeed"
	"wisteriafield/internal/decision/storehistory"
)

func newServer(id string, started int64) server.Server {
	return server.Server{ID: id, Service: "engines", Address: "10.0.0.1:80", Domain: "a", Started: started}
}

func TestRestartedServerKeepsOnlyItsPace(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	now := time.Unix(1_000, 0)
	r.Set(storehistory.Position{Revision: 1}, []server.Server{newServer("i-1", 5)})
	attempt := r.Get("i-1").Load.BeginAttempt(5000, 5000)
	for i := range 50 {
		attempt.RecordEvent(now.Add(time.Duration(i)*40*time.Millisecond), 6)
	}
	r.Get("i-1").Load.MarkDownAndShare(now.Add(time.Hour))

	draining := newServer("i-1", 5)
	draining.Leaving = true
	r.Set(storehistory.Position{Revision: 1}, []server.Server{draining})
	g.Expect(r.Get("i-1").Leaving).To(BeTrue())
	g.Expect(r.Get("i-1").Load.State(now).Running).To(Equal(1))

	r.Set(storehistory.Position{Revision: 1}, []server.Server{newServer("i-1", 6)}) // restarted under the same ID
	st := r.ByAddress("10.0.0.1:80").Load.State(now)
	g.Expect(st.Down).To(BeFalse())
	g.Expect(st.Running).To(BeZero())
	g.Expect(st.Pace).To(BeNumerically("~", 40*time.Millisecond, time.Millisecond))
}

func TestADrainingServerIsNotReadyAgainWhenTheStoreGoesBack(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	draining := newServer("i-1", 5)
	draining.Leaving = true
	r.Set(storehistory.Position{Era: 1, Revision: 9}, []server.Server{draining})
	r.Set(storehistory.Position{Era: 2, Revision: 4}, []server.Server{newServer("i-1", 5)})
	g.Expect(r.Get("i-1").Leaving).To(BeTrue())
	r.Set(storehistory.Position{Era: 2, Revision: 5}, []server.Server{newServer("i-1", 6)})
	g.Expect(r.Get("i-1").Leaving).To(BeFalse(), "another incarnation")
}

func TestByAddressReturnsTheNewestIncarnation(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Set(storehistory.Position{Revision: 1}, []server.Server{newServer("i-old", 5), newServer("i-new", 9)})
	g.Expect(r.ByAddress("10.0.0.1:80").ID).To(Equal("i-new"))
	r.Set(storehistory.Position{Revision: 2}, nil)
	g.Expect(r.ByAddress("10.0.0.1:80")).To(BeNil())
}

func TestEndedAttemptLeavesNoLoad(t *testing.T) {
	g := NewWithT(t)
	l := &registry.Load{}
	now := time.Unix(1_000, 0)
	for _, events := range []int{0, 3} {
		attempt := l.BeginAttempt(4000, 4000)
		release := l.ReserveBackup(4000)
		for range events {
			now = now.Add(30 * time.Millisecond)
			attempt.RecordEvent(now, 6)
		}
		attempt.End()
		release()
		st := l.State(now)
		g.Expect([]int{st.Running, st.QueuedTokens, st.UsedTokens}).To(Equal([]int{0, 0, 0}))
	}
}

func TestPeerSharesAddUpAndKeepTheShortestPace(t *testing.T) {
	g := NewWithT(t)
	total := registry.Share{Running: 1, UsedTokens: 5, PaceMs: 30}.Plus(registry.Share{Running: 2, UsedTokens: 6, PaceMs: 20}).Plus(registry.Share{InFlight: 1})
	g.Expect(total).To(Equal(registry.Share{Running: 3, UsedTokens: 11, PaceMs: 20, InFlight: 1}))
	l := &registry.Load{}
	l.SetPeerShare(total)
	l.SetPeerShare(registry.Share{})
	g.Expect(l.State(time.Now()).Pace).To(Equal(20*time.Millisecond), "a share without a pace keeps the known one")
}

// The speed must not include the waits of a queue or the pauses of a prefill, and an engine that
// restarts must not be unknown again.
func TestLoadLearnsTheUndisturbedSpeed(t *testing.T) {
	g := NewWithT(t)
	r := registry.New()
	r.Set(storehistory.Position{Revision: 1}, []server.Server{newServer("i-1", 5)})
	l := r.Get("i-1").Load
	g.Expect(l.Speed()).To(BeZero())
	now := time.Unix(1_000, 0)
	first, second := l.BeginAttempt(5000, 5000), l.BeginAttempt(5000, 5000)
	first.RecordSent(now)
	second.RecordSent(now)
	for i := range 130 {
		first.RecordEvent(now.Add(time.Second+time.Duration(i)*30*time.Millisecond), 5)
	}
	second.RecordEvent(now.Add(2*time.Second), 5)
	resumed := l.BeginAttempt(0, 5000)
	resumed.RecordSent(now)
	resumed.RecordEvent(now.Add(20*time.Millisecond), 5)
	want := enginespeed.Speed{TokenTime: 6 * time.Millisecond, PrefillTokensPerMs: 5}
	g.Expect(l.Speed()).To(Equal(want))
	r.Set(storehistory.Position{Revision: 2}, []server.Server{newServer("i-2", 9)})
	g.Expect(r.Get("i-2").Load.Speed()).To(Equal(want))
}

// Peers decode a share and operators' tools read the state in dumps, so the encoded
// names must not follow the Go names.
func TestEncodedNamesStayTheSame(t *testing.T) {
	g := NewWithT(t)
	share, err := json.Marshal(registry.Share{InFlight: 1, Running: 2, QueuedTokens: 3, UsedTokens: 4, PaceMs: 5, DownMs: 6})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(share)).To(Equal(`{"InFlight":1,"Runs":2,"Prompts":3,"Memory":4,"PaceMs":5,"DownMs":6}`))
	share, err = json.Marshal(registry.Share{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(share)).To(Equal(`{}`))
	state, err := json.Marshal(registry.State{
		InFlight: 1, Running: 2, QueuedTokens: 3, UsedTokens: 4, Latency: 5, ErrorRate: 0.5, Pace: 6, Down: true, Full: true,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(state)).To(Equal(`{"InFlight":1,"Runs":2,"Prompts":3,"Memory":4,"Latency":5,"Errors":0.5,"Pace":6,"Down":true,"Full":true}`))
}
