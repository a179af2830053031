package storehistory_test

import (
	"maps"
	"time"

	"wisteriafield/internal/decision/storehistory"
)

// storeState is the content of the store.
type storeState struct {
	position storehistory.Position
	entries  map[string]int64
	version  int64 // of the configuration
}

func (s storeState) clone() storeState {
	s.entries = maps.Clone(s.entries)
	return s
}

// store keeps its states, and the writes of its current era.
type store struct {
	storeState
	past   map[time.Duration]storeState // by the time from which on it held
	writes []write
	down   bool
	calls  map[int]int // by second
	ranges []time.Duration
}

// write is a change of an entry; 0 removes it.
type write struct {
	at  storehistory.Position
	key string
	to  int64
}

func (s *store) put(key string, to int64) {
	s.position.Revision++
	if to == 0 {
		delete(s.entries, key)
	} else {
		s.entries[key] = to
	}
	s.writes = append(s.writes, write{s.position, key, to})
}

// restore goes back to the state of a moment.
func (s *store) restore(to time.Duration) {
	era := s.position.Era + 1
	s.storeState = s.past[to].clone()
	s.position.Era = era
	kept := s.writes[:0]
	for _, w := range s.writes {
		if w.at.Revision <= s.position.Revision {
			w.at.Era = era
			kept = append(kept, w)
		}
	}
	s.writes = kept
}
