package quarantine

import (
	"slices"
	"time"
)

const (
	// maxCrashes bounds the crashes that are kept, maxParts the shared parts of each, of
	// which the last ones are kept, and maxIDBytes their IDs.
	maxCrashes = 128
	maxParts   = 8
	maxIDBytes = 64
	// maxServerBytes bounds the names of incarnations.
	maxServerBytes = 128
)

// crashKey identifies a crash: a server crashes once.
type crashKey struct{ server, session, request string }

func (c *Crash) key() crashKey { return crashKey{c.Server, c.Session, c.Request} }

// valid reports whether a crash may be recorded.
func (c *Crash) valid(now time.Time) bool {
	return c.Server != "" && len(c.Server) <= maxServerBytes && len(c.Session) <= maxIDBytes && len(c.Request) <= maxIDBytes &&
		!c.At.After(now) && now.Sub(c.At) <= crashTTL
}

type knownCrash struct {
	Crash
	learnedAt time.Time
}

// isNews reports whether peers may not know of the crash yet.
func (c *knownCrash) isNews(now time.Time) bool {
	return now.Sub(c.learnedAt) < newsTime && now.Sub(c.At) < maxNewsAge
}

// crashes holds the known crashes, with an index of their suspects.
type crashes struct {
	list     []knownCrash
	known    map[crashKey]bool
	servers  map[string]bool
	suspects map[string]suspectCrashes
	maxCount int // of a suspect
}

type suspectCrashes struct {
	count  int
	newest time.Time
	shared bool // at least one crash names it as a shared part
}

func (k *crashes) has(c Crash) bool { return k.known[c.key()] }

// count returns how many crashes name a suspect.
func (k *crashes) count(suspect string) int { return k.suspects[suspect].count }

// shared reports whether a crash names a suspect as a shared part.
func (k *crashes) shared(suspect string) bool { return k.suspects[suspect].shared }

// newest returns when the last crash happened that names a suspect, and false if there is none.
func (k *crashes) newest(suspect string) (time.Time, bool) {
	c, ok := k.suspects[suspect]
	return c.newest, ok
}

// related reports whether a known crash has a suspect in common with c.
func (k *crashes) related(c Crash) bool {
	return slices.ContainsFunc(c.all(), func(s string) bool { return k.count(s) > 0 })
}

func (k *crashes) add(c Crash, now time.Time) {
	k.list = append(k.list, knownCrash{c, now})
	k.index(c)
}

// set replaces the list.
func (k *crashes) set(list []knownCrash) {
	k.list, k.known, k.servers, k.suspects, k.maxCount = list, nil, nil, nil, 0
	for _, c := range list {
		k.index(c.Crash)
	}
}

func (k *crashes) index(c Crash) {
	if k.known == nil {
		k.known, k.servers, k.suspects = make(map[crashKey]bool), make(map[string]bool), make(map[string]suspectCrashes)
	}
	k.known[c.key()], k.servers[c.Server] = true, true
	for _, name := range c.all() {
		s := k.suspects[name]
		s.count++
		s.shared = s.shared || !c.owns(name)
		if c.At.After(s.newest) {
			s.newest = c.At
		}
		k.suspects[name] = s
		k.maxCount = max(k.maxCount, s.count)
	}
}
