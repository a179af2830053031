package discovery

import (
	"bytes"
	"strings"
	"time"

	"wisteriafield/internal/backend/server"
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

// replaceServers applies a full server list. The differences go into the change log, so
// that after a loss of the store's history peers get them and not the full list. The
// caller holds mu.
func (f *Follower) replaceServers(revision int64, servers []kv.Value) {
	listed := make(map[string]bool, len(servers))
	var changes []kv.Value
	for _, v := range servers {
		v = bounded(v)
		listed[v.Key] = true
		if old, ok := f.raw[v.Key]; !ok || old.Revision != v.Revision || !bytes.Equal(old.Body, v.Body) {
			// A peer may have missed the change itself, so it counts as of now.
			v.Revision = revision
			changes = append(changes, v)
		}
		f.applyServer(v)
	}
	now := time.Now()
	for key := range f.raw {
		if !listed[key] {
			changes = append(changes, kv.Value{Key: key, Revision: revision, Deleted: true})
			f.removeServer(key, now)
		}
	}
	if f.revision == 0 {
		f.changeLogStart, f.changeLog = revision, nil
	} else {
		f.appendChanges(changes)
	}
	f.revision = revision
	f.publish(now)
}

// appendChanges adds changes to the change log, which keeps the newest ones. The caller
// holds mu.
func (f *Follower) appendChanges(changes []kv.Value) {
	f.changeLog = append(f.changeLog, changes...)
	if over := len(f.changeLog) - maxLoggedChanges; over > 0 {
		f.changeLogStart = f.changeLog[over-1].Revision
		f.changeLog = append([]kv.Value(nil), f.changeLog[over:]...)
	}
}

// ServerList returns the changes after a revision, or the full list if the change log
// does not go back that far, and the store's revision that the result is valid for.
func (f *Follower) ServerList(after int64) (revision int64, values []kv.Value, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after >= f.changeLogStart {
		for _, v := range f.changeLog {
			if v.Revision > after {
				values = append(values, v)
			}
		}
		return f.revision, values, false
	}
	for _, v := range f.raw {
		values = append(values, v)
	}
	return f.revision, values, true
}

// Revision returns the store's revision that the server list is valid for.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// ApplyServerList applies a peer's changes after a revision, or its full list, if the
// result is newer than this router's list. Changes that leave a gap are ignored.
func (f *Follower) ApplyServerList(after, revision int64, values []kv.Value, full bool, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.revision || !full && after > f.revision {
		return
	}
	f.cfg.Log.WithField("peer", source).WithField("revision", revision).WithField("had", f.revision).
		WithField("changes", len(values)).Info("server list received from peer")
	if full {
		f.replaceServers(revision, values)
	} else {
		f.applyChanges(revision, values)
	}
	f.cfg.OnChange()
}

// applyChanges applies the changes that concern servers and adds them to the change
// log. The caller holds mu.
func (f *Follower) applyChanges(revision int64, values []kv.Value) {
	var changes []kv.Value
	for _, v := range values {
		if v.Revision > f.revision && strings.HasPrefix(v.Key, f.cfg.ServersPrefix) {
			v = bounded(v)
			f.applyServer(v)
			changes = append(changes, v)
		}
	}
	f.appendChanges(changes)
	f.revision = max(f.revision, revision)
	f.publish(time.Now())
}

// applyServer applies one entry of the server list. The caller holds mu.
func (f *Follower) applyServer(v kv.Value) {
	if v.Deleted {
		f.removeServer(v.Key, time.Now())
		return
	}
	f.raw[v.Key] = v
	delete(f.keptUntil, v.Key)
	s, err := f.cfg.DecodeServer(v.Key, v.Body)
	if err != nil {
		f.cfg.Log.WithField("key", v.Key).WithError(err).Info("invalid server entry ignored")
		delete(f.entries, v.Key)
		return
	}
	f.entries[v.Key] = s
}

// removeServer removes an entry, or keeps it for recoveryGrace if it may have expired
// only because the store was unreachable. The caller holds mu.
func (f *Follower) removeServer(key string, now time.Time) {
	delete(f.raw, key)
	if _, ok := f.entries[key]; !ok {
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
	delete(f.entries, key)
	delete(f.keptUntil, key)
}

// publishDue publishes the server list if kept entries are due.
func (f *Follower) publishDue(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, until := range f.keptUntil {
		if !now.Before(until) {
			f.publish(now)
			return
		}
	}
}

// publish removes the kept entries that are due and passes the server list on. The
// caller holds mu.
func (f *Follower) publish(now time.Time) {
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
	f.cfg.SetServers(f.revision, servers)
}
