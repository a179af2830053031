package forward_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/liveness"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/storehistory"
)

// proxiedService is a service whose servers end under a request, while something else goes on
// accepting connections at their addresses.
type proxiedService struct {
	*fakeService
	closes  bool // it closes them at once; it keeps them open otherwise
	fails   bool // connections fail with an error that is no refusal, in place of that
	crashes int
}

// newProxiedService returns a service of n servers, each of which ends so long after it got its first
// request.
func newProxiedService(n int, crashAfter time.Duration) *proxiedService {
	p := &proxiedService{fakeService: &fakeService{ended: make(map[string]bool), responses: make(map[string]response)}}
	for i := range n {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		p.responses[fmt.Sprintf("i-%d", i)] = func(ctx context.Context) (*server.Answer, error) {
			if p.fails && p.hasEnded(address) {
				return unreachable(ctx)
			}
			if !p.hasEnded(address) {
				crashed := make(chan bool)
				time.AfterFunc(crashAfter, func() {
					p.end(address)
					close(crashed)
				})
				select {
				case <-crashed:
				case <-ctx.Done():
				}
			}
			return nil, fmt.Errorf("EOF: %w", server.ErrLost)
		}
	}
	return p
}

func (p *proxiedService) end(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended[address] = true
	p.crashes++
}

// listens is the check of an address at which something accepts connections.
func (p *proxiedService) listens(address string) (bool, error) {
	switch {
	case !p.ended[address]:
		return true, nil
	case p.fails:
		return false, fmt.Errorf("check: %w", syscall.EHOSTUNREACH)
	case p.closes:
		return false, fmt.Errorf("check: %w", liveness.ErrClosed)
	}
	return true, nil
}

// restart starts the servers that have ended as other incarnations.
func (p *proxiedService) restart(n int) {
	p.mu.Lock()
	ended := maps.Clone(p.ended)
	clear(p.ended)
	p.mu.Unlock()
	var all []server.Server
	for i := range n {
		s := p.servers.Get(fmt.Sprintf("i-%d", i)).Server
		if ended[s.Address] {
			s.Started = max(s.Started, time.Now().UnixMilli())
		}
		all = append(all, s)
	}
	p.servers.Set(storehistory.Position{Revision: 2}, all)
}

// Guards against a call that crashes one server after the other and is never suspected, as their
// addresses refuse no connections, whether its callers stay or leave: something else accepts them, or
// they fail with another error.
func TestACallThatCrashesServersWhoseAddressesRefuseNoConnectionsIsRefused(t *testing.T) {
	for _, kind := range []routes.Kind{routes.NonIdempotent, routes.Idempotent} {
		for name, shape := range map[string]proxiedService{"closed": {closes: true}, "held": {}, "failing": {fails: true}} {
			for _, leave := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, callers leave: %t", kind, name, leave), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						g := NewWithT(t)
						const servers = 8
						p := newProxiedService(servers, 60*time.Millisecond)
						p.closes, p.fails, p.check = shape.closes, shape.fails, p.listens
						send := newForwarder(p.fakeService, servers)
						if leave {
							p.leaveAfter = 20 * time.Millisecond
						}
						for range 8 {
							send(kind, 1, "")
							time.Sleep(2 * time.Second)
							p.restart(servers)
							time.Sleep(time.Second)
						}
						g.Expect(p.crashes).To(Equal(3))
						p.leaveAfter = 0
						g.Expect(send(kind, 1, "").Code).To(Equal(http.StatusServiceUnavailable))
					})
				})
			}
		}
	}
}

// Guards against a sound call that is blamed as its connections break while its servers live: they
// are not replaced, or they have answered others since.
func TestACallWhoseConnectionsBreakIsNotRefusedWhileItsServersLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &fakeService{responses: make(map[string]response)}
		for i := range 8 {
			s.responses[fmt.Sprintf("i-%d", i)] = s.loseAnswer
		}
		send := newForwarder(s, 8)
		for range 20 {
			g.Expect(send(routes.NonIdempotent, 1, "").Code).To(Equal(http.StatusBadGateway))
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against bookings that are lost one after the other at an address that closes connections, at
// this router and at its peers.
func TestAServerWhoseAddressClosesConnectionsIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newProxiedService(1, 0)
		p.closes, p.check = true, p.listens
		g.Expect(newForwarder(p.fakeService, 2)(routes.NonIdempotent, 1, "").Code).To(Equal(http.StatusBadGateway))
		load := p.servers.Get("i-0").Load
		g.Expect(load.State(time.Now()).Down).To(BeTrue())
		g.Expect(load.OwnShare(time.Now()).DownMs).To(BeNumerically(">", 0))
	})
}

// Guards against an answer of somebody else at a server's address that passes for a sign of life of the
// server: of another incarnation, or of a proxy whose server is gone.
func TestOnlyAnAnswerOfTheServerItselfIsASignOfLife(t *testing.T) {
	for name, c := range map[string]struct {
		answer server.Answer
		alive  bool
	}{
		"signed":                               {server.Answer{Status: http.StatusOK, Signed: true}, true},
		"a failure, signed":                    {server.Answer{Status: http.StatusInternalServerError, Signed: true}, true},
		"not executed":                         {server.Answer{Status: http.StatusServiceUnavailable, NotExecuted: true}, true},
		"another incarnation has the address":  {server.Answer{Status: http.StatusMisdirectedRequest, NotExecuted: true}, false},
		"a failure of a proxy":                 {server.Answer{Status: http.StatusBadGateway}, false},
		"a refusal of a proxy":                 {server.Answer{Status: http.StatusServiceUnavailable}, false},
		"an answer to another request, signed": {server.Answer{Status: http.StatusOK, Signed: true, Mismatched: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &fakeService{responses: map[string]response{"i-0": func(context.Context) (*server.Answer, error) {
					a := c.answer
					a.Body = http.NoBody
					return &a, nil
				}}}
				newForwarder(s, 1)(routes.NonIdempotent, 1, "")
				answeredAt, _ := s.servers.Health(&s.servers.Get("i-0").Server, time.Now())
				g.Expect(!answeredAt.IsZero()).To(Equal(c.alive))
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against a call that crashes one server after the other and is never suspected, as a proxy
// answers in the place of each.
func TestACallThatCrashesServersBehindAProxyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const servers = 8
		p := newProxiedService(servers, 60*time.Millisecond)
		p.check = p.listens
		for id, crash := range p.responses {
			p.responses[id] = func(ctx context.Context) (*server.Answer, error) {
				_, _ = crash(ctx)
				return &server.Answer{Status: http.StatusBadGateway, Body: http.NoBody}, nil
			}
		}
		send := newForwarder(p.fakeService, servers)
		for range 8 {
			send(routes.NonIdempotent, 1, "")
			time.Sleep(2 * time.Second)
			p.restart(servers)
			time.Sleep(time.Second)
		}
		g.Expect(p.crashes).To(Equal(3))
		g.Expect(send(routes.NonIdempotent, 1, "").Code).To(Equal(http.StatusServiceUnavailable))
	})
}
