// Package engine is a stand-in for a model engine: continuous batching, a prefix
// cache, lagging load reports, priorities, resume, cancel and orders.
package engine

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"wisteriafield/internal/standin/faults"
)

// Config sets what the engine is like.
type Config struct {
	Name          string
	Slots         int           // requests in a batch
	Speed         float64       // tokens a second of one slot when it is alone
	BatchOverhead float64       // a full batch is 1+Crowding times slower
	Prefill       time.Duration // per thousand prompt tokens that are not cached
	CacheSize     int           // prompts whose prefix is kept
	ReportLag     time.Duration // age of a load report
	Fencing       bool          // refuse orders with an old number
	Credential    string        // for orders
	WeightStore   string        // address of the weight store; empty for none
	Models        map[string]string
}

// Engine is the stand-in.
type Engine struct {
	Faults faults.Injector

	cfg      Config
	mu       sync.Mutex
	slow     float64
	running  map[string]*run
	waiting  []*run
	reports  []report
	cache    *cache
	models   map[string]string // model to version
	adapters map[string][]string
	fencing  int64
	role     string
	leaving  bool
	stats    Stats
}

// Stats counts what the engine did.
type Stats struct {
	Started   int // attempts
	Tokens    int // sent
	Prefilled int // tokens recomputed, prompt and answer so far
	Cancelled int
}

// New returns an engine that carries the configured models.
func New(cfg Config) *Engine {
	models := make(map[string]string)
	for m, v := range cfg.Models {
		models[m] = v
	}
	return &Engine{
		cfg: cfg, slow: 1, running: make(map[string]*run), cache: newCache(cfg.CacheSize),
		models: models, adapters: make(map[string][]string),
	}
}

// Handler returns the protocol's routes.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", e.faults)
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("GET /v1/attempt", e.attempt)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/cache-events", e.cacheEvents)
	mux.HandleFunc("GET /v1/state", e.state)
	mux.HandleFunc("POST /v1/order", e.order)
	return mux
}

// SetSlowdown makes the engine slower by a factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// SetLeaving makes the engine say that it leaves and refuse new work.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// step returns the time between two tokens of one request now.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	fill := float64(len(e.running)) / float64(max(e.cfg.Slots, 1))
	seconds := e.slow * (1 + e.cfg.BatchOverhead*fill) / e.cfg.Speed
	return time.Duration(seconds * float64(time.Second))
}

// text makes a token that depends on generation, attempt and position, as
// sampled text does, so that a mixed answer shows.
func text(generation, attempt string, position int) string {
	return fmt.Sprintf("%d.%s.%s ", position, short(generation), short(attempt))
}

func short(s string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return fmt.Sprintf("%04x", h.Sum32()&0xffff)
}
