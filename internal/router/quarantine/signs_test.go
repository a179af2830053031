package quarantine_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	decision "wisteriafield/internal/decision/quarantine"
	"wisteriafield/internal/router/quarantine"
)

// Guards against an answer that a server gave before the caller left and that passes for a sign that
// it outlived the call: servers that crash then are never put down to it.
func TestAnAnswerBeforeTheCallerLeftIsNoSignOfLife(t *testing.T) {
	for name, back := range map[string]time.Duration{"they are back while they count as busy": 2 * time.Second, "they stay away": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHosts()
				guard := newGuard()
				guard.CheckServers(quarantine.Checks{
					Listens: h.listens, Leaves: h.has(h.left), Replaced: h.has(h.renewed),
					Health: func(s *server.Server, _ time.Time) (time.Time, bool) { return h.answeredAt(s), false },
				})
				for i := range 3 {
					h.answer(serverAt(i))
					guard.AttemptAbandoned(call("deadly", callTime), serverAt(i), 0)
					h.set(h.ended, serverAt(i))
					time.AfterFunc(back, func() { h.set(h.renewed, serverAt(i)) })
					time.Sleep(5 * time.Second)
				}
				g.Expect(refuses(guard, "deadly")).To(BeTrue())
				time.Sleep(time.Hour)
			})
		})
	}
}

// Guards against a sound call that is blamed for a crash that others saw right after the server's last
// answer, before the next check of it.
func TestAnAnswerSinceTheLastCheckCountsWhenTheServerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHosts()
		guard := newGuard()
		guard.CheckServers(quarantine.Checks{
			Listens: h.listens, Leaves: h.has(h.left), Replaced: h.has(h.renewed),
			Health: func(s *server.Server, _ time.Time) (time.Time, bool) {
				return h.answeredAt(&server.Server{Address: serverAddress(s.ID)}), false
			},
		})
		for i := range 6 {
			guard.AttemptAbandoned(call("sound", callTime), serverAt(i), 0)
			time.Sleep(callTime - 50*time.Millisecond)
			h.answer(serverAt(i))
			time.Sleep(500 * time.Millisecond) // checked at the end of its time, not since
			h.answer(serverAt(i))
			time.Sleep(100 * time.Millisecond)
			guard.ServerLost(call(fmt.Sprintf("beside-%d", i), callTime), serverAt(i), 0)
			time.Sleep(time.Second)
		}
		g.Expect(refuses(guard, "sound")).To(BeFalse())
	})
}

// Guards against a connection that something else accepts at the address of a server that has ended,
// and that passes for a sign that the server outlived the call.
func TestACallIsBlockedWhoseServersAreBackThoughTheirAddressesAcceptedConnections(t *testing.T) {
	for _, back := range []time.Duration{1600, 2500, 5000} { // ms
		t.Run(fmt.Sprintf("back after %d ms", back), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHosts()
				guard := newWatchingGuard(h)
				for i := range 3 {
					guard.AttemptAbandoned(call("deadly", callTime), serverAt(i), 0)
					time.Sleep(back * time.Millisecond)
					h.set(h.renewed, serverAt(i))
				}
				time.Sleep(time.Second)
				NewWithT(t).Expect(refuses(guard, "deadly")).To(BeTrue())
				time.Sleep(time.Minute)
				NewWithT(t).Expect(h.checked()).To(Equal(6), "an address that accepts connections is not connected to again")
			})
		})
	}
}

// Guards against a sound call that is blamed as its busy servers crash later: they have answered
// others since.
func TestAnAnswerAfterTheEndOfACallShowsThatItsServerOutlivedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHosts()
		guard := newGuard()
		guard.CheckServers(quarantine.Checks{
			Listens: h.listens, Leaves: h.has(h.left), Replaced: h.has(h.renewed),
			Health: func(s *server.Server, _ time.Time) (time.Time, bool) { return h.answeredAt(s), false },
		})
		for i := range 10 {
			guard.AttemptAbandoned(call("sound", callTime), serverAt(i), 0)
			for range 20 {
				h.answer(serverAt(i))
				time.Sleep(100 * time.Millisecond)
			}
			h.set(h.ended, serverAt(i))
			time.Sleep(time.Second)
			h.set(h.renewed, serverAt(i))
			time.Sleep(3 * time.Second)
		}
		g.Expect(refuses(guard, "sound")).To(BeFalse())
		g.Expect(h.checked()).To(BeZero())
	})
}

