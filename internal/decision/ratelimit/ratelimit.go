// Package ratelimit divides the rate limits that backend servers name among the routers.
// A server names the requests a second that it accepts from all routers together, in any of
// its answers, for as long as the limit holds.
//
// The load that it answers: more requests than a server in need accepts, at any number of
// routers that each see a small part of them.
package ratelimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wisteriafield/internal/decision/placement"
)

const (
	// limitTTL is how long a limit is kept that no answer confirms.
	limitTTL = 5 * time.Minute
	// maxLimits bounds the servers whose limits are kept, and maxIDBytes their names.
	maxLimits  = 1024
	maxIDBytes = 128
	// minRate is the least rate at which a limited server gets requests: without any, the
	// end of its limit would not be noticed.
	minRate = 0.1
	// burstTime is how much of its rate a router may save up at least.
	burstTime = 250 * time.Millisecond
	// maxSavedRequests is how many requests the routers may save up beyond what the limit
	// allows in two seconds.
	maxSavedRequests = 4.0
	// maxDemand bounds the part of a busy router, in parts of the mean router.
	maxDemand = 4.0
	// membersTTL is how long a list of the live routers is used.
	membersTTL = time.Second

	// newsTime is how long news is sent with every message.
	newsTime = 5 * time.Second
	// sameLimit is the relative change below which a limit stays the same.
	sameLimit = 0.02
	// clockError is how much later the same news may seem after it was relayed.
	clockError = 200 * time.Millisecond
)

// Limit is what a server named last.
type Limit struct {
	Server    string  // incarnation
	PerSecond float64 // requests from all routers together
	Lifted    bool    // its last answer named no limit
	At        time.Time
}

// Config holds the settings of a Table.
type Config struct {
	Self string // name of this router
	// Peers returns the names of the other live routers.
	Peers func(now time.Time) []string
	// Demand returns this router's requests to a service in relation to those of the mean
	// router.
	Demand func(service string, now time.Time) float64
	// ContactTime is the time within which connected routers hear each other's news.
	ContactTime time.Duration
}

// Table is one router's view of the limits, and its part of each.
type Table struct {
	cfg       Config
	startedAt time.Time

	mu      sync.Mutex
	entries map[string]*entry
	peers   []string
	peersAt time.Time // when peers was updated
}

type entry struct {
	Limit
	learnedAt time.Time // when the limit or its end was news here
	share     share
}

// New returns an empty table of a router that starts at the given time.
func New(cfg Config, now time.Time) *Table {
	return &Table{cfg: cfg, startedAt: now, entries: make(map[string]*entry)}
}

// ObserveAnswer records what an answer says of its server's limit: the requests a second, or
// that it names none. It reports whether that has changed. The request was sent at sentAt.
func (t *Table) ObserveAnswer(server string, perSecond float64, limited bool, sentAt, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	if !limited {
		// The answer may be older than the limit, unless its request is younger.
		if e == nil || e.Lifted || !sentAt.After(e.At) {
			return false
		}
		return t.set(Limit{Server: server, Lifted: true, At: now}, now)
	}
	return t.set(Limit{Server: server, PerSecond: perSecond, At: now}, now)
}

// set records a limit or its end, and reports whether it has changed. The caller holds mu.
func (t *Table) set(l Limit, now time.Time) (changed bool) {
	e := t.entries[l.Server]
	if e == nil {
		if len(t.entries) >= maxLimits {
			t.removeOldest()
		}
		e = &entry{Limit: l, learnedAt: now}
		t.entries[l.Server] = e
		return true
	}
	changed = e.Lifted != l.Lifted || !l.Lifted && !similar(e.PerSecond, l.PerSecond)
	if changed {
		e.learnedAt = now
		e.share.computedAt = time.Time{}
	}
	e.Limit = l
	return changed
}

func similar(a, b float64) bool {
	return max(a, b)-min(a, b) <= sameLimit*max(a, b)
}

