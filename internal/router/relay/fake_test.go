package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/link"
	"wisteriafield/internal/router/relay"
	"wisteriafield/internal/router/sessions"
)

// engines is a set of engines that make events 1 to length for every request, one
// each gap. Runs are copied to their backups as they grow.
type engines struct {
	mu     sync.Mutex
	length int
	gap    time.Duration
	fate   map[string]fate // by server id
	copies map[string]bool // address/run
	cached map[string]string
	sends  []server.Dispatch

	reports int // questions
}

// fate is what goes wrong at an engine.
type fate struct {
	breakAfter int  // events of a run, then the connection breaks
	dark       bool // nothing is answered from then on
	loses      bool // the connection breaks at once
	refuses    bool
	replaced   bool
	waiting    int  // requests of other routers that wait there
	silent     bool // it has no run and sends nothing, but answers questions
}

func (e *engines) Send(ctx context.Context, d server.Dispatch) (*server.Answer, error) {
	e.mu.Lock()
	e.sends = append(e.sends, d)
	f := e.fate[d.Server.ID]
	known := d.RestoreFrom == nil || e.copies[d.RestoreFrom.Address+"/"+d.RestoreFrom.ID]
	if d.BackupServer != nil {
		e.copies[d.BackupServer.Address+"/"+d.Request.ID] = true
	}
	e.mu.Unlock()
	switch {
	case f.refuses || !known:
		return &server.Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: http.NoBody}, nil
	case f.replaced:
		return &server.Answer{Status: http.StatusMisdirectedRequest, NotExecuted: true, ActualServerID: "i-other", Body: http.NoBody}, nil
	case f.loses:
		return nil, fmt.Errorf("reset: %w", server.ErrLost)
	case f.silent:
		<-ctx.Done()
		return nil, fmt.Errorf("closed: %w", server.ErrLost)
	}
	r, w := io.Pipe()
	go e.generate(ctx, w, d, f)
	return &server.Answer{Status: http.StatusOK, Signed: true, Header: http.Header{"Seal": {d.Server.ID}}, Body: r}, nil
}

func (e *engines) generate(ctx context.Context, w *io.PipeWriter, d server.Dispatch, f fate) {
	for i := d.LastEventID + 1; i <= e.length; i++ {
		if f.breakAfter > 0 && i > d.LastEventID+f.breakAfter {
			if f.dark {
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

func (e *engines) Report(ctx context.Context, address string) (server.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	if e.fate[idAt(address)].dark {
		return server.Report{}, context.DeadlineExceeded
	}
	if e.fate[idAt(address)].silent {
		return server.Report{}, nil
	}
	if f := e.fate[idAt(address)]; f.waiting > 0 {
		return server.Report{Queued: f.waiting, Active: 1}, nil
	}
	return server.Report{Active: 1}, nil
}

func (e *engines) CachedPromptParts(_ context.Context, address string) ([]server.PromptPart, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return []server.PromptPart{{ID: e.cached[address], Tokens: 5000}}, nil
}

// CopyKVCache makes a copy whose name holds the run's.
func (e *engines) CopyKVCache(_ context.Context, address, run, _ string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	handle := "copy-of-" + run
	e.copies[address+"/"+handle] = true
	return handle, nil
}

func (e *engines) DeleteBackup(_ context.Context, c server.KVBackup) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.copies, c.Address+"/"+c.ID)
	return nil
}

func (e *engines) sentTo() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for _, d := range e.sends {
		ids = append(ids, d.Server.ID)
	}
	return ids
}

// Engines i-0, i-1 and i-2 are in failure domains a, b and c.
func idAt(address string) string { return "i-" + address[len("10.0.0."):len("10.0.0.")+1] }

func addressOf(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

// table is a memory of runs.
type table struct{ *sessions.Table }

func (t table) PutSession(r sessions.Record) { t.Put(r, time.Now()) }

func (t table) FindSession(_ context.Context, session string) (sessions.Record, bool) {
	return t.Get(session, time.Now())
}

type always struct{}

func (always) Allow(string, time.Time) bool { return true }

// world is a relay before three engines.
type world struct {
	*WithT
	engines *engines
	servers *registry.Registry
	relay   *relay.Relay
	runs    table
	service routes.Service
	route   routes.Route

	loadsUnknown bool // what other routers gave the engines
}

func newWorld(t *testing.T) *world {
	w := &world{
		WithT:   NewWithT(t),
		engines: &engines{length: 20, gap: 20 * time.Millisecond, fate: map[string]fate{}, copies: map[string]bool{}, cached: map[string]string{}},
		servers: registry.New(),
		runs:    table{sessions.NewTable()},
		service: routes.Service{Name: "engines", Engine: &routes.Engine{Memory: 55000, Backups: true, CopiesRuns: true, EventTokens: 6, KeepsCopyFor: 4 * time.Second}},
		route:   routes.Route{Kind: routes.Streaming, Resumable: true, Attempts: 3},
	}
	w.list(nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.relay = relay.New(relay.Config{
		Servers: w.servers, Client: w.engines, RetryBudget: always{}, Links: link.New(), Domain: "a", Sessions: w.runs, OnUnresponsive: func() {},
		KnowsLoads: func() bool { return !w.loadsUnknown }, Log: log.WithField("part", "stream"),
	})
	return w
}

// list makes the engines known, some of them leaving.
func (w *world) list(leaving map[string]bool) {
	var all []server.Server
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		all = append(all, server.Server{ID: id, Service: "engines", Address: addressOf(i), Domain: string(rune('a' + i)), Slots: 64, Leaving: leaving[id]})
	}
	w.servers.Set(1, all)
}

func (w *world) request(after int) *server.Request {
	return &server.Request{
		ID: "r-1", Route: &w.route, Service: "engines", ArrivedAt: time.Now(), Deadline: time.Now().Add(20 * time.Second),
		PromptTokens: 5000, MaxOutputTokens: 120, PromptParts: []server.PromptPart{{ID: "shared", Tokens: 200}, {ID: "own", Tokens: 4800}}, LastEventID: after,
	}
}

// serve answers a request and reports whether the answer was cut.
func (w *world) serve(req *server.Request) (res *httptest.ResponseRecorder, cut bool) {
	res = httptest.NewRecorder()
	defer func() { cut = recover() != nil }()
	w.relay.Serve(res, context.Background(), req, &w.service)
	return res, false
}

// events is the text of events from..to.
func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
	}
	return text
}
