package relay

import (
	"context"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
)

// maxEngineWait bounds the wait of a stream that has not begun for an engine. It is above the time
// for which one that was silent gets no work.
const maxEngineWait = unresponsiveBackoff + 500*time.Millisecond

// certainBackupEvents is after how many events of an attempt its backup is likely to have arrived:
// in two trials of 36 routers and 224 engines, 15 of 24 resumes after a single event were refused,
// and 3 of 15 after two.
const certainBackupEvents = 2

// nextTarget chooses the engine of the next attempt, and the backup to resume from, if
// any. An engine that has the backup comes first, then one that has the prompt cached.
func (s *stream) nextTarget(ctx context.Context) (*registry.Entry, *server.KVBackup) {
	s.choice = choice{}
	if s.relay.cfg.Quarantine.SparesLastServer(s.req, func() []string { return s.relay.cfg.Servers.Usable(s.service.Name, time.Now()) }) {
		return nil, nil
	}
	if address := s.backupAddress; address != "" {
		s.backupAddress = ""
		// The engine is looked up by address: it may be leaving or gone by now, or have restarted.
		// An engine without the backup refuses the stream, which uses up a retry.
		expired := !s.backupExpiresAt.IsZero() && time.Now().After(s.backupExpiresAt)
		if engine := s.usableEngineAt(address); engine != nil && !expired && s.hasBackup(engine) && s.affordsBackup() && s.relay.cfg.Limits.Take(&engine.Server) {
			ref := s.backupRef
			return engine, &ref
		}
	}
	if e := s.promptEngine; e != nil {
		s.promptEngine = nil
		if current := s.usableEngineAt(e.Address); current != nil && current.Key() == e.Key() && s.service.Engine != nil && s.relay.isAlive(ctx, current) && s.relay.cfg.Limits.Take(&current.Server) {
			return current, nil
		}
	}
	for {
		s.choice = s.relay.choose(ctx, s.service, s.req, s.excluded, s.lostDomain)
		if s.headersSent && s.choice.candidate.Full {
			s.choice = choice{} // it would refuse again, which uses up a retry
		}
		if s.choice.entry == nil || s.relay.cfg.Limits.Take(&s.choice.entry.Server) {
			return s.choice.entry, nil
		}
		// Another stream has just taken this router's part of the engine's limit.
	}
}

// hasBackup reports whether an engine at the backup's address has it: the incarnation that was
// chosen, or one that had replaced it, unknown to this router, before the backup began.
func (s *stream) hasBackup(e *registry.Entry) bool {
	return s.backupEngine == nil || e.Key() == s.backupEngine.Key() || e.Started <= s.backupSince.UnixMilli()
}

// affordsBackup reports whether a resume from the backup may be tried. If the backup may not have
// arrived, there must be another retry in case the engine refuses.
func (s *stream) affordsBackup() bool {
	if !s.backupUncertain {
		return true
	}
	now := time.Now()
	next := s.relay.cfg.RetryBudget.NextAt(s.service.Name, now)
	return !next.IsZero() && !next.After(now)
}

// engineReturns reports whether an engine that is full or down may soon get a stream that has
// waited for one since a time. A request that no engine has run does not wait: it is refused, and
// its caller may go to another router.
func (s *stream) engineReturns(since time.Time) bool {
	if s.executed == 0 || time.Since(since) >= maxEngineWait || s.relay.cfg.Quarantine.SparesLastServer(s.req, func() []string { return s.relay.cfg.Servers.Usable(s.service.Name, time.Now()) }) {
		return false
	}
	for _, e := range s.relay.cfg.Servers.Service(s.service.Name) {
		if !e.Leaving && (!s.excluded[e.Key()] || s.momentary[e.Key()]) && !s.relay.cfg.Limits.NextAt(&e.Server, time.Now()).IsZero() {
			return true
		}
	}
	return false
}

// readmitEngines lets engines be chosen again that refused or failed, but may be usable again.
// Before its first event, a stream does not return to those that broke off or are still full.
func (s *stream) readmitEngines() {
	if s.headersSent {
		s.excluded = make(map[server.Key]bool)
		return
	}
	for _, e := range s.relay.cfg.Servers.Service(s.service.Name) {
		if s.momentary[e.Key()] && !e.Load.State(time.Now()).Full {
			delete(s.excluded, e.Key())
		}
	}
}

// usableEngineAt returns the engine at an address if it can get work, or nil.
func (s *stream) usableEngineAt(address string) *registry.Entry {
	now := time.Now()
	engine := s.relay.cfg.Servers.ByAddress(address)
	if engine == nil || engine.Service != s.service.Name || engine.Leaving || !s.relay.cfg.Limits.Allows(&engine.Server, now) {
		return nil
	}
	if state := engine.Load.State(now); state.Down || state.Full {
		return nil
	}
	return engine
}
