// Package weights is a stand-in for the store of model weights. It limits the rate of
// loads.
package weights

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wisteriafield/internal/standin/faults"
)

// Config sets the limits of a store.
type Config struct {
	LoadsPerSecond float64
	LoadTime       time.Duration // duration of one load
}

// Store is a simulated weight store. It serves no data, only the delay of a load.
type Store struct {
	Faults faults.Injector

	cfg     Config
	limiter *rate.Limiter
	mu      sync.Mutex
	refused int
	loads   int
}

// New returns a store with the given limits.
func New(cfg Config) *Store {
	return &Store{cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), 1)}
}

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &s.Faults)
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.handleLoad)
	return mux
}

// Counts returns the number of loads that were served and refused.
func (s *Store) Counts() (loads, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.refused
}

func (s *Store) handleLoad(w http.ResponseWriter, _ *http.Request) {
	allowed := s.limiter.Allow()
	s.mu.Lock()
	if allowed {
		s.loads++
	} else {
		s.refused++
	}
	s.mu.Unlock()
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(s.cfg.LoadTime)
	w.WriteHeader(http.StatusOK)
}
