// Package loop has sleeps and periodic calls that end with their context.
package loop

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it did: it returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// SleepUntil waits until a time and reports whether it did, as Sleep does.
func SleepUntil(ctx context.Context, at time.Time) bool { return Sleep(ctx, time.Until(at)) }

// Every calls f once per interval d until ctx ends.
func Every(ctx context.Context, d time.Duration, f func(now time.Time)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f(now)
		}
	}
}
