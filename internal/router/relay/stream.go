package relay

import (
	"context"
	"net/http"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
)

// stream is one caller's stream, over all its attempts.
type stream struct {
	relay   *Relay
	w       http.ResponseWriter
	req     *server.Request
	service *routes.Service

	lastEventID         int                 // last event that the caller has
	headersSent         bool                // the caller has the headers
	unflushed           bool                // a part of the answer was written and may not have been sent
	contentType         string              // media type of the answer, once the caller has the headers
	unresumable         bool                // the last event has no ID to resume after
	executed            int                 // attempts that a server may have executed
	ended               int                 // of these, attempts that broke off because their engines ended
	leftSilent          int                 // of the executed ones, left for the silence of their engines
	leftEngine          *registry.Entry     // of the last lost attempt, if it was left for its silence; else nil
	delivered           int                 // attempts that may have reached a server
	refusals            int                 // consecutive refusals for lack of capacity
	excluded            map[server.Key]bool // servers that refused or failed
	momentary           map[server.Key]bool // of these, those that were full or silent, maybe for a moment only
	backupAddress       string              // of the engine that has the lost attempt's backup; empty without one
	backupRef           server.KVBackup     // names the backup to that engine
	backupEngine        *registry.Entry     // as it was known when the backup began; nil if it is known by its address only
	backupSince         time.Time           // when the backup began
	backupExpiresAt     time.Time           // when the engine may delete it; zero if that is not known
	backupUncertain     bool                // the first part of the backup may not have arrived
	promptEngine        *registry.Entry     // has the prompt cached, if it is still alive; may be nil
	lostDomain          string              // failure domain of the last lost engine
	choice              choice              // of the last attempt; empty if a backup or a cached prompt decided
	silent              *attempt            // at an engine that was left for its silence, until another accepts; may be nil
	answerTimer         *time.Timer         // ends the stream if no event has left in time for the caller to get an answer
	retryReserved       bool                // the next attempt is within the retry budget
	retryUnused         bool                // the last attempt took a retry from the budget and was not sent
	denialLogged        bool                // the budget's denial of the next attempt
	retryTakenAt        time.Time           // when the last retry was taken from the budget
	releaseBackupTokens func()              // ends the reservation at the backup's engine; may be nil

	lastEventAt     time.Time     // when the caller got the last event
	firstEventDelay time.Duration // from the request to the first event
	longestGap      time.Duration // between two events
	interrupted     bool          // an attempt or the caller's router was lost since the last event
}

// restoreSession finds where the stream of a reconnecting caller ran before its router
// was lost: by its session record or, without one, by the engines' cached prompts.
func (s *stream) restoreSession(ctx context.Context) {
	reconnectsTotal.Inc()
	record, ok := s.relay.cfg.Sessions.FindSession(ctx, s.req.ResumeKey())
	s.relay.cfg.Log.WithField("id", s.req.ID).WithField("event", s.lastEventID).WithField("found", ok).
		WithField("run", record.AttemptID).WithField("backup", record.Backup).Info("caller reconnected")
	if !ok {
		if s.service.Engine != nil {
			s.promptEngine = s.relay.findCachedPrompt(ctx, s.service.Name, s.req.SessionID())
		}
		s.interrupted = s.promptEngine != nil
		return
	}
	s.backupAddress, s.backupRef = record.Backup, server.KVBackup{Address: record.Backup, ID: record.AttemptID}
	s.promptEngine = s.relay.cfg.Servers.ByAddress(record.Server)
	s.interrupted = true
}

