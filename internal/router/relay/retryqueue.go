package relay

import (
	"slices"
	"sync"
)

// retryQueue orders the streams that wait for a retry, by service. The others take none
// meanwhile: a stream that waits has lost its engine.
type retryQueue struct {
	mu      sync.Mutex
	waiting map[string][]*stream
}

// mayTake reports whether a stream is the first one that waits, or none does.
func (q *retryQueue) mayTake(s *stream) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.waiting[s.service.Name]
	return len(waiting) == 0 || waiting[0] == s
}

// join adds a stream, unless it waits already.
func (q *retryQueue) join(s *stream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if slices.Contains(q.waiting[s.service.Name], s) {
		return
	}
	if q.waiting == nil {
		q.waiting = make(map[string][]*stream)
	}
	q.waiting[s.service.Name] = append(q.waiting[s.service.Name], s)
}

// leave removes a stream.
func (q *retryQueue) leave(s *stream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := slices.DeleteFunc(q.waiting[s.service.Name], func(other *stream) bool { return other == s })
	if len(waiting) == 0 {
		delete(q.waiting, s.service.Name)
		return
	}
	q.waiting[s.service.Name] = waiting
}
