package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/router/quarantine"
)

// hosts are hosts of servers, by address. A server that has ended refuses connections, and one
// that is dark does not answer.
type hosts struct {
	mu                         sync.Mutex
	ended, dark, left, renewed map[string]bool
	answers                    map[string]time.Time // when each last answered
	checks                     int
}

func newHosts() *hosts {
	return &hosts{answers: make(map[string]time.Time), ended: make(map[string]bool), dark: make(map[string]bool), left: make(map[string]bool), renewed: make(map[string]bool)}
}

func (h *hosts) listens(_ context.Context, address string) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checks++
	if h.dark[address] {
		return false, errors.New("timeout")
	}
	return !h.ended[address], nil
}

func (h *hosts) checked() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.checks
}

// answer has a server answer another request.
func (h *hosts) answer(s *server.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers[s.Address] = time.Now()
}

func (h *hosts) answeredAt(s *server.Server) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answers[s.Address]
}

func (h *hosts) set(states map[string]bool, s *server.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	states[s.Address] = true
}

func (h *hosts) has(states map[string]bool) func(s *server.Server) bool {
	return func(s *server.Server) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return states[s.Address]
	}
}

// newWatchingGuard returns a guard that checks servers on the hosts.
func newWatchingGuard(h *hosts) *quarantine.Guard {
	guard := newGuard()
	guard.CheckServers(quarantine.Checks{Listens: h.listens, Leaves: h.has(h.left), Replaced: h.has(h.renewed)})
	return guard
}

func serverAt(i int) *server.Server {
	return &server.Server{ID: fmt.Sprintf("s-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i)}
}

func serverAddress(id string) string { return fmt.Sprintf("10.0.0.%s:1", strings.TrimPrefix(id, "s-")) }

// call returns a call that has so long to its deadline.
func call(body string, left time.Duration) *server.Request {
	req := &server.Request{Target: "/book", Body: []byte(body), Deadline: time.Now().Add(left)}
	req.SetDigest()
	return req
}

const callTime = 1500 * time.Millisecond

func refuses(guard *quarantine.Guard, body string) bool {
	_, refused := guard.Refuses(call(body, callTime))
	return refused
}

// Guards against a crash that is never put down to the call that caused it, however long before
// it the caller left and however its end shows.
func TestACallIsBlockedWhoseServersEndAfterItsCallersLeft(t *testing.T) {
	for name, end := range map[string]func(h *hosts) map[string]bool{
		"they refuse connections": func(h *hosts) map[string]bool { return h.ended },
		"they are back at once":   func(h *hosts) map[string]bool { return h.renewed },
	} {
		for _, after := range []time.Duration{0, 10, 390, 500, 1000, 1400} { // ms
			t.Run(fmt.Sprintf("%s, %d ms later", name, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHosts()
					guard := newWatchingGuard(h)
					for i := range 3 {
						guard.AttemptAbandoned(call("deadly", callTime), serverAt(i), 0)
						time.Sleep(after * time.Millisecond)
						h.set(end(h), serverAt(i))
						time.Sleep(2 * time.Second)
					}
					NewWithT(t).Expect(refuses(guard, "deadly")).To(BeTrue())
					NewWithT(t).Expect(refuses(guard, "sound")).To(BeFalse())
				})
			})
		}
	}
}

// Guards against a crash that only another request saw, at this router or at a peer, and that this
// router finds when the server is back.
func TestACallIsBlockedWhoseServersWereSeenToEndByOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		guard, peer := newWatchingGuard(newHosts()), newGuard()
		for i := range 4 {
			guard.AttemptAbandoned(call("deadly", callTime), serverAt(i), 0)
			time.Sleep(100 * time.Millisecond)
			seenBy := guard
			if i%2 > 0 {
				seenBy = peer
			}
			seenBy.ServerLost(call(fmt.Sprintf("beside-%d", i), callTime), serverAt(i), 0)
			guard.Merge(peer.Report(16, false, time.Now()), "peer", time.Now())
			time.Sleep(2 * time.Second)
		}
		g.Expect(refuses(guard, "deadly")).To(BeTrue())
		for i := range 4 {
			g.Expect(refuses(guard, fmt.Sprintf("beside-%d", i))).To(BeFalse())
		}
	})
}

