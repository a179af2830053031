// Package service is a stand-in for a plain service: a booking desk or a ledger
// whose lookups are idempotent and whose bookings are not.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"wisteriafield/internal/standin/faults"
)

// Config sets what the service is like.
type Config struct {
	Name  string
	Delay time.Duration // work for one call
}

// Service is the stand-in. It counts how often each booking ran and does not
// know idempotency keys, so that a double run shows.
type Service struct {
	Faults faults.Injector

	cfg   Config
	mu    sync.Mutex
	runs  map[string]int // by body
	calls int
}

// New returns a service without bookings.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, runs: make(map[string]int)}
}

// bookingReply is the answer to a booking.
type bookingReply struct {
	Server string
	Number int
	Body   string
}

// Handler returns the service's routes.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &s.Faults)
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("GET /availability", s.lookup)
	mux.HandleFunc("POST /rates", s.lookup)
	mux.HandleFunc("POST /bookings", s.book)
	return mux
}

// Executions returns how often each booking ran, by its body.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Executions())
}

func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.cfg.Delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(bookingReply{Server: s.cfg.Name, Body: r.URL.RawQuery})
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	s.calls++
	number := s.calls
	s.mu.Unlock()
	time.Sleep(s.cfg.Delay)
	if s.Faults.ConsumeAnswerLoss() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Booking", strconv.Itoa(number))
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(bookingReply{Server: s.cfg.Name, Number: number, Body: string(body)})
}
