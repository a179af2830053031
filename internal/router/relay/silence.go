package relay

import (
	"maps"
	"slices"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/decision/enginetable"
	"wisteriafield/internal/decision/suspicion"
)

// decideSilent decides what to do with the attempt at a silent engine. If another attempt is
// to follow, its retry is reserved: the caller's stream depends on it.
func (s *stream) decideSilent(target *registry.Entry, detector *suspicion.Detector) suspicion.Decision {
	_, quarantined := s.relay.cfg.Quarantine.Refuses(s.req)
	decision := suspicion.Alternative{
		Replaced:     s.relay.cfg.Servers.Replaced(&target.Server),
		Retryable:    s.resumable(),
		AttemptsLeft: s.req.Route.MaxAttempts - s.countedAttempts() - 1,
		Quarantined:  quarantined,
		EngineUsable: s.otherEngineUsable(target),
		EngineLeft:   s.otherEngineLeft(target),
		Begun:        s.headersSent,
		LeftSilent:   s.leftSilent > 0,
		Doubted:      detector.Doubted(),
		Silence:      detector.Silence(time.Now()),
		Unheard:      detector.Unheard(time.Now()),
	}.Decide()
	if decision != suspicion.Retry {
		return decision
	}
	if !s.reserveRetry() {
		if s.relay.cfg.Borrow != nil {
			s.relay.cfg.Borrow(s.service.Name, 1+spareRetries)
		}
		return suspicion.Keep
	}
	return suspicion.Retry
}

// resumeSilent returns to the attempt whose silent engine was left, if no other engine has
// accepted the stream since. It returns nil without one.
func (s *stream) resumeSilent() *attempt {
	a := s.silent
	if a == nil {
		return nil
	}
	s.silent = nil
	s.returnRetry()
	s.executed--
	s.delivered--
	s.leftSilent--
	s.refusals = 0
	if s.headersSent {
		s.excluded = make(map[server.Key]bool) // they may be usable again
	}
	s.releaseBackup()
	if a.backup != nil {
		s.releaseBackupTokens = s.reserveBackup(a.backup, enginetable.Offer{})
	}
	s.publishSession(a.target, a.backup)
	s.relay.cfg.Log.WithField("id", s.req.ID).WithField("server", a.target.ID).WithField("event", s.lastEventID).
		WithField("silentMs", a.detector.Silence(time.Now()).Milliseconds()).Info("silent server kept: no other accepted the request")
	a.detector.Hold(time.Now())
	return a
}

// endSilent ends the attempt whose silent engine was left.
func (s *stream) endSilent() {
	a := s.silent
	if a == nil {
		return
	}
	a.end()
	s.silent = nil
	s.relay.cfg.Quarantine.AttemptAbandoned(s.req, &a.target.Server, a.events)
}

// otherEngineUsable reports whether another engine than the target could get the stream.
// Once the stream has begun, the search for one includes engines that failed before. One
// that has just refused a request for lack of capacity would use up the retry.
func (s *stream) otherEngineUsable(target *registry.Entry) bool {
	excluded := map[server.Key]bool{target.Key(): true}
	if !s.headersSent {
		maps.Copy(excluded, s.excluded)
	}
	return s.engineUsable(excluded)
}

// engineUsable reports whether an engine that is not excluded could get the stream.
func (s *stream) engineUsable(excluded map[server.Key]bool) bool {
	_, candidates := s.relay.candidates(s.service, excluded)
	candidates = slices.DeleteFunc(candidates, func(c balance.Engine) bool { return c.Full })
	return balance.PickEngine(candidates, s.req.PromptTokens, s.req.MaxOutputTokens, nil, 0) >= 0
}

// otherEngineLeft reports whether there is another engine that the stream has not tried and that
// does not leave. It may be down or full now.
func (s *stream) otherEngineLeft(target *registry.Entry) bool {
	return slices.ContainsFunc(s.relay.cfg.Servers.Service(s.service.Name), func(e *registry.Entry) bool {
		return !e.Leaving && e.Key() != target.Key() && !s.excluded[e.Key()]
	})
}

// recordUnresponsive keeps new work away from an engine that does not answer probes, and
// notifies the streams of its failure domain and the peers.
func (s *stream) recordUnresponsive(target *registry.Entry, now time.Time) {
	s.markDown(target, now.Add(unresponsiveBackoff))
	s.relay.listeners.notify(target.Domain, now)
	s.relay.cfg.OnUnresponsive()
}