// Guards against a call that is never blamed for the ends of its servers, as something holds connections
// at their addresses until long after their entries have lapsed. A server that leaves without a word
// before is freed at once.
func TestTheLapseOfAnEntryShowsWhyAnAnswerBrokeOff(t *testing.T) {
	for _, c := range []struct {
		name     string
		brokeOff bool
		answers  bool // others are answered by the server since
		blocked  bool
	}{{"the answers broke off", true, false, true}, {"the answers broke off and the servers lived", true, true, false}, {"the callers left", false, false, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHosts()
				guard := newGuard()
				guard.CheckServers(quarantine.Checks{
					Listens: h.listens, Leaves: h.has(h.left), Removed: h.has(h.left),
					Health: func(s *server.Server, _ time.Time) (time.Time, bool) { return h.answeredAt(s), false },
				})
				for i := range 3 {
					if c.brokeOff {
						guard.AnswerBrokenOff(call("deadly", callTime), serverAt(i), quarantine.BrokenOff{At: time.Now()})
					} else {
						guard.AttemptAbandoned(call("deadly", callTime), serverAt(i), 0)
					}
					time.Sleep(time.Second)
					if c.answers {
						h.answer(serverAt(i))
					}
					time.Sleep(2 * time.Second)
					h.set(h.left, serverAt(i))
					time.Sleep(time.Second)
				}
				g.Expect(refuses(guard, "deadly")).To(Equal(c.blocked))
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a call that is never blamed for the ends of its servers, as its callers left, and something
// holds connections at their addresses until long after their entries have lapsed.
func TestACallIsBlockedWhoseServersLapseWhileTheirAddressesAreHeld(t *testing.T) {
	for sign, blocked := range map[decision.Sign]bool{decision.Unanswered: true, decision.Closed: true, decision.Answered: false, decision.Accepted: false, decision.Refused: false} {
		t.Run(string(sign), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHosts()
				guard := newGuard()
				guard.CheckServers(quarantine.Checks{
					Listens: h.listens, Leaves: h.has(h.left), Removed: h.has(h.left),
					Health: func(s *server.Server, _ time.Time) (time.Time, bool) { return h.answeredAt(s), false },
					Probe:  func(context.Context, *server.Server) (decision.Sign, error) { return sign, nil },
				})
				for i := range 3 {
					h.answer(serverAt(i))
					guard.AttemptAbandoned(call("deadly", callTime), serverAt(i), 0)
					time.Sleep(2500 * time.Millisecond) // it counts as busy until then
					h.set(h.left, serverAt(i))
					time.Sleep(time.Second)
				}
				NewWithT(t).Expect(refuses(guard, "deadly")).To(Equal(blocked))
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a busy server that is gone and is not connected to for seconds, though an answer broke
// off since it answered last.
func TestABusyServerIsProbedAfterAnAnswerBrokeOff(t *testing.T) {
	for sign, blocked := range map[decision.Sign]bool{decision.Closed: true, decision.Replaced: true, decision.Answered: false, decision.Accepted: false} {
		t.Run(string(sign), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHosts()
				guard := newGuard()
				var probes atomic.Int32
				guard.CheckServers(quarantine.Checks{
					Listens: h.listens, Leaves: h.has(h.left), Replaced: h.has(h.renewed),
					Health: func(s *server.Server, _ time.Time) (time.Time, bool) { return h.answeredAt(s), false },
					Probe: func(context.Context, *server.Server) (decision.Sign, error) {
						probes.Add(1)
						return sign, nil
					},
				})
				for i := range 3 {
					h.answer(serverAt(i))
					time.Sleep(10 * time.Millisecond)
					guard.AttemptAbandoned(call("deadly", callTime), serverAt(i), 0)
					time.Sleep(20 * time.Millisecond)
					guard.AnswerBrokenOff(call(fmt.Sprintf("beside-%d", i), callTime), serverAt(i), quarantine.BrokenOff{At: time.Now()})
					time.Sleep(1500 * time.Millisecond)
				}
				g.Expect(refuses(guard, "deadly")).To(Equal(blocked))
				g.Expect(refuses(guard, "beside-1")).To(BeFalse())
				g.Expect(probes.Load()).To(BeNumerically(">=", 3))
				time.Sleep(time.Minute)
				g.Expect(probes.Load()).To(BeNumerically("<=", 12))
			})
		})
	}
}
