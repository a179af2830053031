// Package quarantine decides which requests are not sent to backend servers, because a
// part of their prompt crashes every server that begins to answer them. The routers of a
// fleet share the crashes that they saw, so that a part is known everywhere before each of
// them has lost servers to it.
//
// The load that it answers: requests with such a part that arrive at any router, each of
// which would be retried on one server after the other.
package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// minServers is how many servers a part must have crashed to be blocked, and
	// minSessions in how many sessions: one session may crash servers by itself, which
	// says nothing about the parts that it shares with others.
	minServers  = 3
	minSessions = 2
	// blockTime is how long a part is blocked after its last crash. Then requests are let
	// through, and one crash within crashTTL blocks it again.
	blockTime = 5 * time.Minute
	crashTTL  = 15 * time.Minute

	// newsTime is how long news is sent with every message: about eight exchanges in a
	// fleet that relays it from peer to peer. maxNewsAge is how old a crash may be as news.
	newsTime   = 5 * time.Second
	maxNewsAge = 15 * time.Second
	// maxSurvived bounds the parts in a message that are said to have survived.
	maxSurvived = 16
)

// Crash is the loss of a server that had just begun to answer a request.
type Crash struct {
	Server  string   // incarnation
	Session string   // the last part of the prompt, which no other session has
	Parts   []string // the other parts of the prompt, in order
	At      time.Time
}

// Block is a part of prompts that is not sent to servers.
type Block struct {
	Part    string
	Until   time.Time
	Crashes int // servers that the part crashed
}

// Report is what a router tells its peers: crashes, and when parts in them last survived.
type Report struct {
	Crashes  []Crash
	Survived map[string]time.Time
}

// Table is one router's view of the crashes of the fleet.
type Table struct {
	startedAt   time.Time
	contactTime time.Duration

	mu        sync.Mutex
	crashes   crashes
	survivals survivals
	blocks    map[string]Block
	// reviewAt is when a part that survived lately may have to be blocked; zero for never.
	reviewAt time.Time
	// forgottenAt is the time of the newest crash that was forgotten for lack of space.
	forgottenAt time.Time
}

// New returns an empty table of a router that starts at the given time. Routers hear each
// other's news within the contact time.
func New(now time.Time, contactTime time.Duration) *Table {
	return &Table{startedAt: now, contactTime: contactTime}
}

// RecordCrash records a crash that this router saw, and reports whether the blocked parts
// have changed.
func (t *Table) RecordCrash(c Crash, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.add(c, now) && t.review(now)
}

// RecordSurvival records that a server got well into an answer to a request with the given
// parts, and reports whether the blocked parts have changed.
func (t *Table) RecordSurvival(parts []string, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	refutes := false
	for _, p := range parts {
		refutes = t.recordSurvival(p, now, now) || refutes
	}
	return refutes && t.review(now)
}

// recordSurvival records when a part survived, and reports whether that refutes a crash.
// The caller holds mu.
func (t *Table) recordSurvival(part string, at, now time.Time) (refutes bool) {
	suspected := t.suspected(part)
	if !t.survivals.record(part, at) || !suspected {
		return false
	}
	t.announce(part, t.crashes.shared(part), now)
	return true
}

// Blocked returns the block of one of the given parts, if one is blocked.
func (t *Table) Blocked(parts []string, now time.Time) (Block, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reviewAt.IsZero() && !now.Before(t.reviewAt) {
		t.review(now)
	}
	for _, p := range parts {
		if b, ok := t.blocks[p]; ok && now.Before(b.Until) {
			return b, true
		}
	}
	return Block{}, false
}

// Blocks returns the blocked parts, sorted by ID.
func (t *Table) Blocks(now time.Time) []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	var blocks []Block
	for _, b := range t.blocks {
		if now.Before(b.Until) {
			blocks = append(blocks, b)
		}
	}
	slices.SortFunc(blocks, func(a, b Block) int { return strings.Compare(a.Part, b.Part) })
	return blocks
}

// Report returns the news for a message to peers, with at most n crashes, the strongest
// evidence first. With all, the crashes behind the current blocks are among them, for
// routers that have started since or missed the news.
func (t *Table) Report(n int, all bool, now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var crashes []knownCrash
	for _, c := range t.crashes.list {
		if c.isNews(now) || all && t.explained(c.Crash, now) {
			crashes = append(crashes, c)
		}
	}
	t.sortByEvidence(crashes, now)
	r := Report{Survived: t.survivals.recent(now)}
	for _, c := range crashes[:min(len(crashes), n)] {
		r.Crashes = append(r.Crashes, c.Crash)
	}
	return r
}

