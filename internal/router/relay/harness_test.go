package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/answermemory"
	"wisteriafield/internal/decision/link"
	decision "wisteriafield/internal/decision/ratelimit"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/ratelimit"
	"wisteriafield/internal/router/relay"
	"wisteriafield/internal/router/sessions"
)

// sessionTable keeps the session records of all routers in one table.
type sessionTable struct{ *sessions.Table }

func (t sessionTable) PutSession(r sessions.Record) { t.Put(r, time.Now()) }

func (t sessionTable) FindSession(_ context.Context, request string) (sessions.Record, bool) {
	return t.Get(request, time.Now())
}

// fakeBudget is a retry budget that is exhausted until a time. It counts what it gives and,
// unless most is 0, gives no more than that.
type fakeBudget struct {
	exhaustedUntil time.Time
	given, most    int
	returned       int
}

func (b *fakeBudget) Allow(_ string, now time.Time) bool {
	if now.Before(b.exhaustedUntil) || b.most > 0 && b.given-b.returned >= b.most {
		return false
	}
	b.given++
	return true
}

func (b *fakeBudget) NextAt(_ string, now time.Time) time.Time {
	switch {
	case b.most > 0 && b.given-b.returned >= b.most:
		return time.Time{}
	case now.Before(b.exhaustedUntil):
		return b.exhaustedUntil
	default:
		return now
	}
}

func (b *fakeBudget) Return(string, time.Time, time.Time) { b.returned++ }

// harness is a relay with three fake engines.
type harness struct {
	*WithT
	engines  *fakeEngines
	servers  *registry.Registry
	cfg      relay.Config
	relay    *relay.Relay
	sessions sessionTable
	limits   *ratelimit.Limiter
	budget   *fakeBudget
	hook     *logtest.Hook
	service  routes.Service
	route    routes.Route

	started      int64 // of the engines' incarnations
	loadsUnknown bool  // the loads that other routers put on the engines are not known
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		WithT:    NewWithT(t),
		engines:  &fakeEngines{eventCount: 20, gap: 20 * time.Millisecond, faults: map[string]engineFaults{}, backups: map[string]bool{}, cachedPrompts: map[string]string{}, pausedUntil: map[string]time.Time{}, ended: map[string]time.Time{}, crashed: map[string]int{}, down: map[string]bool{}},
		servers:  registry.New(),
		sessions: sessionTable{sessions.NewTable()},
		service:  routes.Service{Name: "engines", Engine: &routes.Engine{MemoryTokens: 55000, SupportsBackups: true, CopiesKVCache: true, TokensPerEvent: 6, BackupTTL: 4 * time.Second}},
		route:    routes.Route{Kind: routes.Streaming, Resumable: true, MaxAttempts: 3},
	}
	h.budget = &fakeBudget{}
	h.setServers(nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.hook = logtest.NewLocal(log)
	h.limits = ratelimit.New(decision.Config{Self: "router", Peers: func(time.Time) []string { return nil }, Demand: func(string, time.Time) float64 { return 1 }}, log.WithField("part", "limits"))
	guard := quarantine.New(0, func() {}, log.WithField("part", "quarantine"))
	guard.CheckServers(quarantine.Checks{Listens: h.engines.Listens, Leaves: h.servers.Leaves, Replaced: h.servers.Replaced})
	h.cfg = relay.Config{
		Servers: h.servers, Client: h.engines, RetryBudget: h.budget, Links: link.New(), Domain: "a", Sessions: h.sessions, OnUnresponsive: func() {},
		Quarantine: guard,
		Limits:     h.limits,
		Memory:     answermemory.New(16 << 20),
		KnowsLoads: func() bool { return !h.loadsUnknown }, Log: log.WithField("part", "stream"),
	}
	h.relay = relay.New(h.cfg)
	return h
}

// setServers lists the engines in the registry, some of them as leaving.
func (h *harness) setServers(leaving map[string]bool) {
	var all []server.Server
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		all = append(all, server.Server{ID: id, Service: "engines", Address: engineAddress(i), Domain: string(rune('a' + i)), Slots: 64, Leaving: leaving[id], Started: h.started})
	}
	h.servers.Set(storehistory.Position{Revision: 1}, all)
}

func (h *harness) newRequest(lastEventID int) *server.Request {
	return &server.Request{
		ID: "r-1", Route: &h.route, Service: "engines", ArrivedAt: time.Now(), Deadline: time.Now().Add(20 * time.Second),
		PromptTokens: 5000, MaxOutputTokens: 120, PromptParts: []server.PromptPart{{ID: "shared", Tokens: 200}, {ID: "own", Tokens: 4800}}, LastEventID: lastEventID,
	}
}

// serve answers a request and reports whether the connection was cut.
func (h *harness) serve(req *server.Request) (res *httptest.ResponseRecorder, cut bool) {
	res = httptest.NewRecorder()
	defer func() { cut = recover() != nil }()
	h.relay.Serve(res, context.Background(), req, &h.service)
	return res, false
}