// recordResult logs and counts an attempt, updates the load of its engine and prepares
// the next attempt.
func (s *stream) recordResult(target *registry.Entry, restoreFrom *server.KVBackup, r result) {
	now := time.Now()
	log := s.relay.cfg.Log.WithField("id", s.req.ID).WithField("server", target.ID).
		WithField("outcome", string(r.outcome)).WithField("event", s.lastEventID).WithField("reason", r.reason).
		WithField("began", r.began).WithField("attemptEvents", r.events).WithField("parts", s.req.SharedPartIDs()).WithField("session", s.req.SessionID())
	if restoreFrom != nil {
		log = log.WithField("copy", restoreFrom.Address)
	}
	log.Info("attempt ended")
	attemptsTotal(r.outcome, restoreFrom != nil).Inc()
	switch r.outcome {
	case finished:
		s.relay.cfg.Quarantine.ServerFinished(s.req)
		target.Load.RecordOutcome(false)
		if r.replacement != nil {
			go s.relay.deleteReplacement(r.replacement)
		}
	case answered:
		if r.brokeOff {
			s.recordEnd(target, r)
		}
	case refused:
		switch {
		case r.replaced:
			// That incarnation does not return, but its entry stays listed for a while.
			s.excluded[target.Key()] = true
			s.markDown(target, now.Add(replacedBackoff))
		case restoreFrom != nil: // only the backup was missing
		default:
			s.refusals++
			s.excluded[target.Key()], s.momentary[target.Key()] = true, true
			target.Load.MarkFull(now.Add(fullBackoff))
		}
	case notSent:
		s.excluded[target.Key()] = true
		if !r.unanswered {
			s.markDown(target, now.Add(unresponsiveBackoff))
		}
		s.checkDomain(target, now)
	case lost:
		s.executed++
		s.leftEngine = nil
		if r.goesOn {
			s.leftEngine = target
			s.leftSilent++
		}
		s.interrupted = true
		if !r.callerDisconnected {
			target.Load.RecordOutcome(true)
		}
		switch {
		case r.goesOn: // recorded by endSilent
		case r.callerDisconnected, r.silent:
			s.relay.cfg.Quarantine.AttemptAbandoned(s.req, &target.Server, r.events)
		case s.recordEnd(target, r):
			s.ended++
		}
		s.refusals = 0
		s.excluded[target.Key()], s.momentary[target.Key()] = true, r.silent && !r.doubted
		s.backupAddress = ""
		// There is no backup before the first event, unless the attempt was itself
		// resumed from one and its engine was not silent all the time.
		if r.backup != nil && (r.events > 0 || restoreFrom != nil && !r.silent) {
			s.backupAddress, s.backupRef = r.backup.Address, server.KVBackup{Address: r.backup.Address, ID: s.req.ID}
			s.backupEngine, s.backupSince, s.backupExpiresAt = r.backup, r.sentAt, s.backupExpiry(s.lastSign(r, now))
		}
		s.backupUncertain = r.events < certainBackupEvents
		if r.replacement != nil {
			if engine, ref, since, expiresAt := r.replacement.get(now); ref != nil {
				s.backupAddress, s.backupRef = engine.Address, *ref
				s.backupEngine, s.backupSince, s.backupExpiresAt = engine, since, expiresAt
				s.backupUncertain = false
			}
		}
		if !r.unresponsive && !r.erred && (!r.silent || r.doubted) && s.lastEventID > s.req.LastEventID {
			s.promptEngine = target
		}
		s.lostDomain = target.Domain
		if r.unresponsive {
			s.recordUnresponsive(target, now)
		}
		if !r.callerDisconnected {
			s.checkDomain(target, now)
		}
	}
}

// recordEvent records the times that decide whether the caller is served on time: the
// delay of the first event, the longest gap and the pause of a resumed stream.
func (s *stream) recordEvent(now time.Time, target *registry.Entry) {
	if s.lastEventAt.IsZero() {
		s.firstEventDelay = now.Sub(s.req.ArrivedAt)
		firstEventSeconds.Update(s.firstEventDelay.Seconds())
	} else if gap := now.Sub(s.lastEventAt); gap > s.longestGap {
		s.longestGap = gap
	}
	if s.interrupted {
		s.interrupted = false
		since := s.req.ArrivedAt
		if !s.lastEventAt.IsZero() {
			since = s.lastEventAt
		}
		resumePauseSeconds.Update(now.Sub(since).Seconds())
		s.relay.cfg.Log.WithField("id", s.req.ID).WithField("server", target.ID).WithField("event", s.lastEventID).
			WithField("pauseMs", now.Sub(since).Milliseconds()).Info("stream resumed")
	}
	s.lastEventAt = now
}

// retryObstacle returns why no other attempt may follow one that did not complete the
// stream. It is empty if one may.
func (s *stream) retryObstacle(r result) endReason {
	switch {
	case r.outcome == refused && !s.headersSent && s.refusals >= maxRefusals:
		return enginesRefused // with headers, the next search includes engines that refused
	case r.outcome != lost:
		return ""
	case r.callerSlow:
		return callerReadsSlowly
	case !s.resumable():
		return notResumable
	case s.countedAttempts() >= s.req.Route.MaxAttempts:
		return attemptsUsed
	default:
		return ""
	}
}

// countedAttempts returns the attempts that count against those that the route allows. What
// engines have run that ended does not.
func (s *stream) countedAttempts() int { return s.executed - s.ended }

// resumable reports whether another attempt could continue the stream.
func (s *stream) resumable() bool { return !s.unresumable && s.req.Route.Retryable() }

// sendHeaders sends the headers of the first answer that is passed on.
func (s *stream) sendHeaders(answer *server.Answer) {
	if s.headersSent {
		return
	}
	for name, values := range answer.Header {
		s.w.Header()[name] = values
	}
	s.w.WriteHeader(http.StatusOK)
	s.headersSent = true
	s.contentType = mediaType(answer)
}

// refuse answers 503, which tells the caller that no server executed the request. If
// one may have, it answers 502.
func (s *stream) refuse(reason string) {
	if s.executed > 0 {
		s.fail(http.StatusBadGateway)
		return
	}
	refusedTotal.Inc()
	s.relay.cfg.Log.WithField("id", s.req.ID).WithField("reason", reason).WithField("config", s.req.ConfigVersion).
		WithField("servers", s.relay.cfg.Servers.Position().Revision).WithField("era", s.relay.cfg.Servers.Position().Era).Info("request refused")
	s.w.Header().Set("Retry-After", s.relay.retryAfter(s.service.Name, time.Now()))
	s.w.WriteHeader(http.StatusServiceUnavailable)
}

// fail answers with an error status, or cuts an answer that has begun.
func (s *stream) fail(status int) {
	if s.headersSent {
		s.cut()
	}
	s.w.WriteHeader(status)
}

// releaseBackup releases the tokens that are reserved for the last attempt's backup at its
// engine.
func (s *stream) releaseBackup() {
	if s.releaseBackupTokens != nil {
		s.releaseBackupTokens()
		s.releaseBackupTokens = nil
	}
}
