package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/link"
	decision "wisteriafield/internal/decision/ratelimit"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/ratelimit"
	"wisteriafield/internal/router/relay"
	"wisteriafield/internal/router/sessions"
)

// fakeEngines is a set of engines that generate events 1 to eventCount for every request,
// one each gap. Every attempt with a backup engine is backed up there.
type fakeEngines struct {
	mu            sync.Mutex
	eventCount    int
	gap           time.Duration
	faults        map[string]engineFaults // by server ID
	backups       map[string]bool         // by address/attempt ID
	cachedPrompts map[string]string       // sessions by address
	dispatches    []server.Dispatch
	deadlyPart    string // a part of prompts that crashes every engine after its header

	probes int // reports that were requested
}

// engineFaults says what goes wrong at an engine.
type engineFaults struct {
	breakAfter      int           // the connection breaks after this many events of an attempt
	unresponsive    bool          // with breakAfter, the connection goes silent; probes are not answered
	losesConnection bool          // the connection breaks at once
	refuses         bool          // for lack of capacity
	replaced        bool          // another incarnation has the address
	waiting         int           // queued requests of other routers
	errorBytes      int           // answers with a failure of that size
	drips           bool          // sends a byte now and then, never a whole event
	closeDelimited  bool          // answers have neither a length nor chunks
	closesAfter     int           // closes the connection, as if the answer were whole, after this many events
	cutsEvent       bool          // with closesAfter, within the next event
	limit           float64       // that it names in its answers; 0 for none
	leaving         bool          // says so in its answers
	pause           time.Duration // with refuses, for which it wants nothing more
	lostAttempt     bool          // does not have the attempt and sends nothing, but answers probes
}

func (e *fakeEngines) Send(ctx context.Context, d server.Dispatch) (*server.Answer, error) {
	e.mu.Lock()
	e.dispatches = append(e.dispatches, d)
	f := e.faults[d.Server.ID]
	backupKnown := d.RestoreFrom == nil || e.backups[d.RestoreFrom.Address+"/"+d.RestoreFrom.ID]
	if d.BackupServer != nil {
		e.backups[d.BackupServer.Address+"/"+d.Request.ID] = true
	}
	e.mu.Unlock()
	switch {
	case e.deadlyPart != "" && slices.Contains(d.Request.SharedPartIDs(), e.deadlyPart):
		body := iotest.ErrReader(io.ErrUnexpectedEOF)
		return &server.Answer{Status: http.StatusOK, Signed: true, Header: http.Header{"Seal": {d.Server.ID}}, Body: io.NopCloser(body)}, nil
	case f.refuses || !backupKnown:
		a := &server.Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Leaving: f.leaving, Body: http.NoBody}
		if f.pause > 0 {
			a.RetryAt = time.Now().Add(f.pause)
		}
		return a, nil
	case f.replaced:
		return &server.Answer{Status: http.StatusMisdirectedRequest, NotExecuted: true, ActualServerID: "i-other", Body: http.NoBody}, nil
	case f.errorBytes > 0:
		body := strings.NewReader(strings.Repeat("x", f.errorBytes))
		return &server.Answer{Status: http.StatusBadRequest, Signed: true, Header: http.Header{"Seal": {d.Server.ID}}, Body: io.NopCloser(body)}, nil
	case f.losesConnection:
		return nil, fmt.Errorf("reset: %w", server.ErrLost)
	case f.lostAttempt:
		<-ctx.Done()
		return nil, fmt.Errorf("closed: %w", server.ErrLost)
	}
	r, w := io.Pipe()
	if f.drips {
		go drip(ctx, w)
	} else {
		go e.generate(ctx, w, d, f)
	}
	return &server.Answer{Status: http.StatusOK, Signed: true, Header: http.Header{"Seal": {d.Server.ID}}, Body: r, CloseDelimited: f.closeDelimited, Limited: f.limit > 0, RateLimit: f.limit, Leaving: f.leaving}, nil
}

// drip writes a byte every 100 ms until ctx ends.
func drip(ctx context.Context, w *io.PipeWriter) {
	for {
		select {
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
			return
		case <-time.After(100 * time.Millisecond):
		}
		if _, err := w.Write([]byte("d")); err != nil {
			return
		}
	}
}

