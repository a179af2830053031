package quarantine

import "time"

// maxSurvivals bounds the suspects in each of the two generations of survivals.
const maxSurvivals = 2048

// survivals holds when each suspect last survived, of the suspects that did so recently: two
// generations of at most maxSurvivals suspects.
type survivals struct {
	current, previous map[string]time.Time
	news              map[string]time.Time // when this router learned of a survival that peers are told
}

// record records that a suspect survived at the given time. It reports whether that is later
// than what was known.
func (s *survivals) record(suspect string, at time.Time) bool {
	if suspect == "" || len(suspect) > maxIDBytes || !at.After(s.last(suspect)) {
		return false
	}
	if _, ok := s.current[suspect]; !ok && len(s.current) >= maxSurvivals {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current = make(map[string]time.Time)
	}
	s.current[suspect] = at
	return true
}

// announce makes the survival of a suspect news for peers, if there is less other news than
// the limit.
func (s *survivals) announce(suspect string, limit int, now time.Time) {
	for p, learnedAt := range s.news {
		if now.Sub(learnedAt) >= newsTime {
			delete(s.news, p)
		}
	}
	if s.news == nil {
		s.news = make(map[string]time.Time)
	}
	if len(s.news) < limit {
		s.news[suspect] = now
	}
}

// last returns when a suspect last survived, or the zero time.
func (s *survivals) last(suspect string) time.Time {
	if at, ok := s.current[suspect]; ok {
		return at
	}
	return s.previous[suspect]
}

// recent returns the suspects whose survival is news for peers, with its time.
func (s *survivals) recent(now time.Time) map[string]time.Time {
	recent := make(map[string]time.Time)
	for p, learnedAt := range s.news {
		if now.Sub(learnedAt) < newsTime {
			recent[p] = s.last(p)
		}
	}
	return recent
}
