package discovery

import (
	"strings"
	"time"

	"wisteriafield/internal/backend/server"
	"wisteriafield/platform/kv"
)

// replace takes a whole server list. The caller holds mu.
func (f *Follower) replace(revision int64, servers []kv.Value) {
	listed := make(map[string]bool, len(servers))
	for _, v := range servers {
		listed[v.Key] = true
		f.applyServer(v)
	}
	now := time.Now()
	for key := range f.entries {
		if !listed[key] {
			f.drop(key, now)
		}
	}
	f.revision, f.logFrom, f.log = revision, revision, nil
	f.publish(now)
}

// ServerList returns the changes after a revision, or the whole list if it
// does not go back that far, and the store's revision that they lead to.
func (f *Follower) ServerList(after int64) (revision int64, values []kv.Value, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after >= f.logFrom {
		for _, v := range f.log {
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

// Revision returns the store's revision that the entries hold for.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// ApplyServerList takes a peer's changes after a revision, or its whole list, if
// that leads further than this router is.
func (f *Follower) ApplyServerList(after, revision int64, values []kv.Value, whole bool, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.revision || !whole && after > f.revision {
		return
	}
	f.cfg.Log.WithField("peer", source).WithField("revision", revision).WithField("had", f.revision).
		WithField("changes", len(values)).Info("server list from peer")
	if whole {
		f.replace(revision, values)
	} else {
		f.change(revision, values)
	}
	f.cfg.OnChange()
}

// change applies the servers' part of changes. The caller holds mu.
func (f *Follower) change(revision int64, values []kv.Value) {
	for _, v := range values {
		if v.Revision > f.revision && strings.HasPrefix(v.Key, f.cfg.ServersPrefix) {
			f.applyServer(v)
			f.log = append(f.log, v)
		}
	}
	if over := len(f.log) - logged; over > 0 {
		f.logFrom = f.log[over-1].Revision
		f.log = append([]kv.Value(nil), f.log[over:]...)
	}
	f.revision = max(f.revision, revision)
	f.publish(time.Now())
}

func (f *Follower) applyServer(v kv.Value) {
	if v.Deleted {
		f.drop(v.Key, time.Now())
		return
	}
	f.raw[v.Key] = v
	delete(f.vanished, v.Key)
	s, err := f.cfg.DecodeServer(v.Key, v.Body)
	if err != nil {
		f.cfg.Log.WithField("key", v.Key).WithError(err).Info("entry passed over")
		delete(f.entries, v.Key)
		return
	}
	f.entries[v.Key] = s
}

// drop takes an entry out, or keeps it a while if it may have lapsed only
// because the store was away.
func (f *Follower) drop(key string, now time.Time) {
	delete(f.raw, key)
	if _, ok := f.entries[key]; !ok {
		return
	}
	if !f.back.IsZero() && now.Sub(f.back) < returnGrace {
		if f.vanished[key].IsZero() {
			f.vanished[key] = f.back.Add(returnGrace)
		}
		return
	}
	delete(f.entries, key)
	delete(f.vanished, key)
}

func (f *Follower) publish(now time.Time) {
	for key, until := range f.vanished {
		if !now.Before(until) {
			delete(f.entries, key)
			delete(f.vanished, key)
		}
	}
	servers := make([]server.Server, 0, len(f.entries))
	for _, s := range f.entries {
		servers = append(servers, s)
	}
	f.cfg.SetServers(f.revision, servers)
}
