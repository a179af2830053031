package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"wisteriafield/internal/base/loop"
)

// request is the body of POST /v1/generate.
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

// line is one line of the reply.
type line struct {
	Position int    `json:",omitempty"`
	Text     string `json:",omitempty"`
	Done     string `json:",omitempty"` // reason, on the last line
}

type run struct {
	id       string
	priority int
	position int
	start    chan struct{}
	cancel   context.CancelFunc
}

const maxWaiting = 64

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	one := &run{id: req.Generation + "/" + req.Attempt, priority: req.Priority, start: make(chan struct{}), cancel: cancel}
	if status := e.admit(req, one); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	defer e.leave(one)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flush(w)
	select {
	case <-one.start:
	case <-ctx.Done():
		return
	}
	if !loop.Sleep(ctx, e.prefill(req)) {
		return
	}
	e.stream(ctx, w, req, one)
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, req request, one *run) {
	out := json.NewEncoder(w)
	next := time.Now()
	for position := len(req.Accepted) + 1; position <= req.MaxTokens; position++ {
		next = next.Add(e.step())
		if !loop.Sleep(ctx, time.Until(next)) {
			return
		}
		if err := out.Encode(line{Position: position, Text: text(req.Generation, req.Attempt, position)}); err != nil {
			return
		}
		flush(w)
		e.mu.Lock()
		one.position = position
		e.stats.Tokens++
		e.mu.Unlock()
	}
	_ = out.Encode(line{Done: "length"})
	flush(w)
}

// admit queues a run and starts it if there is room.
func (e *Engine) admit(req request, one *run) int {
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
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority < one.priority {
		at--
	}
	e.waiting = append(e.waiting[:at], append([]*run{one}, e.waiting[at:]...)...)
	e.fill()
	return http.StatusOK
}

// fill starts waiting runs while there are free slots. The caller holds mu.
func (e *Engine) fill() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		one := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[one.id] = one
		close(one.start)
	}
	e.record()
}

func (e *Engine) leave(one *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, one.id)
	for i, w := range e.waiting {
		if w == one {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	e.fill()
}

// prefill returns how long the prompt takes, less what the cache holds.
func (e *Engine) prefill(req request) time.Duration {
	prompt := strings.Fields(req.Prompt)
	tokens := len(prompt) + len(req.Accepted)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache.touch(prefixOf(prompt)) {
		tokens -= len(prompt) / 2
	}
	e.stats.Prefilled += tokens
	return time.Duration(e.slow * float64(tokens) / 1000 * float64(e.cfg.Prefill))
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	id := req.Generation + "/" + req.Attempt
	for _, one := range e.waiting {
		if one.id == id {
			one.cancel()
		}
	}
	if one := e.running[id]; one != nil {
		one.cancel()
		e.stats.Cancelled++
	}
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
