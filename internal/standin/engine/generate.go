package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"wisteriafield/internal/base/loop"
)

// request is the body of POST /v1/generate. POST /v1/cancel uses its Generation and
// Attempt only.
type request struct {
	Generation string
	Attempt    string
	Model      string
	Version    string
	Adapter    string
	Prompt     string
	Accepted   []string
	MaxTokens  int
	Priority   int
}

// responseLine is one NDJSON line of the response to POST /v1/generate.
type responseLine struct {
	Position int    `json:",omitempty"`
	Text     string `json:",omitempty"`
	Done     string `json:",omitempty"` // finish reason; set on the last line only
}

// attempt is a request that waits for a slot or runs in one.
type attempt struct {
	id       string
	priority int
	position int
	started  chan struct{}
	cancel   context.CancelFunc
}

const maxWaiting = 64 // requests; further ones are refused

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	a := &attempt{id: req.Generation + "/" + req.Attempt, priority: req.Priority, started: make(chan struct{}), cancel: cancel}
	if status := e.admit(req, a); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	defer e.release(a)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush(w)
	select {
	case <-a.started:
	case <-ctx.Done():
		return
	}
	if !loop.Sleep(ctx, e.prefillTime(req)) {
		return
	}
	e.streamTokens(ctx, w, req, a)
}

func (e *Engine) streamTokens(ctx context.Context, w http.ResponseWriter, req request, a *attempt) {
	encoder := json.NewEncoder(w)
	next := time.Now()
	for position := len(req.Accepted) + 1; position <= req.MaxTokens; position++ {
		next = next.Add(e.tokenInterval())
		if !loop.Sleep(ctx, time.Until(next)) {
			return
		}
		if err := encoder.Encode(responseLine{Position: position, Text: tokenText(req.Generation, req.Attempt, position)}); err != nil {
			return
		}
		flush(w)
		e.mu.Lock()
		a.position = position
		e.stats.Tokens++
		e.mu.Unlock()
	}
	_ = encoder.Encode(responseLine{Done: "length"})
	flush(w)
}

// admit queues an attempt by priority, starts it if a slot is free, and returns the
// HTTP status.
func (e *Engine) admit(req request, a *attempt) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	version, ok := e.models[req.Model]
	switch {
	case e.leaving:
		return http.StatusServiceUnavailable
	case !ok:
		return http.StatusNotFound
	case version != req.Version:
		return http.StatusConflict
	case len(e.waiting) >= maxWaiting:
		return http.StatusServiceUnavailable
	}
	e.stats.Started++
	index := len(e.waiting)
	for index > 0 && e.waiting[index-1].priority < a.priority {
		index--
	}
	e.waiting = append(e.waiting[:index], append([]*attempt{a}, e.waiting[index:]...)...)
	e.startWaiting()
	return http.StatusOK
}

// startWaiting starts waiting attempts while slots are free. The caller holds mu.
func (e *Engine) startWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[a.id] = a
		close(a.started)
	}
	e.recordLoad()
}

// release removes an attempt and gives its slot to the next one that waits.
func (e *Engine) release(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, a.id)
	for i, waiting := range e.waiting {
		if waiting == a {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.startWaiting()
}

// prefillTime returns the prefill time of a request and counts its tokens. A cached
// prefix saves half of the prompt.
func (e *Engine) prefillTime(req request) time.Duration {
	prompt := strings.Fields(req.Prompt)
	tokens := len(prompt) + len(req.Accepted)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache.touch(prefixOf(prompt)) {
		tokens -= len(prompt) / 2
	}
	e.stats.Prefilled += tokens
	return time.Duration(e.slowdown * float64(tokens) / 1000 * float64(e.cfg.Prefill))
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	id := req.Generation + "/" + req.Attempt
	for _, a := range e.waiting {
		if a.id == id {
			a.cancel()
		}
	}
	if a := e.running[id]; a != nil {
		a.cancel()
		e.stats.Cancelled++
	}
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
