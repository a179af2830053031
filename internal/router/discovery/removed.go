package discovery

import (
	"time"

	"wisteriafield/internal/backend/server"
	"wisteriafield/platform/kv"
)

// removalTTL is how long it is remembered that a server was removed. A store is restored from
// a copy that is some seconds old.
const removalTTL = time.Minute

// removal is what is known of a server that was removed from the list.
type removal struct {
	incarnation server.Key
	era         int64 // of the store
	until       time.Time
}

// hold reports whether an entry, which replaces another, is not to be used yet. A server that
// was removed may come back with an older copy of the store: it is used once it has written
// its entry again, or at the end of recoveryGrace if the store still has it. The caller holds
// mu.
func (f *Follower) hold(s server.Server, had, v kv.Value, now time.Time) bool {
	if _, held := f.heldUntil[v.Key]; held && !had.Position().Before(v.Position()) {
		return true
	}
	r, ok := f.removed[v.Key]
	until := f.recoveredAt.Add(recoveryGrace)
	if !ok || r.incarnation != s.Key() || v.Era <= r.era || !now.Before(until) {
		delete(f.removed, v.Key)
		delete(f.heldUntil, v.Key)
		return false
	}
	r.era = v.Era
	f.removed[v.Key], f.heldUntil[v.Key] = r, until
	return true
}

// release uses the held entries that are due. The caller holds mu.
func (f *Follower) release(now time.Time) {
	for key, r := range f.removed {
		if !now.Before(r.until) {
			delete(f.removed, key)
		}
	}
	for key, until := range f.heldUntil {
		if now.Before(until) {
			continue
		}
		delete(f.heldUntil, key)
		if s, err := f.cfg.DecodeServer(key, f.raw[key].Body); err == nil {
			f.entries[key] = s
		}
	}
}
