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

// server is one backend server of a plain service.
type server struct {
	name    string
	address string
}

// servers knows what this router has in flight at each server and which of them
// failed lately.
type servers struct {
	suspects *placement.Suspects
	mu       sync.Mutex
	inFlight map[string]int
}

func newServers() *servers {
	return &servers{suspects: placement.NewSuspects(), inFlight: make(map[string]int)}
}

// order returns the servers of a service in the order to try them: the less
// loaded of two random ones first; those that failed lately last; those that
// leave not at all.
func (s *servers) order(svc *document.Service, leaving func(string) bool) []server {
	now := time.Now()
	var good, bad []server
	for _, entry := range svc.Servers {
		name, address, _ := strings.Cut(entry, "=")
		one := server{name, address}
		switch {
		case leaving(name):
		case s.suspects.Suspected(name, now):
			bad = append(bad, one)
		default:
			good = append(good, one)
		}
	}
	rand.Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(good) > 1 && s.inFlight[good[1].name] < s.inFlight[good[0].name] {
		good[0], good[1] = good[1], good[0]
	}
	sort.SliceStable(bad, func(i, j int) bool { return s.inFlight[bad[i].name] < s.inFlight[bad[j].name] })
	return append(good, bad...)
}

// begin counts a call in; the returned function counts it out.
func (s *servers) begin(name string) func(error) {
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
