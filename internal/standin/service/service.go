// Package service is a stand-in for a service that is not an engine, such as a booking
// service or a ledger. Its lookups are idempotent, its bookings are not.
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

// Config sets the name and the speed of a service.
type Config struct {
	Name  string
	Delay time.Duration // processing time of a call
}

// Service is a simulated service. It ignores idempotency keys and counts how often each
// booking was executed, so that a test can detect a second execution.
type Service struct {
	Faults faults.Injector

	cfg        Config
	mu         sync.Mutex
	executions map[string]int // by request body
	bookings   int
}

// New returns a service without bookings.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, executions: make(map[string]int)}
}

// bookingReply is the response to a booking or a lookup.
type bookingReply struct {
	Server string
	Number int
	Body   string
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &s.Faults)
	mux.HandleFunc("GET /runs", s.handleRuns)
	mux.HandleFunc("GET /availability", s.handleLookup)
	mux.HandleFunc("POST /rates", s.handleLookup)
	mux.HandleFunc("POST /bookings", s.handleBooking)
	return mux
}

// Executions returns how often each booking was executed, by request body.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	executions := make(map[string]int, len(s.executions))
	for body, n := range s.executions {
		executions[body] = n
	}
	return executions
}

func (s *Service) handleRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Executions())
}

func (s *Service) handleLookup(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.cfg.Delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(bookingReply{Server: s.cfg.Name, Body: r.URL.RawQuery})
}

func (s *Service) handleBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.executions[string(body)]++
	s.bookings++
	number := s.bookings
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
