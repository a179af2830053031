// Package ratelimit keeps this router to what backend servers ask of it in their answers: its
// part of the limits that they name, and no requests to those that leave or want none for a
// time. It tells the decisions what answers say, and logs what changes.
package ratelimit

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/availability"
	"wisteriafield/internal/decision/ratelimit"
)

var heldBackTotal = metrics.GetOrCreateCounter("wisteriafield_rate_limited_choices_total")

// Limiter is shared by all parts of a router that send requests to backend servers.
type Limiter struct {
	table        *ratelimit.Table
	availability *availability.Table
	log          *logrus.Entry
}

// New returns a limiter that knows no limits.
func New(cfg ratelimit.Config, log *logrus.Entry) *Limiter {
	return &Limiter{table: ratelimit.New(cfg, time.Now()), availability: availability.New(), log: log}
}

// ObserveAnswer records what an answer of a server says of its limit and its availability.
// The request was sent at sentAt.
func (l *Limiter) ObserveAnswer(s *server.Server, a *server.Answer, sentAt time.Time) {
	if a.Mismatched || a.Status == http.StatusMisdirectedRequest {
		return // another server's answer
	}
	if a.Leaving && l.availability.ObserveLeaving(s.Key().String(), time.Now()) {
		l.log.WithField("server", s.ID).WithField("listedAsLeaving", s.Leaving).Info("server says that it leaves")
	}
	if now := time.Now(); !a.RetryAt.IsZero() && l.availability.ObservePause(s.Key().String(), a.RetryAt, now) {
		l.log.WithField("server", s.ID).WithField("pauseMs", a.RetryAt.Sub(now).Milliseconds()).WithField("status", a.Status).
			Info("server wants no requests for a time")
	}
	if !l.table.ObserveAnswer(s.Key().String(), a.RateLimit, a.Limited, sentAt, time.Now()) {
		return
	}
	l.log.WithField("server", s.ID).WithField("limited", a.Limited).WithField("limit", a.RateLimit).WithField("source", "answer").
		Info("limit of a server has changed")
}

// Leaving reports whether a server has said that it leaves.
func (l *Limiter) Leaving(s *server.Server) bool {
	return !l.availability.Empty() && l.availability.Leaving(s.Key().String())
}

// Paused reports whether a server wants no requests from this router now.
func (l *Limiter) Paused(s *server.Server, now time.Time) bool {
	return l.availableAt(s, now).After(now)
}

// availableAt returns when a server accepts this router's next request, apart from its
// limit: now if it does at once, and the zero time if it leaves.
func (l *Limiter) availableAt(s *server.Server, now time.Time) time.Time {
	if l.availability.Empty() {
		return now
	}
	return l.availability.NextAt(s.Key().String(), now)
}

// Take takes one request to a server from this router's part of its limit, and reports
// whether there was one left. There is none to a server that leaves or wants none now.
func (l *Limiter) Take(s *server.Server) bool {
	if now := time.Now(); !l.availableAt(s, now).Equal(now) {
		return false
	}
	if l.table.Empty() || l.table.Take(s.Key().String(), s.Service, time.Now()) {
		return true
	}
	heldBackTotal.Inc()
	return false
}

// NextAt returns when this router may send a server its next request: now or before if it
// may at once, and the zero time if it may not send it any, as to a server that leaves.
func (l *Limiter) NextAt(s *server.Server, now time.Time) time.Time {
	available := l.availableAt(s, now)
	if available.IsZero() || l.table.Empty() {
		return available
	}
	next := l.table.NextAt(s.Key().String(), s.Service, now)
	if next.IsZero() || next.After(available) {
		return next
	}
	return available
}

// Allows reports whether this router may send a server a request at once.
func (l *Limiter) Allows(s *server.Server, now time.Time) bool {
	next := l.NextAt(s, now)
	return !next.IsZero() && !next.After(now)
}

// Limited reports whether a server has named a limit that holds.
func (l *Limiter) Limited(s *server.Server, now time.Time) bool {
	return !l.table.Empty() && l.table.Limited(s.Key().String(), now)
}

// Report returns at most n limits to tell peers. With all, older ones that still hold are
// among them.
func (l *Limiter) Report(n int, all bool, now time.Time) []ratelimit.Limit {
	return l.table.Report(n, all, now)
}

// Merge records what a peer told.
func (l *Limiter) Merge(limits []ratelimit.Limit, peer string, now time.Time) {
	if l.table.Merge(limits, now) {
		l.log.WithField("source", peer).WithField("limits", len(l.table.Limits(now))).Info("limits of servers have changed")
	}
}

// Limits returns the limits that hold.
func (l *Limiter) Limits(now time.Time) []ratelimit.Limit { return l.table.Limits(now) }
