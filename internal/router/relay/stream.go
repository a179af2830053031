package relay

import (
	"context"
	"net/http"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/config/routes"
)

// stream is one caller's stream, over all its attempts.
type stream struct {
	relay   *Relay
	w       http.ResponseWriter
	req     *server.Request
	service *routes.Service

	after    int  // last event that the caller has
	begun    bool // the caller has the headers
	ran      int  // servers that may have begun to work on it
	arrived  int  // sends that may have reached a server
	refusals int  // servers in a row that had no room
	excluded map[server.Key]bool
	copyAt   string          // address where the lost run's memory is kept; may be empty
	copyOf   server.KVBackup // its name
	promptAt *registry.Entry // engine that has read the prompt, if it lives
	lostIn   string          // failure domain of the last loss
	choice   choice          // of the newest attempt, empty if a copy or a prompt decided
	dropCopy func()

	eventAt time.Time     // when the caller got the last event
	first   time.Duration // from the request to the first event
	longest time.Duration // pause between events
	broken  bool          // an attempt was lost since the last event
}

// maxRefusals bounds how many engines are tried in a row that have no room.
const maxRefusals = 3

// serve runs attempts until one ends the stream.
func (s *stream) serve(ctx context.Context) {
	defer s.releaseCopy()
	for {
		target, from := s.next(ctx)
		if target == nil {
			if !s.begun {
				s.refuse("no engine")
				return
			}
			if !loop.Pause(ctx, midstreamPause) {
				s.giveUp(ctx)
				return
			}
			s.excluded = make(map[server.Key]bool)
			continue
		}
		if s.arrived > 0 && !s.relay.cfg.RetryBudget.Allow(s.service.Name, time.Now()) {
			s.relay.cfg.Log.WithField("id", s.req.ID).WithField("sends", s.arrived).Info("repeats are used up")
			s.giveUp(ctx)
			return
		}
		result := s.attempt(ctx, target, from)
		if result.kind != notSent {
			s.arrived++
		}
		s.note(target, from, result)
		switch {
		case result.kind == finished:
			servedTotal.Inc()
			s.relay.cfg.Log.WithField("id", s.req.ID).WithField("events", s.after).WithField("attempts", s.ran+1).
				WithField("firstMs", s.first.Milliseconds()).WithField("longestMs", s.longest.Milliseconds()).Info("stream served")
			return
		case ctx.Err() != nil:
			s.giveUp(ctx)
			return
		case result.kind == answered:
			s.pass(result.answer)
			return
		}
		if !s.mayGoOn(result) {
			s.giveUp(ctx)
			return
		}
	}
}

// next chooses the engine of the next attempt, and the copy to go on from.
func (s *stream) next(ctx context.Context) (*registry.Entry, *server.KVBackup) {
	s.choice = choice{}
	if address := s.copyAt; address != "" {
		s.copyAt = ""
		// The server at the address as it is now: it may be leaving, gone or have
		// started again before the copy was sent.
		if at := s.usable(address); at != nil {
			c := s.copyOf
			return at, &c
		}
	}
	if e := s.promptAt; e != nil {
		s.promptAt = nil
		if at := s.usable(e.Address); at != nil && at.Key() == e.Key() && s.service.Engine != nil && s.relay.alive(ctx, at) {
			return at, nil
		}
	}
	s.choice = s.relay.choose(ctx, s.service, s.req, s.excluded, s.lostIn)
	return s.choice.entry, nil
}

// usable returns the engine at an address if it may get work.
func (s *stream) usable(address string) *registry.Entry {
	at := s.relay.cfg.Servers.ByAddress(address)
	if at == nil || at.Service != s.service.Name || at.Leaving || at.Load.State(time.Now()).Down {
		return nil
	}
	return at
}

// recall finds where the caller's stream ran before its router was lost.
func (s *stream) recall(ctx context.Context) {
	cameBackTotal.Inc()
	record, ok := s.relay.cfg.Sessions.FindSession(ctx, s.req.SessionID())
	s.relay.cfg.Log.WithField("id", s.req.ID).WithField("event", s.after).WithField("found", ok).
		WithField("run", record.AttemptID).WithField("backup", record.Backup).Info("caller came back")
	if !ok {
		if s.service.Engine != nil {
			s.promptAt = s.relay.holder(ctx, s.service.Name, s.req.SessionID())
		}
		s.broken = s.promptAt != nil
		return
	}
	s.copyAt, s.copyOf = record.Backup, server.KVBackup{Address: record.Backup, ID: record.AttemptID}
	s.promptAt = s.relay.cfg.Servers.ByAddress(record.Server)
	s.broken = true
}

