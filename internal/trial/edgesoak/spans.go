package edgesoak

import (
	"sync"
	"time"
)

// spans are the times in which something was disturbed.
type spans struct {
	mu   sync.Mutex
	list []*span
}

// span has a zero end while it lasts.
type span struct{ begin, end time.Time }

// begin starts a span and returns a function that ends it.
func (l *spans) begin() (end func()) {
	s := &span{begin: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if s.end.IsZero() {
			s.end = time.Now()
		}
	}
}

// within reports whether a span overlaps the time from one moment to another.
func (l *spans) within(from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.list {
		if !s.begin.After(to) && (s.end.IsZero() || !s.end.Before(from)) {
			return true
		}
	}
	return false
}

// active reports whether a span has not ended.
func (l *spans) active() bool {
	now := time.Now()
	return l.within(now, now)
}

// lastBegin returns the last begin of a span before a moment, and false if there is none.
func (l *spans) lastBegin(before time.Time) (last time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.list {
		if s.begin.Before(before) && s.begin.After(last) {
			last, ok = s.begin, true
		}
	}
	return last, ok
}
