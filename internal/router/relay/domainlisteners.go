package relay

import (
	"sync"
	"time"
)

// nearby tells the streams of a failure domain when an engine there falls
// silent, so that they ask their own engines at once.
type nearby struct {
	mu      sync.Mutex
	streams map[string]map[chan<- time.Time]bool // by domain
}

// join adds a stream's channel and returns the function that removes it.
func (n *nearby) join(domain string, c chan<- time.Time) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.streams == nil {
		n.streams = make(map[string]map[chan<- time.Time]bool)
	}
	if n.streams[domain] == nil {
		n.streams[domain] = make(map[chan<- time.Time]bool)
	}
	n.streams[domain][c] = true
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.streams[domain], c)
	}
}

// tell wakes the streams of a domain.
func (n *nearby) tell(domain string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.streams[domain] {
		select {
		case c <- now:
		default: // it has been told already
		}
	}
}
