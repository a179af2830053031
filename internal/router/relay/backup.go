package relay

import (
	"context"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/balance"
	"wisteriafield/internal/router/sessions"
)

// tellRun lets other routers find the run, should this one be lost.
func (s *stream) tellRun(target, backup *registry.Entry) {
	if s.req.SessionID() == "" || !s.req.Route.Resumable {
		return
	}
	record := sessions.Record{Session: s.req.SessionID(), AttemptID: s.req.ID, Server: target.Address}
	if backup != nil {
		record.Backup = backup.Address
	}
	s.relay.cfg.Sessions.PutSession(record)
}

// logDispatch writes what the choice of an engine was based on.
func (s *stream) logDispatch(target, backup *registry.Entry, from *server.KVBackup) {
	known := s.choice.known
	if s.choice.entry == nil {
		st := target.Load.State(time.Now())
		known = balance.Engine{QueuedTokens: st.QueuedTokens, Running: st.Running, UsedTokens: st.UsedTokens, Pace: st.Pace}
	}
	log := s.relay.cfg.Log.WithField("id", s.req.ID).WithField("server", target.ID).WithField("address", target.Address).
		WithField("config", s.req.ConfigVersion).WithField("servers", s.relay.cfg.Servers.Revision()).WithField("prompt", s.req.PromptTokens).WithField("waiting", known.QueuedTokens).WithField("runs", known.Running).
		WithField("memory", known.UsedTokens).WithField("paceMs", known.Pace.Milliseconds()).WithField("asked", s.choice.asked).WithField("after", s.after)
	if backup != nil {
		log = log.WithField("backup", backup.Address).WithField("backupID", backup.ID)
	}
	if from != nil {
		log = log.WithField("copy", from.Address)
	}
	log.Info("dispatched")
}

// chooseBackup picks the engine that keeps a copy of the run's memory, in
// another failure domain than the run if there is one, and not where an engine was
// just lost: its neighbours may be dead too and not known to be yet.
func (s *stream) chooseBackup(ctx context.Context, target *registry.Entry) *registry.Entry {
	s.releaseCopy()
	if s.service.Engine == nil || !s.service.Engine.Backups || !s.req.Route.Resumable {
		return nil
	}
	excluded := map[server.Key]bool{target.Key(): true}
	for k := range s.excluded {
		excluded[k] = true
	}
	e := s.relay.choose(ctx, s.service, s.req, excluded, target.Domain, s.lostIn).entry
	if e != nil {
		s.dropCopy = e.Load.ReserveBackup(s.req.PromptTokens)
	}
	return e
}
