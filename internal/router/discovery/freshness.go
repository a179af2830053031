package discovery

import (
	"context"
	"time"

	"wisteriafield/internal/decision/freshness"
	"wisteriafield/internal/decision/storehistory"
)

// State returns what this router has of the store, without the version of its configuration.
func (f *Follower) State() freshness.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return freshness.State{List: f.position, ConfigAt: f.fresh.ConfigAt(), ConfirmedAt: f.fresh.ConfirmedAt()}
}

// ObservePeer records what a peer has of the store, given the version of this router's
// configuration.
func (f *Follower) ObservePeer(peer freshness.State, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh.Hear(peer, version, f.position)
}

// Overdue reports whether this router has to read the store because nothing confirms any more
// that what it has is the newest.
func (f *Follower) Overdue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.Overdue(f.cfg.ChangeTime, now)
}

func (f *Follower) configAt() storehistory.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.ConfigAt()
}

// pauseAfterFailure waits for d, or until it is interrupted. A router that its peers do not keep
// up to date tries again after maxRetryDelay.
func (f *Follower) pauseAfterFailure(ctx context.Context, d time.Duration) {
	start := time.Now()
	for passed := time.Duration(0); passed < d; passed = time.Since(start) {
		if passed >= maxRetryDelay && f.Overdue(time.Now()) {
			return
		}
		if f.pause(ctx, min(roleCheckInterval, d-passed)) || ctx.Err() != nil {
			return
		}
	}
}
