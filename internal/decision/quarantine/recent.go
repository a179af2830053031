package quarantine

// maxRecent bounds the names in each of the two generations of a recentSet.
const maxRecent = 512

// recentSet holds the names that were added last.
type recentSet struct{ current, previous map[string]bool }

func (s *recentSet) has(name string) bool { return s.current[name] || s.previous[name] }

func (s *recentSet) add(name string) {
	if s.has(name) {
		return
	}
	if len(s.current) >= maxRecent {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current = make(map[string]bool)
	}
	s.current[name] = true
}