func (e *fakeEngines) generate(ctx context.Context, w *io.PipeWriter, d server.Dispatch, f engineFaults) {
	for i := d.LastEventID + 1; i <= e.eventCount; i++ {
		if f.closesAfter > 0 && i > d.LastEventID+f.closesAfter {
			if f.cutsEvent {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: ev", i)
			}
			_ = w.Close()
			return
		}
		if f.breakAfter > 0 && i > d.LastEventID+f.breakAfter {
			if f.unresponsive {
				<-ctx.Done()
			}
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		select {
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
			return
		case <-time.After(e.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i); err != nil {
			return
		}
	}
	_ = w.Close()
}

func (e *fakeEngines) Report(ctx context.Context, address string) (server.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probes++
	if e.faults[engineIDAt(address)].unresponsive {
		return server.Report{}, context.DeadlineExceeded
	}
	if e.faults[engineIDAt(address)].lostAttempt {
		return server.Report{}, nil
	}
	if f := e.faults[engineIDAt(address)]; f.waiting > 0 {
		return server.Report{Queued: f.waiting, Active: 1}, nil
	}
	return server.Report{Active: 1}, nil
}

func (e *fakeEngines) CachedPromptParts(_ context.Context, address string) ([]server.PromptPart, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []server.PromptPart{{ID: e.cachedPrompts[address], Tokens: 5000}}, nil
}

// CopyKVCache makes a backup whose ID contains the attempt ID.
func (e *fakeEngines) CopyKVCache(_ context.Context, address, attemptID, _ string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	backupID := "copy-of-" + attemptID
	e.backups[address+"/"+backupID] = true
	return backupID, nil
}

func (e *fakeEngines) DeleteBackup(_ context.Context, backup server.KVBackup) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.backups, backup.Address+"/"+backup.ID)
	return nil
}

// dispatched returns the attempts so far.
func (e *fakeEngines) dispatched() []server.Dispatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]server.Dispatch(nil), e.dispatches...)
}

// setFaults replaces the faults of all engines, which probes may be reading.
func (e *fakeEngines) setFaults(faults map[string]engineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// probed returns the number of reports that were requested.
func (e *fakeEngines) probed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.probes
}

func (e *fakeEngines) sentTo() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for _, d := range e.dispatches {
		ids = append(ids, d.Server.ID)
	}
	return ids
}

// engineIDAt returns the ID of the engine at an address. Engines i-0, i-1 and i-2 are in
// failure domains a, b and c.
func engineIDAt(address string) string { return "i-" + address[len("10.0.0."):len("10.0.0.")+1] }

func engineAddress(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

// sessionTable keeps the session records of all routers in one table.
type sessionTable struct{ *sessions.Table }

func (t sessionTable) PutSession(r sessions.Record) { t.Put(r, time.Now()) }

func (t sessionTable) FindSession(_ context.Context, session string) (sessions.Record, bool) {
	return t.Get(session, time.Now())
}

type unlimitedBudget struct{}

func (unlimitedBudget) Allow(string, time.Time) bool { return true }

// harness is a relay with three fake engines.
type harness struct {
	*WithT
	engines  *fakeEngines
	servers  *registry.Registry
	relay    *relay.Relay
	sessions sessionTable
	limits   *ratelimit.Limiter
	service  routes.Service
	route    routes.Route

	loadsUnknown bool // the loads that other routers put on the engines are not known
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		WithT:    NewWithT(t),
		engines:  &fakeEngines{eventCount: 20, gap: 20 * time.Millisecond, faults: map[string]engineFaults{}, backups: map[string]bool{}, cachedPrompts: map[string]string{}},
		servers:  registry.New(),
		sessions: sessionTable{sessions.NewTable()},
		service:  routes.Service{Name: "engines", Engine: &routes.Engine{MemoryTokens: 55000, SupportsBackups: true, CopiesKVCache: true, TokensPerEvent: 6, BackupTTL: 4 * time.Second}},
		route:    routes.Route{Kind: routes.Streaming, Resumable: true, MaxAttempts: 3},
	}
	h.setServers(nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.limits = ratelimit.New(decision.Config{Self: "router", Peers: func(time.Time) []string { return nil }, Demand: func(string, time.Time) float64 { return 1 }}, log.WithField("part", "limits"))
	h.relay = relay.New(relay.Config{
		Servers: h.servers, Client: h.engines, RetryBudget: unlimitedBudget{}, Links: link.New(), Domain: "a", Sessions: h.sessions, OnUnresponsive: func() {},
		Quarantine: quarantine.New(0, func() {}, log.WithField("part", "quarantine")),
		Limits:     h.limits,
		KnowsLoads: func() bool { return !h.loadsUnknown }, Log: log.WithField("part", "stream"),
	})
	return h
}

// setServers lists the engines in the registry, some of them as leaving.
func (h *harness) setServers(leaving map[string]bool) {
	var all []server.Server
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		all = append(all, server.Server{ID: id, Service: "engines", Address: engineAddress(i), Domain: string(rune('a' + i)), Slots: 64, Leaving: leaving[id]})
	}
	h.servers.Set(1, all)
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