// Merge records what a peer reports, and reports whether the blocked parts have changed.
func (t *Table) Merge(r Report, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for p, at := range r.Survived {
		if !at.After(now) {
			news = t.recordSurvival(p, at, now) || news
		}
	}
	for _, c := range r.Crashes {
		news = t.add(c, now) || news
	}
	return news && t.review(now)
}

// add records a crash unless it is known, malformed or refuted. The caller holds mu.
func (t *Table) add(c Crash, now time.Time) (added bool) {
	if t.crashes.has(c) || !c.valid(now) {
		return false
	}
	c = c.bounded()
	for _, p := range c.allParts() {
		if t.survivals.last(p).After(c.At) {
			t.announce(p, p != c.Session, now)
		}
	}
	if !t.hasSuspect(c) {
		return false
	}
	if !c.At.After(t.forgottenAt) && !t.crashes.related(c) {
		return false
	}
	t.crashes.add(c, now)
	if len(t.crashes.list) > maxCrashes {
		t.forgetWeakest(now)
	}
	return true
}

// forgetWeakest removes a quarter of the crashes, those with the least evidence. Peers may
// still tell them, so crashes as old as these are not recorded again without other
// evidence against their parts. The caller holds mu.
func (t *Table) forgetWeakest(now time.Time) {
	t.sortByEvidence(t.crashes.list, now)
	kept := maxCrashes - maxCrashes/4
	for _, c := range t.crashes.list[kept:] {
		if c.At.After(t.forgottenAt) {
			t.forgottenAt = c.At
		}
	}
	t.crashes.set(slices.Clone(t.crashes.list[:kept]))
}

// review removes crashes that are too old or refuted, and decides anew which parts are
// blocked. It reports whether they have changed. The caller holds mu.
func (t *Table) review(now time.Time) (changed bool) {
	stale := func(c knownCrash) bool { return now.Sub(c.At) > crashTTL || !t.hasSuspect(c.Crash) }
	if slices.ContainsFunc(t.crashes.list, stale) {
		t.crashes.set(slices.DeleteFunc(t.crashes.list, stale))
	}
	old := t.blocks
	t.blocks = t.explain(now)
	if len(old) != len(t.blocks) {
		return true
	}
	for p := range t.blocks {
		if _, ok := old[p]; !ok {
			return true
		}
	}
	return false
}

// announce makes the survival of a part news for peers. A shared part in a single crash
// matters less, and a session in a single crash does not. The caller holds mu.
func (t *Table) announce(part string, shared bool, now time.Time) {
	switch {
	case t.crashes.count(part) >= minSessions:
		t.survivals.announce(part, maxSurvived, now)
	case shared:
		t.survivals.announce(part, maxSurvived/2, now)
	}
}

// suspects returns the parts that may have caused a crash: those that have not survived
// since. The caller holds mu.
func (t *Table) suspects(c Crash) []string {
	var parts []string
	for _, p := range c.allParts() {
		if !t.survivals.last(p).After(c.At) {
			parts = append(parts, p)
		}
	}
	return parts
}

// hasSuspect reports whether a crash is not refuted. The caller holds mu.
func (t *Table) hasSuspect(c Crash) bool {
	return slices.ContainsFunc(c.allParts(), func(p string) bool { return !t.survivals.last(p).After(c.At) })
}

// suspected reports whether a part may have caused a known crash. The caller holds mu.
func (t *Table) suspected(part string) bool {
	newest, ok := t.crashes.newest(part)
	return ok && !t.survivals.last(part).After(newest)
}

// explained reports whether a crash has a part that is blocked. The caller holds mu.
func (t *Table) explained(c Crash, now time.Time) bool {
	for _, p := range t.suspects(c) {
		if b, ok := t.blocks[p]; ok && now.Before(b.Until) {
			return true
		}
	}
	return false
}

// sortByEvidence sorts crashes by how many others share a part that has not survived
// lately, and then by age, the newest first. The caller holds mu.
func (t *Table) sortByEvidence(crashes []knownCrash, now time.Time) {
	evidence := make(map[crashKey]int, len(crashes))
	for _, c := range crashes {
		for _, p := range c.allParts() {
			if now.Sub(t.survivals.last(p)) > t.contactTime {
				evidence[c.key()] = max(evidence[c.key()], t.crashes.count(p))
			}
		}
	}
	slices.SortStableFunc(crashes, func(a, b knownCrash) int {
		if d := evidence[b.key()] - evidence[a.key()]; d != 0 {
			return d
		}
		return b.At.Compare(a.At)
	})
}
