// Package faults makes a stand-in fail on request: pause, go silent on the open
// connections, answer slowly, refuse everything, or lose answers.
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

type connKey struct{}

// Injector holds the faults of one stand-in. The zero value has none.
type Injector struct {
	mu      sync.Mutex
	resumed chan struct{} // closed when a pause ends; nil while there is none
	epoch   atomic.Int64  // grows with each Silence
	delay   atomic.Int64  // nanoseconds before each request
	outage  atomic.Bool
	lose    atomic.Int64 // answers to lose after their effect
	partial atomic.Pointer[[]string]
}

// Pause stops all handlers until Resume, as SIGSTOP does a process.
func (g *Injector) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
	}
}

// Resume ends a pause.
func (g *Injector) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

// Silence makes all connections that are open now silent for good. New ones
// work.
func (g *Injector) Silence() { g.epoch.Add(1) }

// SetDelay makes each request wait.
func (g *Injector) SetDelay(d time.Duration) { g.delay.Store(int64(d)) }

// SetOutage refuses all requests with 503.
func (g *Injector) SetOutage(on bool) { g.outage.Store(on) }

// SetPartialOutage refuses the requests whose path begins with one of these.
func (g *Injector) SetPartialOutage(prefixes []string) { g.partial.Store(&prefixes) }

func (g *Injector) out(path string) bool {
	if g.outage.Load() {
		return true
	}
	prefixes := g.partial.Load()
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

// LoseAnswers cuts the connection of the next n writes after their effect.
func (g *Injector) LoseAnswers(n int) { g.lose.Store(int64(n)) }

// ConsumeAnswerLoss reports whether the answer of this write is to be lost.
func (g *Injector) ConsumeAnswerLoss() bool {
	for {
		n := g.lose.Load()
		if n <= 0 {
			return false
		}
		if g.lose.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// ConnContext marks each connection with when it was opened. Give it to
// http.Server.
func (g *Injector) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, g.epoch.Load())
}

// Wrap puts the faults before a handler.
func (g *Injector) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			h.ServeHTTP(w, r)
			return
		}
		gw := &gatedWriter{ResponseWriter: w, gate: g, r: r}
		if d := g.delay.Load(); d > 0 {
			loop.Pause(r.Context(), time.Duration(d))
		}
		gw.wait()
		gw.hang()
		if g.out(r.URL.Path) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(gw, r)
		gw.hang()
	})
}

func (g *Injector) pausedUntil() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed
}
