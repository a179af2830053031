package placement

import (
	"sync"
	"time"
)

const (
	firstBackoff = 2 * time.Second
	maxBackoff   = 30 * time.Second
)

// Suspects holds the peers that failed to answer. A suspect is avoided until its
// backoff ends. Each consecutive failure doubles the backoff up to maxBackoff, so
// that a dead peer is contacted rarely and one that recovers is used again within
// half a minute.
type Suspects struct {
	mu  sync.Mutex
	all map[string]suspect
}

type suspect struct {
	until    time.Time
	failures int
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{all: make(map[string]suspect)}
}

// RecordFailure records that a peer did not answer.
func (s *Suspects) RecordFailure(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.all[name]
	if now.Before(old.until) {
		return
	}
	backoff := firstBackoff << min(old.failures, 4)
	s.all[name] = suspect{until: now.Add(min(backoff, maxBackoff)), failures: old.failures + 1}
}

// RecordSuccess deletes all failures of a peer.
func (s *Suspects) RecordSuccess(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, name)
}

// Suspected reports whether the peer is to be avoided now.
func (s *Suspects) Suspected(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.all[name].until)
}

// Names returns the names of the peers to be avoided now.
func (s *Suspects) Names(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, peer := range s.all {
		if now.Before(peer.until) {
			names = append(names, name)
		}
	}
	return names
}
