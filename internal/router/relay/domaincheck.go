package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
)

const (
	// domainCheckInterval is the minimum time between two checks of one failure domain.
	domainCheckInterval = 400 * time.Millisecond
	// maxEnginesChecked bounds the engines that one check probes, so that its cost does
	// not grow with the fleet.
	maxEnginesChecked = 12
	// maxFailedProbes in a row make an engine count as unresponsive. A single one does
	// not, since a packet may be lost.
	maxFailedProbes = 2
	// recheckMargin is how long before an engine may be used again it is probed once more, and
	// maxRechecks bounds these probes. The entry of a crashed one stays listed for some 4 s.
	recheckMargin = 200 * time.Millisecond
	maxRechecks   = 5
)

// domainChecks records when each failure domain of a service was checked last.
type domainChecks struct {
	mu        sync.Mutex
	startedAt map[string]time.Time // by service and failure domain
}

// tryStart reports whether the failure domain that key names may be checked now, and
// records the check.
func (c *domainChecks) tryStart(key string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.startedAt[key]) < domainCheckInterval {
		return false
	}
	if c.startedAt == nil {
		c.startedAt = make(map[string]time.Time)
	}
	c.startedAt[key] = now
	return true
}

// checkDomain probes engines in the failure domain of a lost one. Engines of a domain are
// often lost together, and attempts or backups sent to a dead engine are lost too.
func (r *Relay) checkDomain(lostEngine *registry.Entry, now time.Time) {
	if !r.domainChecks.tryStart(lostEngine.Service+" "+lostEngine.Domain, now) {
		return
	}
	if r.cfg.Placement != nil && r.cfg.Placement.ReportLoss(&lostEngine.Server) {
		return // owners check them
	}
	domainChecksTotal.Inc()
	var engines []*registry.Entry
	for _, e := range r.cfg.Servers.Service(lostEngine.Service) {
		if e.Domain == lostEngine.Domain {
			engines = append(engines, e)
		}
	}
	r.CheckEngines(engines)
}

// CheckEngines probes some of the engines that are not known to be down or to want no requests.
func (r *Relay) CheckEngines(engines []*registry.Entry) {
	now := time.Now()
	engines = slices.DeleteFunc(slices.Clone(engines), func(e *registry.Entry) bool {
		return e.Load.State(now).Down || r.cfg.Limits.Paused(&e.Server, now)
	})
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	for _, e := range engines[:min(len(engines), maxEnginesChecked)] {
		go r.checkEngine(e)
	}
}

// checkDomain probes engines in the failure domain of a lost one. Servers of a service
// that has no engines cannot be probed.
func (s *stream) checkDomain(lostEngine *registry.Entry, now time.Time) {
	if s.service.Engine != nil {
		s.relay.checkDomain(lostEngine, now)
	}
}

// markDown keeps new work away from a server. A service without engines has no owners.
func (s *stream) markDown(e *registry.Entry, until time.Time) {
	if s.service.Engine == nil {
		e.Load.MarkDownAndShare(until)
		return
	}
	s.relay.markDown(e, until)
}

// checkEngine probes an engine and, if it is unresponsive, marks it as down and notifies
// streams and peers.
func (r *Relay) checkEngine(e *registry.Entry) {
	if r.answersProbes(context.Background(), e) {
		return
	}
	now := time.Now()
	if e.Load.State(now).Down {
		return
	}
	r.markDown(e, now.Add(unresponsiveBackoff))
	r.cfg.Log.WithField("server", e.ID).WithField("domain", e.Domain).Info("engine is unresponsive")
	r.listeners.notify(e.Domain, now)
	r.cfg.OnUnresponsive()
	if r.cfg.Placement != nil {
		time.AfterFunc(unresponsiveBackoff-recheckMargin, func() { r.recheckEngine(e, maxRechecks) })
	}
}

// recheckEngine probes an engine that was down shortly before it may be offered again. One that has
// crashed stays listed for some seconds while another incarnation answers at its address, and to an
// owner it looks idle.
func (r *Relay) recheckEngine(e *registry.Entry, left int) {
	listed := r.cfg.Servers.Get(e.ID)
	if left == 0 || listed == nil || listed.Key() != e.Key() || listed.Leaving || r.isAlive(context.Background(), e) {
		return
	}
	// Peers are not told: this router may only be cut off from it.
	e.Load.MarkDown(time.Now().Add(unresponsiveBackoff + recheckMargin))
	time.AfterFunc(unresponsiveBackoff, func() { r.recheckEngine(e, left-1) })
}

// markDown keeps new work away from an engine and tells peers, its owner first.
func (r *Relay) markDown(e *registry.Entry, until time.Time) {
	e.Load.MarkDownAndShare(until)
	if r.cfg.Placement != nil {
		r.cfg.Placement.ReportDown(&e.Server, until)
	}
}

// answersProbes reports whether an engine answers one of maxFailedProbes probes.
func (r *Relay) answersProbes(ctx context.Context, e *registry.Entry) bool {
	for range maxFailedProbes {
		if r.isAlive(ctx, e) {
			return true
		}
	}
	return false
}

// isAlive reports whether an engine answers and is still the same incarnation.
func (r *Relay) isAlive(ctx context.Context, e *registry.Entry) bool {
	_, ok := r.probe(ctx, e)
	return ok
}

// probe requests an engine's report. It returns false if the engine does not answer in
// time or is another incarnation.
func (r *Relay) probe(ctx context.Context, e *registry.Entry) (server.Report, bool) {
	probesTotal.Inc()
	ctx, cancel := context.WithTimeout(ctx, r.timeouts.ProbeTimeout)
	defer cancel()
	report, err := r.cfg.Client.Report(ctx, e.Address)
	if err != nil || e.Started != 0 && report.Started != 0 && report.Started != e.Started {
		return server.Report{}, false
	}
	return report, true
}
