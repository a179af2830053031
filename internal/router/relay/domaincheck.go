package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
)

const (
	// surveyPeriod bounds how often the engines of one failure domain are asked.
	surveyPeriod = 400 * time.Millisecond
	// surveyed bounds how many are asked at once, so that the cost does not grow
	// with the fleet.
	surveyed = 12
	// checks in a row take an engine out, since a packet may be lost.
	checks = 2
)

// surveys notes when each failure domain was asked last.
type surveys struct {
	mu sync.Mutex
	at map[string]time.Time
}

// due reports whether a domain may be asked now, and notes that it is.
func (s *surveys) due(domain string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.at[domain]) < surveyPeriod {
		return false
	}
	if s.at == nil {
		s.at = make(map[string]time.Time)
	}
	s.at[domain] = now
	return true
}

// survey asks the engines near a lost one whether they live. Engines of a domain
// are often lost together, and work or copies sent to a dead one are lost too.
func (r *Relay) survey(lost *registry.Entry, now time.Time) {
	if !r.surveys.due(lost.Service+" "+lost.Domain, now) {
		return
	}
	surveysTotal.Inc()
	var near []*registry.Entry
	for _, e := range r.cfg.Servers.Service(lost.Service) {
		if e.Domain == lost.Domain && !e.Load.State(now).Down {
			near = append(near, e)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	for _, e := range near[:min(len(near), surveyed)] {
		go r.check(e)
	}
}

// survey asks the engines near a lost one; plain services can't be asked.
func (s *stream) survey(lost *registry.Entry, now time.Time) {
	if s.service.Engine != nil {
		s.relay.survey(lost, now)
	}
}

// check takes an engine out that does not answer.
func (r *Relay) check(e *registry.Entry) {
	for range checks {
		if r.alive(context.Background(), e) {
			return
		}
	}
	now := time.Now()
	if e.Load.State(now).Down {
		return
	}
	e.Load.MarkDownAndShare(now.Add(downFor))
	r.cfg.Log.WithField("server", e.ID).WithField("domain", e.Domain).Info("engine does not answer")
	r.nearby.tell(e.Domain, now)
	r.cfg.OnUnresponsive()
}

// alive reports whether an engine answers and is still the same incarnation.
func (r *Relay) alive(ctx context.Context, e *registry.Entry) bool {
	_, ok := r.ask(ctx, e)
	return ok
}

// ask returns an engine's report, if it answers in time and is still the same
// incarnation.
func (r *Relay) ask(ctx context.Context, e *registry.Entry) (server.Report, bool) {
	questionsTotal.Inc()
	ctx, cancel := context.WithTimeout(ctx, r.limits.ProbeTimeout)
	defer cancel()
	report, err := r.cfg.Client.Report(ctx, e.Address)
	if err != nil || e.Started != 0 && report.Started != 0 && report.Started != e.Started {
		return server.Report{}, false
	}
	return report, true
}
