package discovery

import (
	"time"

	"wisteriafield/internal/decision/storereader"
)

// firstDelay returns the delay after a first failed call.
func (f *Follower) firstDelay() time.Duration {
	if f.initialized() {
		return maxRetryDelay
	}
	return minRetryDelay
}

// maxDelay returns the bound of the delay after a failed call.
func (f *Follower) maxDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage || f.position.IsZero() || !f.cfg.HasConfig() {
		return maxRetryDelay
	}
	return maxRefusedRetryDelay
}

// nextRole sets and returns the role of this router. A router that does not have all data
// yet reads it for itself.
func (f *Follower) nextRole(now time.Time) storereader.Role {
	role := storereader.Primary
	f.cheapFirst = false
	if f.initialized() {
		d := f.cfg.Decide()
		role, f.cheapFirst = d.Role, d.CheapFirst
		f.observeOutage(d, now)
		if role == storereader.Idle && f.eraOverdue(now) {
			role = storereader.Trial
		}
	}
	if old := f.role.Swap(&role); old == nil || *old != role {
		f.cfg.Log.WithField("role", string(role)).Debug("role in reading the store changed")
	}
	if role == storereader.Idle {
		// Who does not call the store does not fail, and may be elected again.
		f.failing.Store(false)
		f.publishDue(now)
	}
	return role
}

// observeOutage records the start and the end of an outage. A router that calls the store
// sees the end by its own answer.
func (f *Follower) observeOutage(d storereader.Decision, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case d.Outage && !f.outage:
		f.outage = true
		if f.unreachableSince.IsZero() {
			f.unreachableSince = now
		}
		f.cfg.Log.WithField("role", string(d.Role)).Warn("store answers no known router")
	case !d.Outage && (f.outage || d.Role == storereader.Idle && !f.unreachableSince.IsZero()):
		f.endOutage(now)
	}
}

// Role returns the role of this router in reading the store.
func (f *Follower) Role() storereader.Role {
	if role := f.role.Load(); role != nil {
		return *role
	}
	return storereader.Idle
}

// Failing reports whether the last call of the store failed. A router that leaves the
// store to others is not failing.
func (f *Follower) Failing() bool { return f.failing.Load() }

// recordFailure records that the store did not answer this router. Others may have answers.
func (f *Follower) recordFailure(err error) {
	if !f.failing.Swap(true) {
		f.cfg.OnChange() // peers learn of it at once, and one of them takes over
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachableSince.IsZero() {
		f.unreachableSince = time.Now()
		f.cfg.Log.WithError(err).Warn("store is unreachable")
	}
}

// recordAnswer records that the store answered this router, and the end of an outage.
func (f *Follower) recordAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.failing.Store(false)
	f.storeReachedAt.Store(&now)
	if !f.unreachableSince.IsZero() {
		f.endOutage(now)
	}
}

// endOutage records that the store is reachable again. If others had answers meanwhile, no
// server's entry has expired. The caller holds mu.
func (f *Follower) endOutage(now time.Time) {
	f.cfg.Log.WithField("away", now.Sub(f.unreachableSince).String()).WithField("outage", f.outage).Info("store is reachable again")
	if f.outage {
		f.recoveredAt = now
	}
	f.outage, f.unreachableSince = false, time.Time{}
}
