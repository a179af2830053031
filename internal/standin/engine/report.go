package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// loadReport is the reply of GET /v1/load.
type loadReport struct {
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

const maxReports = 4096 // the older half is dropped when there are more

// recordLoad stores the current load, which load replies return after ReportLag. The
// caller holds mu.
func (e *Engine) recordLoad() {
	e.loadReports = append(e.loadReports, loadReport{At: time.Now(), Running: len(e.running), Waiting: len(e.waiting), Slots: e.cfg.Slots})
	if len(e.loadReports) > maxReports {
		e.loadReports = append([]loadReport(nil), e.loadReports[maxReports/2:]...)
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	latest := loadReport{Slots: e.cfg.Slots}
	cutoff := time.Now().Add(-e.cfg.ReportLag)
	for i := len(e.loadReports) - 1; i >= 0; i-- {
		if !e.loadReports[i].At.After(cutoff) {
			latest = e.loadReports[i]
			break
		}
	}
	latest.Leaving = e.leaving
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(latest)
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
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

func (e *Engine) handleAttempt(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("generation") + "/" + r.URL.Query().Get("attempt")
	e.mu.Lock()
	running := e.running[id]
	reply := attemptReply{}
	for _, waiting := range e.waiting {
		if waiting.id == id {
			reply.Waiting = true
		}
	}
	if running != nil {
		reply.Position = running.position
	}
	e.mu.Unlock()
	if running == nil && !reply.Waiting {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(reply)
}
