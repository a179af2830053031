// Package uplink decides whether a router sends a large reply to a peer now. When all
// routers of a large fleet fetch a change at once, those on slow links would delay all
// others, so they refuse and the others fetch the change from each other.
package uplink

import (
	"sync"
	"time"
)

const (
	// peerShare is the fraction of the link that peers may use; callers get the rest.
	peerShare = 0.5
	// maxBacklog is the maximum time that the admitted replies may take to send. A
	// change must take effect within two seconds and passes two or three routers.
	maxBacklog = 250 * time.Millisecond
)

// Uplink limits what is sent to peers over a router's link.
type Uplink struct {
	peerBytesPerSecond float64 // 0 if unlimited

	mu     sync.Mutex
	idleAt time.Time // when all admitted replies have been sent
}

// New returns an uplink with a rate in bytes per second; 0 means unlimited.
func New(bytesPerSecond float64) *Uplink {
	return &Uplink{peerBytesPerSecond: peerShare * bytesPerSecond}
}

// Admit reports whether a reply of size bytes may be sent now, and counts it if so. An
// idle link admits any size.
func (u *Uplink) Admit(size int, now time.Time) bool {
	if u.peerBytesPerSecond <= 0 {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.idleAt.Before(now) {
		u.idleAt = now
	}
	sendTime := time.Duration(float64(size) / u.peerBytesPerSecond * float64(time.Second))
	if u.idleAt.After(now) && u.idleAt.Add(sendTime).Sub(now) > maxBacklog {
		return false
	}
	u.idleAt = u.idleAt.Add(sendTime)
	return true
}
