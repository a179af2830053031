package relay

import (
	"slices"
	"sync"
	"time"
)

// retryQueue orders the streams that wait for a retry, by service. The others take none
// meanwhile: a stream that waits has lost its engine.
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

// mayTake reports whether a stream is the first one that waits, or none does.
func (q *retryQueue) mayTake(s *stream) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.waiting[s.service.Name]
	return len(waiting) == 0 || waiting[0].stream == s
}

// length returns how many streams of a service wait.
func (q *retryQueue) length(service string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting[service])
}

// join adds a stream, unless it waits already: before those whose backups expire later, or that
// have none, since without its backup a stream is prefilled again. The channel gets a value when
// the stream becomes the first one.
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
	at := slices.IndexFunc(waiting, func(other *waitingStream) bool {
		return !w.expiresAt.IsZero() && (other.expiresAt.IsZero() || w.expiresAt.Before(other.expiresAt))
	})
	if at < 0 {
		at = len(waiting)
	}
	q.waiting[s.service.Name] = slices.Insert(waiting, at, w)
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
	case waiting[0].first <- struct{}{}:
	default:
	}
}
