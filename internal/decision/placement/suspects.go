package placement

import (
	"sync"
	"time"
)

const (
	firstSuspicion = 2 * time.Second
	maxSuspicion   = 30 * time.Second
)

// Suspects remembers peers that failed to answer. A suspect is left out until
// its deadline; each failure in a row doubles the time, so that a dead peer is
// tried rarely and a returning one is found within half a minute.
type Suspects struct {
	mu  sync.Mutex
	all map[string]suspicion
}

type suspicion struct {
	until    time.Time
	failures int
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{all: make(map[string]suspicion)}
}

// RecordFailure records that a peer did not answer.
func (s *Suspects) RecordFailure(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.all[name]
	if now.Before(old.until) {
		return
	}
	wait := firstSuspicion << min(old.failures, 4)
	s.all[name] = suspicion{until: now.Add(min(wait, maxSuspicion)), failures: old.failures + 1}
}

// RecordSuccess forgets all failures of a peer.
func (s *Suspects) RecordSuccess(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, name)
}

// Suspected reports whether the peer is to be left out now.
func (s *Suspects) Suspected(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.all[name].until)
}

// Names returns the peers left out now.
func (s *Suspects) Names(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, v := range s.all {
		if now.Before(v.until) {
			names = append(names, name)
		}
	}
	return names
}
