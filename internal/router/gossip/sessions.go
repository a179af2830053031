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
	methodSession = "Gossip.Run"

	// ownersPerRecord is how many peers keep a record, and maxOwnersQueried
	// how many are asked for it: one more, since an owner may just have died.
	ownersPerRecord  = 2
	maxOwnersQueried = 3
	// lookupTimeout bounds the search for a record, during which a caller waits: all
	// delays of a resume together may take a few hundred ms.
	lookupTimeout = 80 * time.Millisecond
)

type sessionRequest struct {
	Request string `json:"Session"`
}

type sessionReply struct {
	Found  bool
	Record sessions.Record
}

// registerSessions adds the method by which peers look up session records.
func (g *Gossip) registerSessions(s *control.Server) {
	s.Handle(methodSession, func(_ context.Context, params json.RawMessage) (any, error) {
		req, err := control.DecodeParams[sessionRequest](params)
		if err != nil {
			return nil, err
		}
		record, ok := g.cfg.Sessions.Get(req.Request, time.Now())
		return sessionReply{ok, record}, nil
	})
}

// PutSession stores a record here and sends it to its owners.
func (g *Gossip) PutSession(r sessions.Record) {
	now := time.Now()
	g.cfg.Sessions.Put(r, now)
	encoded, err := json.Marshal(message{SessionRecord: &r})
	if err != nil {
		g.cfg.Log.WithError(err).Error("cannot encode session record")
		return
	}
	for _, h := range g.recordOwners(r.Request, ownersPerRecord, now) {
		if err := g.cfg.Datagrams.Send(h.DatagramAddress, encoded); err != nil {
			g.cfg.Log.WithField("peer", h.Name).WithError(err).Debug("cannot send session record to peer")
		}
	}
}

// FindSession looks up a request's record here, then at its owners.
func (g *Gossip) FindSession(ctx context.Context, request string) (sessions.Record, bool) {
	now := time.Now()
	if r, ok := g.cfg.Sessions.Get(request, now); ok {
		return r, true
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	hosts := g.recordOwners(request, maxOwnersQueried, now)
	replies := make(chan sessionReply, len(hosts))
	for _, h := range hosts {
		go func() {
			var reply sessionReply
			if err := g.cfg.Caller.Call(ctx, h.Address, methodSession, sessionRequest{request}, &reply); err != nil {
				g.cfg.Log.WithField("peer", h.Name).WithError(err).Info("cannot get session record from peer")
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

// recordOwners returns the first n live peers in the rendezvous order of a request.
func (g *Gossip) recordOwners(request string, n int, now time.Time) []Host {
	byName := make(map[string]Host)
	var names []string
	for _, h := range g.LivePeers(now) {
		byName[h.Name] = h
		names = append(names, h.Name)
	}
	var hosts []Host
	for _, name := range placement.Rendezvous(request, names) {
		if len(hosts) == n {
			break
		}
		hosts = append(hosts, byName[name])
	}
	return hosts
}
