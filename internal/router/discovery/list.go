package discovery

import (
	"bytes"
	"strings"
	"time"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/platform/kv"
)

// maxEntryBytes bounds the value of a server's entry, which has some hundred bytes.
const maxEntryBytes = 16 << 10

// bounded returns an entry without its value if that is too large to describe a server.
// Routers keep all entries and pass them on to peers over slow links.
func bounded(v kv.Value) kv.Value {
	if len(v.Body) > maxEntryBytes {
		v.Body = nil
	}
	return v
}

// ServerList is a server list, or the changes that lead to it from an older one.
type ServerList struct {
	At     storehistory.Position
	Values []kv.Value
	Full   bool
	// Gap is the part of the history that the changes have passed over.
	Gap storehistory.Gap
}

// replaceServers applies a full server list. The differences go into the change log, so
// that after a loss of the store's history peers get them and not the full list. The
// caller holds mu.
func (f *Follower) replaceServers(at storehistory.Position, servers []kv.Value) {
	now := time.Now()
	if f.position.IsZero() {
		f.changeLog.Reset(at)
	} else if f.position.Before(at) {
		f.changeLog.Skip(storehistory.Gap{From: f.position, To: at})
	}
	f.advance(at, now)
	listed := make(map[string]bool, len(servers))
	for _, v := range servers {
		v = bounded(v)
		listed[v.Key] = true
		if old, ok := f.raw[v.Key]; !ok || !bytes.Equal(old.Body, v.Body) {
			f.logDifference(at, v)
		}
		f.applyServer(v)
	}
	for key := range f.raw {
		if !listed[key] {
			f.logDifference(at, kv.Value{Key: key, Deleted: true})
			f.removeServer(key, now)
		}
	}
	f.publish(now)
}

// logDifference adds a change that a full list shows to the change log. A peer may have
// missed the change itself, so it counts as of the list. The caller holds mu.
func (f *Follower) logDifference(at storehistory.Position, v kv.Value) {
	v.Era, v.Revision = at.Era, at.Revision
	f.changeLog.Append(at, v)
}

// advance records that the server list is known up to a position. Entries that vanish when
// the store is restored are kept, as after an outage. The caller holds mu.
func (f *Follower) advance(to storehistory.Position, now time.Time) {
	if f.position.Era != 0 && to.Era > f.position.Era {
		f.cfg.Log.WithField("era", to.Era).WithField("revision", to.Revision).WithField("hadEra", f.position.Era).
			WithField("had", f.position.Revision).Warn("store was restored from an older copy")
		f.recoveredAt = now
		for key := range f.keptUntil {
			f.keptUntil[key] = now.Add(recoveryGrace)
		}
	}
	f.position = storehistory.Later(f.position, to)
}

// ServerList returns the changes after a position, or the full list if the change log does
// not lead there from that position.
func (f *Follower) ServerList(after storehistory.Position) ServerList {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := ServerList{At: f.position}
	var complete bool
	if list.Values, list.Gap, complete = f.changeLog.Since(after); complete {
		return list
	}
	list.Full = true
	for _, v := range f.raw {
		list.Values = append(list.Values, v)
	}
	return list
}

// Position returns the position of the store that the server list is valid for.
func (f *Follower) Position() storehistory.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// ApplyServerList applies a peer's changes after a position, or its full list, if the
// result is newer than this router's list. Changes that leave a gap are ignored.
func (f *Follower) ApplyServerList(after storehistory.Position, list ServerList, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stale := f.position.Before(after) || list.Gap.Contains(f.position) || list.At.Before(list.Gap.To)
	if !f.position.Before(list.At) || !list.Full && stale {
		return
	}
	f.cfg.Log.WithField("peer", source).WithField("era", list.At.Era).WithField("revision", list.At.Revision).
		WithField("had", f.position.Revision).WithField("changes", len(list.Values)).Info("server list received from peer")
	switch {
	case list.Full:
		f.replaceServers(list.At, list.Values)
	case f.position.Before(list.Gap.To):
		f.changeLog.Skip(list.Gap)
		f.applyChanges(list.At, list.Values)
	default:
		f.applyChanges(list.At, list.Values)
	}
	f.cfg.OnChange()
}

// applyChanges applies the changes up to a position that concern servers and adds them to
// the change log. The caller holds mu.
func (f *Follower) applyChanges(to storehistory.Position, values []kv.Value) {
	had := f.position
	f.advance(to, time.Now())
	f.changeLog.Advance(to)
	for _, v := range values {
		if had.Before(v.Position()) && strings.HasPrefix(v.Key, f.cfg.ServersPrefix) {
			v = bounded(v)
			f.applyServer(v)
			f.changeLog.Append(v.Position(), v)
		}
	}
	f.publish(time.Now())
}

// applyServer applies one entry of the server list. The caller holds mu.
func (f *Follower) applyServer(v kv.Value) {
	if v.Deleted {
		f.removeServer(v.Key, time.Now())
		return
	}
	had := f.raw[v.Key]
	f.raw[v.Key] = v
	delete(f.keptUntil, v.Key)
	s, err := f.cfg.DecodeServer(v.Key, v.Body)
	if err != nil {
		f.cfg.Log.WithField("key", v.Key).WithError(err).Info("invalid server entry ignored")
		delete(f.entries, v.Key)
		delete(f.heldUntil, v.Key)
		return
	}
	if !f.hold(s, had, v, time.Now()) {
		f.entries[v.Key] = s
	}
}

// removeServer removes an entry, or keeps it for recoveryGrace if it may have expired
// only because the store was unreachable, or was lost with the store's newest changes. The caller holds mu.
func (f *Follower) removeServer(key string, now time.Time) {
	delete(f.raw, key)
	delete(f.heldUntil, key)
	s, ok := f.entries[key]
	if !ok {
		return
	}
	recoveredAt := f.recoveredAt
	if f.outage {
		// A peer's list shows the end of the outage before this router sees it otherwise.
		recoveredAt = now
	}
	if !recoveredAt.IsZero() && now.Sub(recoveredAt) < recoveryGrace {
		if f.keptUntil[key].IsZero() {
			f.keptUntil[key] = recoveredAt.Add(recoveryGrace)
		}
		return
	}
	f.removed[key] = removal{s.Key(), f.position.Era, now.Add(removalTTL)}
	delete(f.entries, key)
	delete(f.keptUntil, key)
}

// publishDue publishes the server list if kept or held entries are due.
func (f *Follower) publishDue(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, deadlines := range []map[string]time.Time{f.keptUntil, f.heldUntil} {
		for _, until := range deadlines {
			if !now.Before(until) {
				f.publish(now)
				return
			}
		}
	}
}

// publish removes the kept entries and uses the held ones that are due, and passes the server
// list on. The caller holds mu.
func (f *Follower) publish(now time.Time) {
	f.release(now)
	for key, until := range f.keptUntil {
		if !now.Before(until) {
			delete(f.entries, key)
			delete(f.keptUntil, key)
		}
	}
	servers := make([]server.Server, 0, len(f.entries))
	for _, s := range f.entries {
		servers = append(servers, s)
	}
	f.cfg.SetServers(f.position, servers)
}
