// Package platform is a stand-in for the platform: a key-value service with
// compare-and-swap, leases and watches, and the lagging list of hosts.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/platform/kv"
	"wisteriafield/internal/standin/faults"
)

const (
	maxValue = 1 << 20 // bytes
	maxWait  = 60 * time.Second
)

// Counts is how many calls came in, by kind.
type Counts struct {
	Reads, Writes, Watches, Refused int64
}

// Config sets the bounds of the stand-in.
type Config struct {
	Credential string
	HostLag    time.Duration // before a change of the host list shows
	WriteRate  float64       // writes a second; 0 for no bound
	ReadRate   float64       // reads a second; 0 for no bound
}

// Server is the stand-in. All state is in memory.
type Server struct {
	Gate faults.Gate

	cfg      Config
	mu       sync.Mutex
	revision int64
	values   map[string]kv.Value
	leased   map[string]string    // key to lease
	leases   map[string]time.Time // lease to deadline
	ttls     map[string]time.Duration
	hosts    map[string]hosts.Host
	hostRev  int64
	counts   Counts
	changed  chan struct{} // closed and replaced at each change
	writes   *rate.Limiter
	reads    *rate.Limiter
}

// New returns an empty stand-in.
func New(cfg Config) *Server {
	return &Server{
		cfg:     cfg,
		values:  make(map[string]kv.Value),
		leased:  make(map[string]string),
		leases:  make(map[string]time.Time),
		ttls:    make(map[string]time.Duration),
		hosts:   make(map[string]hosts.Host),
		changed: make(chan struct{}),
		writes:  limiter(cfg.WriteRate),
		reads:   limiter(cfg.ReadRate),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// Handler returns the protocol's routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /faults", &s.Gate)
	mux.HandleFunc("GET /v1/kv/{key}", s.get)
	mux.HandleFunc("PUT /v1/kv/{key}", s.put)
	mux.HandleFunc("DELETE /v1/kv/{key}", s.delete)
	mux.HandleFunc("GET /v1/list", s.list)
	mux.HandleFunc("GET /v1/watch/{key}", s.watch)
	mux.HandleFunc("POST /v1/leases", s.grant)
	mux.HandleFunc("POST /v1/leases/{lease}", s.keepAlive)
	mux.HandleFunc("GET /v1/hosts", s.listHosts)
	mux.HandleFunc("PUT /v1/hosts/{name}", s.putHost)
	mux.HandleFunc("GET /v1/counts", s.getCounts)
	return s.authorise(mux)
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) authorise(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.cfg.Credential != "" && r.URL.Path != "/faults" && r.Header.Get("Authorization") != "Bearer "+s.cfg.Credential {
			http.Error(w, "wrong credential", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) admit(w http.ResponseWriter, l *rate.Limiter, count *int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.Allow() {
		s.counts.Refused++
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	*count++
	s.lapse(time.Now())
	return true
}

// lapse deletes what hangs on leases that ran out.
func (s *Server) lapse(now time.Time) {
	for lease, deadline := range s.leases {
		if now.Before(deadline) {
			continue
		}
		delete(s.leases, lease)
		delete(s.ttls, lease)
		for key, l := range s.leased {
			if l == lease {
				delete(s.leased, key)
				delete(s.values, key)
				s.announce()
			}
		}
	}
}

// announce wakes the watches. The caller holds mu.
func (s *Server) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Reads) {
		return
	}
	s.mu.Lock()
	v, ok := s.values[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, v)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Reads) {
		return
	}
	values := []kv.Value{}
	s.mu.Lock()
	for key, v := range s.values {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
			values = append(values, v)
		}
	}
	s.mu.Unlock()
	reply(w, values)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.writes, &s.counts.Writes) {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(body) > maxValue {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	key, lease := r.PathValue("key"), r.URL.Query().Get("lease")
	s.mu.Lock()
	if !s.matches(r, key) || lease != "" && s.leases[lease].IsZero() {
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.revision++
	v := kv.Value{Key: key, Body: body, Revision: s.revision}
	s.values[key] = v
	delete(s.leased, key)
	if lease != "" {
		s.leased[key] = lease
	}
	s.announce()
	s.mu.Unlock()
	s.answer(w, kv.Value{Revision: v.Revision})
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.writes, &s.counts.Writes) {
		return
	}
	key := r.PathValue("key")
	s.mu.Lock()
	if !s.matches(r, key) {
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	delete(s.values, key)
	s.announce()
	s.mu.Unlock()
	s.answer(w, kv.Value{})
}

// matches reports whether the key has the revision that the request expects.
func (s *Server) matches(r *http.Request, key string) bool {
	expected, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	return err == nil && s.values[key].Revision == expected
}

// answer replies to a write, or loses the answer after the write took effect.
func (s *Server) answer(w http.ResponseWriter, v any) {
	if s.Gate.TakeLoss() {
		panic(http.ErrAbortHandler)
	}
	reply(w, v)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, s.reads, &s.counts.Watches) {
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	timer := time.NewTimer(waitOf(r))
	defer timer.Stop()
	for {
		s.mu.Lock()
		v, ok := s.values[r.PathValue("key")]
		changed := s.changed
		s.mu.Unlock()
		if ok && v.Revision > after {
			reply(w, v)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func waitOf(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return 0
	}
	return min(d, maxWait)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