// removeOldest removes the limit that was heard of longest ago. The caller holds mu.
func (t *Table) removeOldest() {
	var oldest string
	for name, e := range t.entries {
		if oldest == "" || e.At.Before(t.entries[oldest].At) {
			oldest = name
		}
	}
	delete(t.entries, oldest)
}

// limitOf returns the entry of a server that is limited, or nil. The caller holds mu.
func (t *Table) limitOf(server string, now time.Time) *entry {
	e := t.entries[server]
	if e == nil || e.Lifted || now.Sub(e.At) > limitTTL {
		return nil
	}
	return e
}

// Empty reports whether no limits are known.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// Limited reports whether a server has named a limit that holds.
func (t *Table) Limited(server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limitOf(server, now) != nil
}

// NextAt returns when this router may send a server its next request: now or before if it
// may at once, and the zero time if it may not send it any.
func (t *Table) NextAt(server, service string, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limitOf(server, now)
	if e == nil {
		return now
	}
	return t.currentShare(e, service, now).nextAt(now)
}

// Take takes one request to a server from this router's part of the limit, and reports
// whether there was one left.
func (t *Table) Take(server, service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limitOf(server, now)
	return e == nil || t.currentShare(e, service, now).take()
}

// Limits returns the limits that hold, sorted by server.
func (t *Table) Limits(now time.Time) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limits []Limit
	for name := range t.entries {
		if e := t.limitOf(name, now); e != nil {
			limits = append(limits, e.Limit)
		}
	}
	slices.SortFunc(limits, func(a, b Limit) int { return cmp.Compare(a.Server, b.Server) })
	return limits
}

// Report returns at most n limits for a message to peers, drawn at random: news, and with
// all, also older limits that still hold, for routers that have started since or missed the
// news.
func (t *Table) Report(n int, all bool, now time.Time) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var told []*entry
	for name, e := range t.entries {
		if now.Sub(e.At) > limitTTL {
			delete(t.entries, name)
			continue
		}
		if now.Sub(e.learnedAt) < newsTime || all && !e.Lifted {
			told = append(told, e)
		}
	}
	rand.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
	var limits []Limit
	for _, e := range told[:min(len(told), n)] {
		limits = append(limits, e.Limit)
	}
	return limits
}

// Merge records what a peer reports, and reports whether a limit has changed.
func (t *Table) Merge(limits []Limit, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range limits {
		if l.Server == "" || len(l.Server) > maxIDBytes || !(l.PerSecond >= 0) || l.At.After(now) || now.Sub(l.At) > limitTTL {
			continue
		}
		if e := t.entries[l.Server]; e != nil && !l.At.After(e.At.Add(clockError)) {
			continue
		}
		changed = t.set(l, now) || changed
	}
	return changed
}

// currentShare returns this router's part of a limit, refilled and with the routers that
// are live now. The caller holds mu.
func (t *Table) currentShare(e *entry, service string, now time.Time) *share {
	if t.peersAt.IsZero() || now.Sub(t.peersAt) >= membersTTL {
		t.peers, t.peersAt = t.cfg.Peers(now), now
	}
	if e.share.computedAt.Before(t.peersAt) {
		// The parts of a token differ, so that the routers' first requests do not come at once.
		rate, burst := t.rate(e, service, now)
		e.share.setRate(rate, burst, placement.Fraction(e.Server, t.cfg.Self), now)
	}
	e.share.refill(now)
	return &e.share
}

// rate returns the requests a second that this router may send to a limited server: an
// equal part among the holders of the limit, more for those that have more requests. It also
// returns how many requests the router may save up. The caller holds mu.
func (t *Table) rate(e *entry, service string, now time.Time) (perSecond, burst float64) {
	limit := max(e.PerSecond, minRate)
	n := holders(limit)
	if now.Sub(t.startedAt) > t.cfg.ContactTime {
		// Before, this router may not know all peers.
		n = min(n, len(t.peers)+1)
	}
	if placement.Rank(e.Server, t.cfg.Self, t.peers) >= n {
		return 0, 0
	}
	parts := float64(n)
	return min(limit, limit/parts*min(t.cfg.Demand(service, now), maxDemand)), totalBurst(limit) / parts
}
