package claim

import "time"

const (
	// RestoreKey is the store key of the RestoreMark.
	RestoreKey = "claim-era"
	// clockDifference bounds how much the clocks of two routers differ.
	clockDifference = 2 * time.Second
)

// RestoreMark says which claims the store may have lost. It is kept in the store, so that
// all routers, also those that start later, decide alike.
type RestoreMark struct {
	Era    int64
	SeenAt time.Time // when a router first saw the era; zero if no claim is older than the era
}

// NextMark returns the mark of an era, from the stored mark (nil if there is none), and
// whether it has to be written. sawEarlier says that the caller knows of an earlier era.
func NextMark(stored *RestoreMark, era int64, sawEarlier bool, now time.Time) (RestoreMark, bool) {
	switch {
	case stored == nil || stored.Era != era:
		return RestoreMark{Era: era, SeenAt: now}, true
	case stored.SeenAt.IsZero() && sawEarlier:
		return RestoreMark{Era: era, SeenAt: now}, true
	default:
		return *stored, false
	}
}

// MayHaveLost reports whether a claim that expires at the given time may have been written
// in an earlier era, and so may be missing or older than it was.
func (m RestoreMark) MayHaveLost(expiresAt time.Time) bool {
	if m.SeenAt.IsZero() {
		return false
	}
	keyTime := expiresAt.Add(-Retention - deletionMargin)
	return !keyTime.After(m.SeenAt.Add(maxAhead + clockDifference))
}
