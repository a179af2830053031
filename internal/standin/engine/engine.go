// Package engine is a stand-in for a model engine. It simulates continuous batching, a
// prefix cache, delayed load reports, priorities, resume, cancellation and orders.
package engine

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"wisteriafield/internal/standin/faults"
)

// Config sets the capacity, the speed and the protocol options of an engine.
type Config struct {
	Name          string
	Slots         int           // maximum number of requests in a batch
	Speed         float64       // tokens per second of a single request that runs alone
	BatchOverhead float64       // in a full batch, a token takes 1+BatchOverhead times as long
	Prefill       time.Duration // time per 1000 prompt tokens that are not cached
	CacheSize     int           // maximum number of cached prefixes
	ReportLag     time.Duration // age of a load report
	Fencing       bool          // refuse orders whose fencing number is lower than the last one
	Credential    string        // that orders must carry; empty accepts all
	WeightStore   string        // address of the weight store; empty loads weights at once
	Models        map[string]string
}

// Engine is a simulated model engine.
type Engine struct {
	Faults faults.Injector

	cfg         Config
	mu          sync.Mutex
	slowdown    float64
	running     map[string]*attempt
	waiting     []*attempt
	loadReports []loadReport
	cache       *cache
	models      map[string]string // model to version
	adapters    map[string][]string
	fencing     int64
	role        string
	leaving     bool
	stats       Stats
}

// Stats counts the work of an engine since its start.
type Stats struct {
	Started   int // attempts
	Tokens    int // generated
	Prefilled int // tokens of prompts and of accepted answers that were not cached
	Cancelled int
}

// New returns an engine that has loaded the configured models.
func New(cfg Config) *Engine {
	models := make(map[string]string)
	for m, v := range cfg.Models {
		models[m] = v
	}
	return &Engine{
		cfg: cfg, slowdown: 1, running: make(map[string]*attempt), cache: newCache(cfg.CacheSize),
		models: models, adapters: make(map[string][]string),
	}
}

// Handler returns the HTTP handler of the engine protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", e.handleFaults)
	mux.HandleFunc("POST /v1/generate", e.handleGenerate)
	mux.HandleFunc("POST /v1/cancel", e.handleCancel)
	mux.HandleFunc("GET /v1/attempt", e.handleAttempt)
	mux.HandleFunc("GET /v1/load", e.handleLoad)
	mux.HandleFunc("GET /v1/cache-events", e.handleCacheEvents)
	mux.HandleFunc("GET /v1/state", e.handleState)
	mux.HandleFunc("POST /v1/order", e.handleOrder)
	return mux
}

// SetSlowdown makes prefill and generation take factor times as long.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetLeaving makes the engine report that it is leaving and refuse new requests.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// Stats returns the current counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// tokenInterval returns the time between two tokens of a request at the current batch
// size.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	fill := float64(len(e.running)) / float64(max(e.cfg.Slots, 1))
	seconds := e.slowdown * (1 + e.cfg.BatchOverhead*fill) / e.cfg.Speed
	return time.Duration(seconds * float64(time.Second))
}

// tokenText returns a token that names its generation, attempt and position. As with
// sampled text, two attempts produce different tokens, so that a test can detect an
// answer with tokens of the wrong generation or attempt.
func tokenText(generation, attempt string, position int) string {
	return fmt.Sprintf("%d.%s.%s ", position, shortHash(generation), shortHash(attempt))
}

// shortHash returns four hexadecimal digits that identify s.
func shortHash(s string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return fmt.Sprintf("%04x", h.Sum32()&0xffff)
}
