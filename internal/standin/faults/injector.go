// Package faults injects faults into a stand-in on request: it can pause, go silent on
// the open connections, respond slowly, refuse requests, or lose answers.
package faults

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafield/internal/base/loop"
)

// connEpochKey is the context key of the silence epoch in which a connection was opened.
type connEpochKey struct{}

// Injector holds the active faults of one stand-in. Its zero value injects none.
type Injector struct {
	mu             sync.Mutex
	pauseEnded     chan struct{} // closed when the pause ends; nil if not paused
	silenceEpoch   atomic.Int64  // incremented by Silence; connections of earlier epochs are silent
	delay          atomic.Int64  // nanoseconds that each request waits
	outage         atomic.Bool
	answersToLose  atomic.Int64 // number of answers left to lose
	outagePrefixes atomic.Pointer[[]string]
}

// Pause blocks all handlers until Resume, as SIGSTOP stops a process.
func (i *Injector) Pause() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.pauseEnded == nil {
		i.pauseEnded = make(chan struct{})
	}
}

// Resume ends a pause.
func (i *Injector) Resume() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.pauseEnded != nil {
		close(i.pauseEnded)
		i.pauseEnded = nil
	}
}

// Silence makes the connections that are open now silent for good: they stay open but
// send no data. New connections work.
func (i *Injector) Silence() { i.silenceEpoch.Add(1) }

// SetDelay sets how long each request waits before it is handled.
func (i *Injector) SetDelay(d time.Duration) { i.delay.Store(int64(d)) }

// SetOutage switches the refusal of all requests with status 503 on or off.
func (i *Injector) SetOutage(on bool) { i.outage.Store(on) }

// SetPartialOutage refuses requests whose path has one of the prefixes with status 503.
func (i *Injector) SetPartialOutage(prefixes []string) { i.outagePrefixes.Store(&prefixes) }

// unavailable reports whether an outage covers the path.
func (i *Injector) unavailable(path string) bool {
	if i.outage.Load() {
		return true
	}
	prefixes := i.outagePrefixes.Load()
	if prefixes == nil {
		return false
	}
	for _, p := range *prefixes {
		if p != "" && strings.HasPrefix(path, p) {
			return true
		}
	}
	return false
}

// LoseAnswers makes the next n writes take effect and then lose their answer: the
// connection is closed instead.
func (i *Injector) LoseAnswers(n int) { i.answersToLose.Store(int64(n)) }

// ConsumeAnswerLoss reports whether the answer to the current write must be lost, and
// counts it as lost.
func (i *Injector) ConsumeAnswerLoss() bool {
	for {
		n := i.answersToLose.Load()
		if n <= 0 {
			return false
		}
		if i.answersToLose.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// ConnContext stores in the context of each connection the epoch in which it was
// opened. It is meant for the field of the same name of http.Server.
func (i *Injector) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connEpochKey{}, i.silenceEpoch.Load())
}

// Wrap returns a handler that applies the faults to all requests but fault orders.
func (i *Injector) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/faults" {
			h.ServeHTTP(w, request)
			return
		}
		writer := &faultyWriter{ResponseWriter: w, injector: i, request: request}
		if d := i.delay.Load(); d > 0 {
			loop.Sleep(request.Context(), time.Duration(d))
		}
		writer.waitWhilePaused()
		writer.blockIfSilent()
		if i.unavailable(request.URL.Path) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(writer, request)
		writer.blockIfSilent()
	})
}

// pauseEnd returns a channel that is closed when the pause ends, or nil if not paused.
func (i *Injector) pauseEnd() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.pauseEnded
}
