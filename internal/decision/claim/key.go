package claim

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// Retention is how long a claim is kept after the time in its key.
	Retention = 24 * time.Hour
	// deletionMargin is added to Retention before a record may be deleted. It
	// covers clock differences between routers.
	deletionMargin = time.Hour
	// maxEarly is how far in the future the time in a key may be.
	maxEarly = 5 * time.Minute
	// maxAhead is how far it may be in the future when the key's claim is written. After a
	// restore of the store, no new key can be used for so long.
	maxAhead = 5 * time.Second
)

// Key is what a valid idempotency key stands for.
type Key struct {
	ExpiresAt time.Time // when its claim may be deleted
	UsableAt  time.Time // when its claim may be written; usually past
}

// MayBeClaimed reports whether a router may have written the claim of the key by now: the
// clock of another one may be ahead of this one's.
func (k Key) MayBeClaimed(now time.Time) bool {
	return !k.UsableAt.After(now.Add(clockDifference))
}

// ErrKeyFormat reports a key that is not a version 7 UUID.
var ErrKeyFormat = errors.New("key is not a version 7 UUID")

// ErrKeyAge reports a key whose time is too old or too far in the future.
var ErrKeyAge = errors.New("key is older than 24 h or from the future")

// CheckKey validates a key. A key older than Retention is refused, so a call whose claim
// was deleted can't run a second time.
func CheckKey(key string, now time.Time) (Key, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return Key{}, ErrKeyFormat
	}
	sec, nsec := id.Time().UnixTime()
	keyTime := time.Unix(sec, nsec)
	if now.Sub(keyTime) > Retention || keyTime.Sub(now) > maxEarly {
		return Key{}, fmt.Errorf("key of %s: %w", keyTime.UTC().Format(time.RFC3339), ErrKeyAge)
	}
	return Key{ExpiresAt: keyTime.Add(Retention + deletionMargin), UsableAt: keyTime.Add(-maxAhead)}, nil
}

// StoreKey returns the key of a claim in the store. The minute after which the
// claim may be deleted comes first, so that expired claims are found by prefix.
func StoreKey(organisation, key string, expiresAt time.Time) string {
	return MinutePrefix(expiresAt) + organisation + "/" + strings.ToLower(key)
}

// MinutePrefix returns the prefix of the store keys of all claims that may be
// deleted after the given minute.
func MinutePrefix(minute time.Time) string {
	return "claim/" + minute.UTC().Format("200601021504") + "/"
}
