package discovery

import (
	"context"
	"time"

	"wisteriafield/internal/decision/storehistory"
)

// eraCheckInterval is how often a router checks whether an answer of the store named a new
// era. The call may have been that of its registrar.
const eraCheckInterval = 100 * time.Millisecond

// Era returns the newest era of the store that this router knows.
func (f *Follower) Era() int64 { return max(f.cfg.Store.Era(), f.Position().Era) }

// ObserveEra records the store's era as a peer knows it. If it is new, this router reads the
// store at once, if it reads it at all.
func (f *Follower) ObserveEra(era int64) {
	f.mu.Lock()
	isNew := f.eras.Hear(era, f.position)
	f.mu.Unlock()
	if isNew {
		f.interrupt()
	}
}

// checkEra lets this router and its peers know if an answer of the store named a new era.
func (f *Follower) checkEra(now time.Time) {
	f.mu.Lock()
	isNew := f.eras.See(f.cfg.Store.Era(), f.position, now)
	f.mu.Unlock()
	if isNew {
		f.interrupt()
		f.cfg.OnChange()
	}
}

// eraOverdue reports whether this router should read an era that it saw and no reader has
// read.
func (f *Follower) eraOverdue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eras.Overdue(f.position, now)
}

// restoredSince reports whether the store is known to have been restored after a position.
func (f *Follower) restoredSince(p storehistory.Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.eras.RestoredSince(p) || f.cfg.Store.Era() > p.Era
}

// interrupt ends the current pause or watch.
func (f *Follower) interrupt() {
	select {
	case f.wake <- struct{}{}:
	default: // already due
	}
}

// clearInterrupt drops an interrupt that is due.
func (f *Follower) clearInterrupt() {
	select {
	case <-f.wake:
	default:
	}
}

// pause waits for d, or until it is interrupted, which it reports.
func (f *Follower) pause(ctx context.Context, d time.Duration) (interrupted bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-f.wake:
		return true
	}
	return false
}

// interruptible returns a context that ends when the follower is interrupted, and a function
// that releases it and reports whether it was.
func (f *Follower) interruptible(ctx context.Context) (context.Context, func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	interrupted := make(chan bool, 1)
	go func() {
		select {
		case <-f.wake:
			cancel()
			interrupted <- true
		case <-ctx.Done():
			interrupted <- false
		}
	}()
	return ctx, func() bool {
		cancel()
		return <-interrupted
	}
}
