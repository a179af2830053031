package service

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/placement"
)

// server is one backend server of a service.
type server struct {
	name    string
	address string
}

// serverTracker counts this router's calls in flight at each server and tracks
// which servers failed recently.
type serverTracker struct {
	suspects *placement.Suspects
	mu       sync.Mutex
	inFlight map[string]int
}

func newServerTracker() *serverTracker {
	return &serverTracker{suspects: placement.NewSuspects(), inFlight: make(map[string]int)}
}

// order returns the servers of a service in the order in which to try them. The
// first is the one with fewer calls in flight of two random servers. Servers that
// failed recently come last, leaving servers are omitted.
func (s *serverTracker) order(svc *document.Service, leaving func(string) bool) []server {
	now := time.Now()
	var healthy, suspected []server
	for _, entry := range svc.Servers {
		name, address, _ := strings.Cut(entry, "=")
		candidate := server{name, address}
		switch {
		case leaving(name):
		case s.suspects.Suspected(name, now):
			suspected = append(suspected, candidate)
		default:
			healthy = append(healthy, candidate)
		}
	}
	rand.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(healthy) > 1 && s.inFlight[healthy[1].name] < s.inFlight[healthy[0].name] {
		healthy[0], healthy[1] = healthy[1], healthy[0]
	}
	sort.SliceStable(suspected, func(i, j int) bool { return s.inFlight[suspected[i].name] < s.inFlight[suspected[j].name] })
	return append(healthy, suspected...)
}

// usable returns the servers of a service that are neither leaving nor failed recently.
func (s *serverTracker) usable(svc *document.Service, leaving func(string) bool) []string {
	now := time.Now()
	var names []string
	for _, entry := range svc.Servers {
		if name, _, _ := strings.Cut(entry, "="); !leaving(name) && !s.suspects.Suspected(name, now) {
			names = append(names, name)
		}
	}
	return names
}

// beginCall counts a call to the server as in flight. The returned function ends
// it and records whether it failed.
func (s *serverTracker) beginCall(name string) func(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[name]++
	return func(err error) {
		s.mu.Lock()
		s.inFlight[name]--
		s.mu.Unlock()
		if err != nil {
			s.suspects.RecordFailure(name, time.Now())
			return
		}
		s.suspects.RecordSuccess(name)
	}
}

func isNotSent(err error) bool { return errors.Is(err, backend.ErrNotSent) }
