// Package uplink decides whether a router sends a peer something large now. It
// answers news that all routers of a large fleet fetch at once: those on narrow
// links would hold everybody up, so the others fetch from each other.
package uplink

import (
	"sync"
	"time"
)

const (
	// share of the link is used for peers; the rest is the callers'.
	share = 0.5
	// longest is how far ahead the link may be promised. A change has to be in
	// force within two seconds, and passes two or three routers.
	longest = 250 * time.Millisecond
)

// Uplink is the sending side of a router's link.
type Uplink struct {
	perSecond float64 // bytes

	mu   sync.Mutex
	free time.Time // when all that was promised has been sent
}

// New returns an uplink of a rate in bytes a second; 0 has no bound.
func New(bytesPerSecond float64) *Uplink { return &Uplink{perSecond: share * bytesPerSecond} }

// Admit reports whether so many bytes may be sent now, and counts them if so. An
// idle link takes any size.
func (u *Uplink) Admit(size int, now time.Time) bool {
	if u.perSecond <= 0 {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.free.Before(now) {
		u.free = now
	}
	took := time.Duration(float64(size) / u.perSecond * float64(time.Second))
	if u.free.After(now) && u.free.Add(took).Sub(now) > longest {
		return false
	}
	u.free = u.free.Add(took)
	return true
}
