package discovery

import (
	"strings"
	"time"

	"wisteriafield/internal/backend/server"
	"wisteriafield/platform/kv"
)

// replaceServers applies a full server list. The caller holds mu.
func (f *Follower) replaceServers(revision int64, servers []kv.Value) {
	listed := make(map[string]bool, len(servers))
	for _, v := range servers {
		listed[v.Key] = true
		f.applyServer(v)
	}
	now := time.Now()
	for key := range f.entries {
		if !listed[key] {
			f.removeServer(key, now)
		}
	}
	f.revision, f.changeLogStart, f.changeLog = revision, revision, nil
	f.publish(now)
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
	for _, v := range values {
		if v.Revision > f.revision && strings.HasPrefix(v.Key, f.cfg.ServersPrefix) {
			f.applyServer(v)
			f.changeLog = append(f.changeLog, v)
		}
	}
	if over := len(f.changeLog) - maxLoggedChanges; over > 0 {
		f.changeLogStart = f.changeLog[over-1].Revision
		f.changeLog = append([]kv.Value(nil), f.changeLog[over:]...)
	}
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
	if !f.recoveredAt.IsZero() && now.Sub(f.recoveredAt) < recoveryGrace {
		if f.keptUntil[key].IsZero() {
			f.keptUntil[key] = f.recoveredAt.Add(recoveryGrace)
		}
		return
	}
	delete(f.entries, key)
	delete(f.keptUntil, key)
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
