package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// report is the reply of GET /v1/load.
type report struct {
	At      time.Time
	Running int
	Waiting int
	Slots   int
	Leaving bool
}

// stateReply is the reply of GET /v1/state.
type stateReply struct {
	Models   map[string]string
	Adapters map[string][]string
	Role     string
	Fencing  int64
	Leaving  bool
	Running  int
	Stats    Stats
}

// attemptReply is the reply of GET /v1/attempt.
type attemptReply struct {
	Position int
	Waiting  bool
}

const maxReports = 4096

// record keeps the load for later reports. The caller holds mu.
func (e *Engine) record() {
	e.reports = append(e.reports, report{At: time.Now(), Running: len(e.running), Waiting: len(e.waiting), Slots: e.cfg.Slots})
	if len(e.reports) > maxReports {
		e.reports = append([]report(nil), e.reports[maxReports/2:]...)
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	latest := report{Slots: e.cfg.Slots}
	limit := time.Now().Add(-e.cfg.ReportLag)
	for i := len(e.reports) - 1; i >= 0; i-- {
		if !e.reports[i].At.After(limit) {
			latest = e.reports[i]
			break
		}
	}
	latest.Leaving = e.leaving
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(latest)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	reply := stateReply{Models: e.models, Adapters: e.adapters, Role: e.role, Fencing: e.fencing, Leaving: e.leaving, Running: len(e.running) + len(e.waiting), Stats: e.stats}
	body, err := json.Marshal(reply)
	e.mu.Unlock()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

func (e *Engine) attempt(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("generation") + "/" + r.URL.Query().Get("attempt")
	e.mu.Lock()
	one := e.running[id]
	reply := attemptReply{}
	for _, waiting := range e.waiting {
		if waiting.id == id {
			reply.Waiting = true
		}
	}
	if one != nil {
		reply.Position = one.position
	}
	e.mu.Unlock()
	if one == nil && !reply.Waiting {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(reply)
}
