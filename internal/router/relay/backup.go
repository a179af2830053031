package relay

import (
	"context"
	"maps"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/router/sessions"
)

// publishSession stores the attempt's session record, by which other routers can resume
// the stream if this one is lost.
func (s *stream) publishSession(target, backup *registry.Entry) {
	key := s.req.ResumeKey()
	if key == "" || !s.req.Route.Resumable {
		return
	}
	record := sessions.Record{Request: key, AttemptID: s.req.ID, Server: target.Address}
	if backup != nil {
		record.Backup = backup.Address
	}
	s.relay.cfg.Sessions.PutSession(record)
}

// logDispatch logs an attempt with the load that its engine was chosen by.
func (s *stream) logDispatch(target, backup *registry.Entry, restoreFrom *server.KVBackup) {
	candidate := s.choice.candidate
	if s.choice.entry == nil {
		st := target.Load.State(time.Now())
		candidate = balance.Engine{QueuedTokens: st.QueuedTokens, Running: st.Running, UsedTokens: st.UsedTokens, Pace: st.Pace}
	}
	log := s.relay.cfg.Log.WithField("id", s.req.ID).WithField("server", target.ID).WithField("address", target.Address).
		WithField("config", s.req.ConfigVersion).WithField("servers", s.relay.cfg.Servers.Position().Revision).WithField("era", s.relay.cfg.Servers.Position().Era).WithField("prompt", s.req.PromptTokens).WithField("waiting", candidate.QueuedTokens).WithField("runs", candidate.Running).
		WithField("memory", candidate.UsedTokens).WithField("paceMs", candidate.Pace.Milliseconds()).WithField("asked", s.choice.probed).WithField("owners", s.choice.owners).WithField("offers", len(s.choice.offers)).WithField("offered", s.choice.offer.Owner).WithField("backupAsked", s.choice.backupProbed).WithField("after", s.lastEventID)
	if backup != nil {
		log = log.WithField("backup", backup.Address).WithField("backupID", backup.ID)
	}
	if restoreFrom != nil {
		log = log.WithField("copy", restoreFrom.Address)
	}
	log.Info("attempt dispatched to backend server")
}

// chooseBackup picks the engine that keeps the backup of the attempt's KV cache. It
// prefers another failure domain than the attempt's and than that of the last lost
// engine, whose other engines may be lost too without this router knowing it yet.
func (s *stream) chooseBackup(ctx context.Context, target *registry.Entry) *registry.Entry {
	s.releaseBackup()
	if s.service.Engine == nil || !s.service.Engine.SupportsBackups || !s.req.Route.Resumable {
		return nil
	}
	excluded := map[server.Key]bool{target.Key(): true}
	for k := range s.excluded {
		excluded[k] = true
	}
	// A stream that resumes from a backup is one more request to that engine.
	unlimited := maps.Clone(excluded)
	for _, e := range s.relay.cfg.Servers.Service(s.service.Name) {
		if s.relay.cfg.Limits.Limited(&e.Server, time.Now()) {
			unlimited[e.Key()] = true
		}
	}
	c := s.chooseBackupOffered(unlimited, target.Domain, s.lostDomain)
	if c.entry == nil {
		c = s.relay.choose(ctx, s.service, s.req, unlimited, target.Domain, s.lostDomain)
	}
	if c.entry == nil && len(unlimited) > len(excluded) {
		c = s.relay.choose(ctx, s.service, s.req, excluded, target.Domain, s.lostDomain)
	}
	s.choice.backupProbed = c.probed
	if c.entry != nil {
		s.releaseBackupTokens = s.reserveBackup(c.entry, c.offer)
	}
	return c.entry
}

// backupExpiry returns when a backup whose last part arrived at a time may be deleted, or zero
// if that is not known.
func (s *stream) backupExpiry(arrivedAt time.Time) time.Time {
	if s.service.Engine == nil || s.service.Engine.BackupTTL <= 0 {
		return time.Time{}
	}
	return arrivedAt.Add(s.service.Engine.BackupTTL)
}

// lastSign returns when the engine of a lost attempt may have sent the last part of the backup. An
// engine that was silent, or that is gone, has sent none since its last event.
func (s *stream) lastSign(r result, now time.Time) time.Time {
	if r.events > 0 {
		return s.lastEventAt
	}
	return now
}
