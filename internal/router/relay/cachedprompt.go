package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriafield/internal/backend/registry"
)

const (
	// holderAsked bounds the engines that are asked for one prompt, so that the
	// cost does not grow with the fleet.
	holderAsked = 24
	// holderTimeout bounds the search; reading a prompt takes a second.
	holderTimeout = 150 * time.Millisecond
)

// holder finds the engine that has a session's prompt in memory, when no router
// knows where it ran. It answers the death of all routers at once.
func (r *Relay) holder(ctx context.Context, service, session string) *registry.Entry {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	now := time.Now()
	var engines []*registry.Entry
	for _, e := range r.cfg.Servers.Service(service) {
		if !e.Leaving && !e.Load.State(now).Down {
			engines = append(engines, e)
		}
	}
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	engines = engines[:min(len(engines), holderAsked)]
	found := make(chan *registry.Entry, len(engines))
	for _, e := range engines {
		go func() {
			if r.caches(ctx, e, session) {
				found <- e
				return
			}
			found <- nil
		}()
	}
	for range engines {
		if e := <-found; e != nil {
			r.cfg.Log.WithField("server", e.ID).WithField("asked", len(engines)).Info("prompt found")
			return e
		}
	}
	return nil
}

// caches reports whether an engine has a session's prompt in memory.
func (r *Relay) caches(ctx context.Context, e *registry.Entry, session string) bool {
	parts, err := r.cfg.Client.CachedPromptParts(ctx, e.Address)
	if err != nil {
		r.cfg.Log.WithField("server", e.ID).WithError(err).Debug("cache not listed")
		return false
	}
	for _, p := range parts {
		if p.ID == session && p.Tokens > 0 {
			return true
		}
	}
	return false
}
