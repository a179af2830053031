// Package weights is a stand-in for the weight store: it serves model weights at
// a bounded rate.
package weights

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wisteriafield/internal/standin/faults"
)

// Config sets the bounds of the store.
type Config struct {
	LoadsPerSecond float64
	LoadTime       time.Duration // for one model, when nobody else loads
}

// Store is the stand-in.
type Store struct {
	Faults faults.Injector

	cfg     Config
	limiter *rate.Limiter
	mu      sync.Mutex
	refused int
	loads   int
}

// New returns a store.
func New(cfg Config) *Store {
	return &Store{cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), 1)}
}

// Handler returns the store's routes.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &s.Faults)
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.get)
	return mux
}

// Counts returns how many loads were served and refused.
func (s *Store) Counts() (loads, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.refused
}

func (s *Store) get(w http.ResponseWriter, _ *http.Request) {
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
