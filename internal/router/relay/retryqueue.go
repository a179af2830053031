package relay

import (
	"slices"
	"sync"
	"time"
)

// retryQueue holds the streams that wait for a retry, by service and in the order of their arrival.
// The others take none meanwhile: a stream that waits has lost its engine.
type retryQueue struct {
	mu      sync.Mutex
	waiting map[string][]*waitingStream
}

// waitingStream is a stream that waits for a retry.
type waitingStream struct {
	stream    *stream
	expiresAt time.Time     // of its backup; zero without one
	first     chan struct{} // gets a value when the stream becomes the first one
}

// first returns the stream that gets the next retry, or nil. A stream whose backup still exists
// comes before those without one, which are prefilled again anyway; the backup that expires first
// comes first, the others come by arrival. The caller holds mu.
func (q *retryQueue) first(service string, now time.Time) *waitingStream {
	var first *waitingStream
	for _, w := range q.waiting[service] {
		if first == nil || w.expiresAt.After(now) && (!first.expiresAt.After(now) || w.expiresAt.Before(first.expiresAt)) {
			first = w
		}
	}
	return first
}

// mayTake reports whether a stream is the first one that waits, or none does.
func (q *retryQueue) mayTake(s *stream) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := q.first(s.service.Name, time.Now())
	return first == nil || first.stream == s
}

// length returns how many streams of a service wait.
func (q *retryQueue) length(service string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting[service])
}

// join adds a stream, unless it waits already. The channel gets a value when the stream becomes
// the first one.
func (q *retryQueue) join(s *stream) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.waiting[s.service.Name]
	if i := slices.IndexFunc(waiting, func(w *waitingStream) bool { return w.stream == s }); i >= 0 {
		return waiting[i].first
	}
	if q.waiting == nil {
		q.waiting = make(map[string][]*waitingStream)
	}
	w := &waitingStream{stream: s, first: make(chan struct{}, 1)}
	if s.backupAddress != "" {
		w.expiresAt = s.backupExpiresAt
	}
	q.waiting[s.service.Name] = append(waiting, w)
	return w.first
}

// leave removes a stream. The next one may take a retry at once.
func (q *retryQueue) leave(s *stream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := slices.DeleteFunc(q.waiting[s.service.Name], func(w *waitingStream) bool { return w.stream == s })
	if len(waiting) == 0 {
		delete(q.waiting, s.service.Name)
		return
	}
	q.waiting[s.service.Name] = waiting
	select {
	case q.first(s.service.Name, time.Now()).first <- struct{}{}:
	default:
	}
}
