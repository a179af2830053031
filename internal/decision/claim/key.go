package claim

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	// Retention is how long after the date in its key a claim is kept.
	Retention = 24 * time.Hour
	// deletionMargin is how much later the record may be deleted. It covers
	// clocks that differ between routers.
	deletionMargin = time.Hour
	// maxAhead is how far in the future a key's date may lie.
	maxAhead = 5 * time.Minute
)

// ErrKeyFormat reports a key that is not a UUID of version 7.
var ErrKeyFormat = errors.New("key is not a version 7 UUID")

// ErrKeyAge reports a key whose date is out of bounds.
var ErrKeyAge = errors.New("key is older than 24 h or from the future")

// CheckKey returns when the claim of a key may be deleted. A key older than
// the retention is refused, so a claim that is gone can't run a second time.
func CheckKey(key string, now time.Time) (time.Time, error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, ErrKeyFormat
	}
	sec, nsec := id.Time().UnixTime()
	at := time.Unix(sec, nsec)
	if now.Sub(at) > Retention || at.Sub(now) > maxAhead {
		return time.Time{}, fmt.Errorf("key of %s: %w", at.UTC().Format(time.RFC3339), ErrKeyAge)
	}
	return at.Add(Retention + deletionMargin), nil
}

// StoreKey names a claim in the store. The minute after which it may be deleted
// comes first, so that old claims are found by prefix.
func StoreKey(organisation, key string, expires time.Time) string {
	return MinutePrefix(expires) + organisation + "/" + strings.ToLower(key)
}

// MinutePrefix is the prefix of all claims that may be deleted after a minute.
func MinutePrefix(minute time.Time) string {
	return "claim/" + minute.UTC().Format("200601021504") + "/"
}