// note updates what is believed of the engine, and keeps what the next attempt
// needs.
func (s *stream) note(target *registry.Entry, from *server.KVBackup, r result) {
	now := time.Now()
	log := s.relay.cfg.Log.WithField("id", s.req.ID).WithField("server", target.ID).
		WithField("outcome", string(r.kind)).WithField("event", s.after).WithField("reason", r.reason)
	if from != nil {
		log = log.WithField("copy", from.Address)
	}
	log.Info("attempt ended")
	attemptsTotal(r.kind, from != nil).Inc()
	switch r.kind {
	case finished:
		target.Load.RecordOutcome(false)
		if r.spare != nil {
			go s.relay.dropSpare(r.spare)
		}
	case refused:
		switch {
		case r.replaced:
			// That incarnation never comes back, but its entry stays for a while.
			s.excluded[target.Key()] = true
			target.Load.MarkDownAndShare(now.Add(goneFor))
		case from != nil: // only the copy was missing
		default:
			s.refusals++
			s.excluded[target.Key()] = true
			target.Load.MarkFull(now.Add(fullFor))
		}
	case notSent:
		s.excluded[target.Key()] = true
		if !r.unanswered {
			target.Load.MarkDownAndShare(now.Add(downFor))
		}
		s.survey(target, now)
	case lost:
		s.ran++
		s.broken = true
		if !r.callerLeft {
			target.Load.RecordOutcome(true)
		}
		s.refusals = 0
		s.excluded[target.Key()] = true
		s.copyAt = ""
		// No copy is there before the first event, unless the run began from one.
		if r.backup != nil && (r.got > 0 || from != nil) {
			s.copyAt, s.copyOf = r.backup.Address, server.KVBackup{Address: r.backup.Address, ID: s.req.ID}
		}
		if r.spare != nil {
			if holder, c := r.spare.get(now); c != nil {
				s.copyAt, s.copyOf = holder.Address, *c
			}
		}
		if !r.dark && s.after > s.req.LastEventID {
			s.promptAt = target
		}
		s.lostIn = target.Domain
		if r.dark {
			target.Load.MarkDownAndShare(now.Add(downFor))
			s.relay.nearby.tell(target.Domain, now)
			s.relay.cfg.OnUnresponsive()
		}
		if !r.callerLeft {
			s.survey(target, now)
		}
	}
}

// noteEvent keeps the times that decide whether the caller was served in time.
func (s *stream) noteEvent(now time.Time, target *registry.Entry) {
	if s.eventAt.IsZero() {
		s.first = now.Sub(s.req.ArrivedAt)
		firstSeconds.Update(s.first.Seconds())
	} else if pause := now.Sub(s.eventAt); pause > s.longest {
		s.longest = pause
	}
	if s.broken {
		s.broken = false
		since := s.req.ArrivedAt
		if !s.eventAt.IsZero() {
			since = s.eventAt
		}
		pauseSeconds.Update(now.Sub(since).Seconds())
		s.relay.cfg.Log.WithField("id", s.req.ID).WithField("server", target.ID).WithField("event", s.after).
			WithField("pauseMs", now.Sub(since).Milliseconds()).Info("went on elsewhere")
	}
	s.eventAt = now
}

func (s *stream) mayGoOn(r result) bool {
	if r.kind == refused {
		return s.begun || s.refusals < maxRefusals // each engine is excluded once
	}
	if r.kind != lost {
		return true
	}
	return s.req.Route.Repeatable() && s.ran < s.req.Route.Attempts
}

// refuse tells the caller that nothing ran.
func (s *stream) refuse(reason string) {
	if s.ran > 0 {
		s.fail(http.StatusBadGateway)
		return
	}
	refusedTotal.Inc()
	s.relay.cfg.Log.WithField("id", s.req.ID).WithField("reason", reason).WithField("config", s.req.ConfigVersion).
		WithField("servers", s.relay.cfg.Servers.Revision()).Info("refused")
	s.w.Header().Set("Retry-After", retryAfter)
	s.w.WriteHeader(http.StatusServiceUnavailable)
}

// giveUp ends a stream that could not be finished.
func (s *stream) giveUp(ctx context.Context) {
	givenUpTotal.Inc()
	s.relay.cfg.Log.WithField("id", s.req.ID).WithField("event", s.after).WithField("begun", s.begun).
		WithField("ran", s.ran).WithField("refusals", s.refusals).WithField("callerLeft", ctx.Err() != nil).
		WithField("ageMs", time.Since(s.req.ArrivedAt).Milliseconds()).Info("stream given up")
	if s.begun {
		panic(http.ErrAbortHandler) // cuts the answer, so that it does not look whole
	}
	if s.ran == 0 && ctx.Err() == nil {
		s.refuse("engines refused")
		return
	}
	if ctx.Err() != nil {
		s.fail(http.StatusGatewayTimeout)
		return
	}
	s.fail(http.StatusBadGateway)
}

func (s *stream) fail(status int) {
	if s.begun {
		panic(http.ErrAbortHandler)
	}
	s.w.WriteHeader(status)
}

func (s *stream) releaseCopy() {
	if s.dropCopy != nil {
		s.dropCopy()
		s.dropCopy = nil
	}
}
