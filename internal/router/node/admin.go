package node

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	stdlog "log"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/decision/invariant"
	"wisteriafield/internal/decision/plan"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/router/keeper"
)

// Status is the summary of a router for operators.
type Status struct {
	Name        string
	Environment string
	storehistory.Position
	Digest    string
	Stopping  bool
	StartedAt time.Time
}

// Dump is the full state of a router. It holds no prompt, no token and no key.
type Dump struct {
	Status              Status
	Routers             []string // live, by name
	Suspects            []string // peers suspected to be down
	Keeper              keeper.Dump
	Plan                *plan.Plan
	Entry               EntryDump
	Claims              ClaimsDump
	Directory           int // number of directory records
	Store               StoreDump
	InvariantViolations uint64 `json:"Invariants"`
}

// EntryDump is the state of the entry role.
type EntryDump struct {
	Running int // generations that have not ended
}

// ClaimsDump counts the claimed attempts of non-idempotent calls at this router.
type ClaimsDump struct {
	Known   int // in the attempt table
	Running int // dispatched and not ended
}

// StoreDump counts the calls of the platform's store.
type StoreDump struct {
	Reads, Writes, Watches int64
}

// Dump returns the full state of the router.
func (n *Node) Dump() Dump {
	now := time.Now()
	return Dump{
		Status:              n.Status(),
		Routers:             n.members.Names(now),
		Suspects:            n.members.Suspects.Names(now),
		Keeper:              n.keeper.Dump(),
		Plan:                n.planner.Current(),
		Entry:               EntryDump{Running: n.entry.Running()},
		Claims:              ClaimsDump{Known: n.attempts.Len(), Running: n.attempts.Running()},
		Directory:           n.directory.Len(),
		Store:               StoreDump{n.store.Calls.Reads.Load(), n.store.Calls.Writes.Load(), n.store.Calls.Watches.Load()},
		InvariantViolations: invariant.Violations(),
	}
}

// Status returns the summary of the router.
func (n *Node) Status() Status {
	s := Status{Name: n.cfg.Host.Name, Environment: n.cfg.Host.Environment, Stopping: n.members.Stopping(), StartedAt: n.startedAt}
	if v := n.View(); v != nil {
		s.Position, s.Digest = v.Position, v.Digest
	}
	return s
}

// adminHandler serves health checks to all, and status, dump and metrics to callers
// with the admin credential.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Status()) })
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.Dump()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	public := http.NewServeMux()
	n.registerHealth(public)
	public.Handle("/", requireCredential(n.cfg.Credentials.Admin, mux))
	return public
}

func (n *Node) registerHealth(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", n.ready)
}

// ready tells the load balancer whether to send callers to this router.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.members.Stopping():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case n.View() == nil:
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}

func requireCredential(credential string, h http.Handler) http.Handler {
	want := []byte("Bearer " + credential)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			apierror.New(apierror.Unauthenticated, "wrong credential").Write(w)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	apierror.New(apierror.NotFound, "nothing is here").Write(w)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}

// discardLog returns a logger that drops the lines of net/http about connections
// that callers closed.
func discardLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
