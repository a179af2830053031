package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriafield/internal/backend/registry"
)

const (
	// maxEnginesQueried bounds the engines that are queried for one prompt, so that the
	// cost does not grow with the fleet.
	maxEnginesQueried = 24
	// cachedPromptTimeout bounds the search, which is worth little time: an engine
	// prefills a prompt in about a second.
	cachedPromptTimeout = 150 * time.Millisecond
)

// findCachedPrompt returns an engine that has a session's prompt cached, or nil. It is
// used when no router has the session's record, as after the loss of all routers.
func (r *Relay) findCachedPrompt(ctx context.Context, service, session string) *registry.Entry {
	ctx, cancel := context.WithTimeout(ctx, cachedPromptTimeout)
	defer cancel()
	now := time.Now()
	var engines []*registry.Entry
	for _, e := range r.cfg.Servers.Service(service) {
		if !e.Leaving && !e.Load.State(now).Down && r.cfg.Limits.Allows(&e.Server, now) {
			engines = append(engines, e)
		}
	}
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	engines = engines[:min(len(engines), maxEnginesQueried)]
	found := make(chan *registry.Entry, len(engines))
	for _, e := range engines {
		go func() {
			if r.hasCachedPrompt(ctx, e, session) {
				found <- e
				return
			}
			found <- nil
		}()
	}
	for range engines {
		if e := <-found; e != nil {
			r.cfg.Log.WithField("server", e.ID).WithField("asked", len(engines)).Info("cached prompt found")
			return e
		}
	}
	return nil
}

// hasCachedPrompt reports whether an engine has a session's prompt cached.
func (r *Relay) hasCachedPrompt(ctx context.Context, e *registry.Entry, session string) bool {
	parts, err := r.cfg.Client.CachedPromptParts(ctx, e.Address)
	if err != nil {
		r.cfg.Log.WithField("server", e.ID).WithError(err).Debug("engine did not list its cached prompts")
		return false
	}
	for _, p := range parts {
		if p.ID == session && p.Tokens > 0 {
			return true
		}
	}
	return false
}