// Guards against a sound call that is blocked since its callers left shortly before servers ended
// for another reason.
func TestASoundCallWhoseCallersLeaveIsNotBlocked(t *testing.T) {
	for name, endServers := range map[string]func(h *hosts, guard *quarantine.Guard, abandon func(i int)){
		"many callers leave, servers crash in turn": func(h *hosts, guard *quarantine.Guard, abandon func(i int)) {
			for second := range 40 {
				for i := range 20 {
					if i >= second/2 {
						abandon(i)
						time.Sleep(time.Second / 20)
					}
				}
				if second%2 == 1 && second > 4 {
					h.set(h.ended, serverAt(second/2))
				}
			}
		},
		"power cut of all": func(h *hosts, guard *quarantine.Guard, abandon func(i int)) {
			for i := range 20 {
				abandon(i)
				time.Sleep(30 * time.Millisecond)
			}
			for i := range 20 {
				h.set(h.ended, serverAt(i))
			}
		},
		"hosts that are dark": func(h *hosts, guard *quarantine.Guard, abandon func(i int)) {
			for i := range 20 {
				abandon(i)
				h.set(h.dark, serverAt(i))
				time.Sleep(time.Second)
			}
		},
		"planned ends": func(h *hosts, guard *quarantine.Guard, abandon func(i int)) {
			for i := range 20 {
				abandon(i)
				h.set(h.left, serverAt(i))
				time.Sleep(100 * time.Millisecond)
				h.set(h.ended, serverAt(i))
				time.Sleep(time.Second)
			}
		},
		"others were answered since": func(h *hosts, guard *quarantine.Guard, abandon func(i int)) {
			for i := range 20 {
				abandon(i)
				h.set(h.ended, serverAt(i))
				time.Sleep(500 * time.Millisecond)
				guard.ServerFinished(call("sound", callTime))
				time.Sleep(500 * time.Millisecond)
			}
		},
		"they end long after": func(h *hosts, guard *quarantine.Guard, abandon func(i int)) {
			for i := range 20 {
				abandon(i)
				time.Sleep(callTime + time.Millisecond)
				h.set(h.ended, serverAt(i))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHosts()
				guard := newWatchingGuard(h)
				abandon := func(i int) { guard.AttemptAbandoned(call("sound", callTime), serverAt(i), 0) }
				endServers(h, guard, abandon)
				time.Sleep(3 * time.Second)
				NewWithT(t).Expect(refuses(guard, "sound")).To(BeFalse())
			})
		})
	}
}

// Guards against checks that grow with the callers who leave: some of them do so all the time.
func TestChecksOfServersAreBoundedUnderACrowdThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHosts()
		guard := newWatchingGuard(h)
		const seconds, servers, perSecond = 10, 200, 2000
		for i := range seconds * perSecond {
			guard.AttemptAbandoned(call(fmt.Sprint(i), callTime), serverAt(i%servers), 0)
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(3 * time.Second)
		g.Expect(h.checked()).To(BeNumerically("<=", 128*3*(seconds+3)), "128 servers, three a second each")
		checks := h.checked()
		time.Sleep(time.Minute)
		g.Expect(h.checked()).To(Equal(checks), "no check without a caller who left lately")
	})
}

// Guards against connections that take capacity of busy servers: in a heavy day of the users' bench
// they cost a hundredth of its worth.
func TestABusyServerIsNotCheckedUnlessItIsDown(t *testing.T) {
	for name, c := range map[string]struct {
		down    bool
		quiet   time.Duration
		checks  int
		blocked bool
	}{
		"busy":              {quiet: 2 * time.Second, checks: 0},
		"quiet":             {quiet: 3 * time.Second, checks: 3, blocked: true},
		"busy and now down": {down: true, checks: 3, blocked: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHosts()
				guard := newGuard()
				guard.CheckServers(quarantine.Checks{
					Listens: h.listens, Leaves: h.has(h.left), Replaced: h.has(h.renewed),
					Health: func(_ *server.Server, now time.Time) (time.Time, bool) { return now.Add(-c.quiet), c.down },
				})
				for i := range 3 {
					guard.AttemptAbandoned(call("deadly", callTime), serverAt(i), 0)
					h.set(h.ended, serverAt(i))
					time.Sleep(2 * time.Second)
				}
				NewWithT(t).Expect(h.checked()).To(Equal(c.checks))
				NewWithT(t).Expect(refuses(guard, "deadly")).To(Equal(c.blocked))
			})
		})
	}
}

func TestAServerIsCheckedTwiceAfterASingleCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHosts()
		newWatchingGuard(h).AttemptAbandoned(call("sound", callTime), serverAt(1), 0)
		time.Sleep(time.Minute)
		NewWithT(t).Expect(h.checked()).To(Equal(2))
	})
}
