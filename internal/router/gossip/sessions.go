package gossip

import (
	"context"
	"encoding/json"
	"time"

	"wisteriafield/internal/decision/placement"
	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/sessions"
)

const (
	methodRun = "Gossip.Run"

	// homes is how many peers keep a session's record, and asked how many are
	// asked for it: one more, since a home may just have died.
	homes = 2
	asked = 3
	// findTimeout bounds the search for a record, since a caller waits with a
	// pause of some hundred ms to spare.
	findTimeout = 80 * time.Millisecond
)

type runRequest struct {
	Session string
}

type runReply struct {
	Found  bool
	Record sessions.Record
}

// registerRuns adds the look-up of records for peers.
func (g *Gossip) registerRuns(s *control.Server) {
	s.Handle(methodRun, func(_ context.Context, params json.RawMessage) (any, error) {
		req, err := control.Decode[runRequest](params)
		if err != nil {
			return nil, err
		}
		record, ok := g.cfg.Sessions.Get(req.Session, time.Now())
		return runReply{ok, record}, nil
	})
}

// PutSession keeps a record here and at its homes.
func (g *Gossip) PutSession(r sessions.Record) {
	now := time.Now()
	g.cfg.Sessions.Put(r, now)
	encoded, err := json.Marshal(message{Run: &r})
	if err != nil {
		g.cfg.Log.WithError(err).Error("record not encoded")
		return
	}
	for _, h := range g.homes(r.Session, homes, now) {
		if err := g.cfg.Datagrams.Send(h.DatagramAddress, encoded); err != nil {
			g.cfg.Log.WithField("peer", h.Name).WithError(err).Debug("datagram not sent")
		}
	}
}

// FindSession looks a session's record up here and at its homes.
func (g *Gossip) FindSession(ctx context.Context, session string) (sessions.Record, bool) {
	now := time.Now()
	if r, ok := g.cfg.Sessions.Get(session, now); ok {
		return r, true
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	hosts := g.homes(session, asked, now)
	replies := make(chan runReply, len(hosts))
	for _, h := range hosts {
		go func() {
			var reply runReply
			if err := g.cfg.Caller.Call(ctx, h.Address, methodRun, runRequest{session}, &reply); err != nil {
				g.cfg.Log.WithField("peer", h.Name).WithError(err).Info("record not had from peer")
			}
			replies <- reply
		}()
	}
	for range hosts {
		if reply := <-replies; reply.Found {
			return reply.Record, true
		}
	}
	return sessions.Record{}, false
}

// homes returns the live peers that come first for a session.
func (g *Gossip) homes(session string, n int, now time.Time) []Host {
	byName := make(map[string]Host)
	var names []string
	for _, h := range g.LivePeers(now) {
		byName[h.Name] = h
		names = append(names, h.Name)
	}
	var hosts []Host
	for _, name := range placement.Rendezvous(session, names) {
		if len(hosts) == n {
			break
		}
		hosts = append(hosts, byName[name])
	}
	return hosts
}
