package relay

import (
	"sync"
	"time"
)

// domainListeners notifies the streams that run in a failure domain when an engine there
// is found unresponsive, so that they probe their own engines at once.
type domainListeners struct {
	mu       sync.Mutex
	channels map[string]map[chan<- time.Time]bool // by failure domain
}

// add registers a stream's channel and returns the function that removes it.
func (l *domainListeners) add(domain string, c chan<- time.Time) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.channels == nil {
		l.channels = make(map[string]map[chan<- time.Time]bool)
	}
	if l.channels[domain] == nil {
		l.channels[domain] = make(map[chan<- time.Time]bool)
	}
	l.channels[domain][c] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.channels[domain], c)
	}
}

// notify sends the time to the streams of a domain.
func (l *domainListeners) notify(domain string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.channels[domain] {
		select {
		case c <- now:
		default: // the stream was notified already
		}
	}
}
