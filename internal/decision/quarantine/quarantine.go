// Package quarantine decides which requests are not sent to backend servers, because they,
// or a part of their prompt, crash every server that begins to run them. The routers of a
// fleet share the crashes that they saw, so that a suspect is known everywhere before each
// of them has lost servers to it.
//
// The load that it answers: such requests that arrive at any router, each of which would be
// retried on one server after the other.
package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// minServers is how many servers a suspect must have crashed to be blocked, and
	// minSessions in how many sessions: one session may crash servers by itself, which
	// says nothing about the parts that it shares with others.
	minServers  = 3
	minSessions = 2
	// minWaiting is in how many sessions a shared part must have crashed servers that had not
	// begun to answer, unless minSessions crashed several each: a session that waits may move
	// from one lost server to the next.
	minWaiting = 3
	// sameMoment is how far apart the crashes of servers are that a common cause, such as a
	// power cut, takes at once.
	sameMoment = 50 * time.Millisecond
	// waitingMoment is the same for servers where requests waited, whose losses each router
	// notices at a time of its own.
	waitingMoment = 300 * time.Millisecond
	// abandonedMoment is the same for servers that were found to be gone when nobody waited for
	// their answers: it is longer than most times between two checks.
	abandonedMoment = time.Second
	// urgentCrashes is how many servers a request must have crashed for peers to hear of it
	// at once.
	urgentCrashes = 2
	// spareTime is how long after a crash under a request the last usable server of its
	// service is spared. Servers are back after some seconds.
	spareTime = 10 * time.Second
	// sessionCrashes is how many servers a session must have crashed for that, or a request whose
	// callers had left. A stream that lost one server, for whatever reason, must not pause.
	sessionCrashes = 2
	// blockTime is how long a suspect is blocked after its last crash. Then requests are let
	// through, and one crash within crashTTL blocks it again.
	blockTime = 5 * time.Minute
	crashTTL  = 15 * time.Minute
	// maxEvidence bounds the crashes that are kept for a block, and maxSimilarEvidence those
	// that agree in the next suspect too.
	maxEvidence        = 8
	maxSimilarEvidence = 4

	// newsTime is how long news is sent with every message: about eight exchanges in a
	// fleet that relays it from peer to peer. maxNewsAge is how old a crash may be as news.
	newsTime   = 5 * time.Second
	maxNewsAge = 15 * time.Second
	// maxSurvived bounds the suspects in a message that are said to have survived, and
	// maxBlocked those that are said to be blocked.
	maxSurvived = 16
	maxBlocked  = 16
)

// Crash is the loss of a server that had just begun to run a request, or had not begun yet.
type Crash struct {
	Suspects
	Server string // incarnation
	At     time.Time
	// Unanswered says that the server had sent nothing: the request may have waited there.
	Unanswered bool
	// Abandoned says that this router had ended the attempt before the server was lost. At is
	// the earliest possible time of the crash then, if the time is not known.
	Abandoned bool
}

// moment is how far apart crashes may be that a common cause takes at once. own says that
// the suspect is not shared with other sessions.
func (c *Crash) moment(own bool) time.Duration {
	switch {
	case c.Abandoned:
		return abandonedMoment
	case c.Unanswered && !own:
		return waitingMoment
	default:
		return sameMoment
	}
}

// Block keeps the requests with a suspect from servers.
type Block struct {
	Suspect string
	Until   time.Time
	Crashes int // servers that it is known to have crashed, of which not all are kept
}

// Report is what a router tells its peers: crashes, when suspects last survived, and which
// ones it blocks.
type Report struct {
	Crashes  []Crash
	Survived map[string]time.Time
	Blocked  []string
}

// Change is what a router has learned.
type Change struct {
	Blocks    bool // other suspects are blocked now
	Suspected bool // a request has crashed urgentCrashes servers
}

// Any reports whether peers should know at once.
func (c Change) Any() bool { return c.Blocks || c.Suspected }

// Table is one router's view of the crashes of the fleet.
type Table struct {
	startedAt   time.Time
	contactTime time.Duration

	mu        sync.Mutex
	crashes   crashes
	survivals survivals
	blocks    []explanation
	// qualified holds since when there are enough crashes to block a suspect.
	qualified map[string]qualification
	// confirmed are suspects that peers blocked when this router had just started.
	confirmed map[string]bool
	// explained are servers whose crashes are explained by a block and not kept.
	explained recentSet
	// reviewAt is when a suspect that survived lately may have to be blocked; zero for never.
	reviewAt time.Time
	// forgottenAt is the time of the newest crash that was forgotten for lack of space.
	forgottenAt time.Time
}

// New returns an empty table of a router that starts at the given time. Routers hear each
// other's news within the contact time.
func New(now time.Time, contactTime time.Duration) *Table {
	return &Table{startedAt: now, contactTime: contactTime}
}

// RecordCrash records a crash that this router saw.
func (t *Table) RecordCrash(c Crash, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	added, suspected := t.add(c, now)
	return Change{Blocks: added && t.review(now), Suspected: suspected}
}

// RecordCrashes records the crashes of one server, of which at most one request is the cause.
func (t *Table) RecordCrashes(crashes []Crash, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var change Change
	news := false
	for _, c := range crashes {
		added, suspected := t.add(c, now)
		news, change.Suspected = added || news, suspected || change.Suspected
	}
	change.Blocks = news && t.review(now)
	return change
}

// RecordSurvival records that a server got well into an answer to a request with the given
// suspects.
func (t *Table) RecordSurvival(s Suspects, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	refutes := false
	for _, suspect := range s.all() {
		refutes = t.recordSurvival(suspect, now, now) || refutes
	}
	return Change{Blocks: refutes && t.review(now)}
}

// recordSurvival records when a suspect survived, and reports whether that refutes a crash.
// The caller holds mu.
func (t *Table) recordSurvival(suspect string, at, now time.Time) (refutes bool) {
	suspected, repeated := t.suspected(suspect), !t.survivals.last(suspect).IsZero()
	if !t.survivals.record(suspect, at) || !suspected {
		return false
	}
	limit := 0
	if repeated || t.crashes.shared(suspect) {
		limit = maxSurvived / 2
	}
	t.announce(suspect, limit, now)
	return true
}

// Blocked returns the block of one of the given suspects, if one is blocked.
func (t *Table) Blocked(s Suspects, now time.Time) (Block, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reviewIfDue(now)
	if len(t.blocks) == 0 {
		return Block{}, false
	}
	for _, suspect := range s.all() {
		if b, ok := t.block(suspect, now); ok {
			return b, true
		}
	}
	return Block{}, false
}

// block returns the block of a suspect. The caller holds mu.
func (t *Table) block(suspect string, now time.Time) (Block, bool) {
	for i := range t.blocks {
		if b := t.blocks[i].Block; b.Suspect == suspect && now.Before(b.Until) {
			return b, true
		}
	}
	return Block{}, false
}

// Blocks returns the blocks, sorted by their suspects.
func (t *Table) Blocks(now time.Time) []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reviewIfDue(now)
	var blocks []Block
	for _, b := range t.blocks {
		if now.Before(b.Until) {
			blocks = append(blocks, b.Block)
		}
	}
	slices.SortFunc(blocks, func(a, b Block) int { return strings.Compare(a.Suspect, b.Suspect) })
	return blocks
}

// Merge records what a peer reports.
func (t *Table) Merge(r Report, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contradict(r.Blocked, now)
	news := t.confirm(r.Blocked, now)
	var change Change
	for s, at := range r.Survived {
		if !at.After(now) {
			news = t.recordSurvival(s, at, now) || news
		}
	}
	for _, c := range r.Crashes {
		added, suspected := t.add(c, now)
		news, change.Suspected = added || news, suspected || change.Suspected
	}
	change.Blocks = news && t.review(now)
	return change
}

// contradict makes the survivals news that a peer does not know of, as it blocks what
// survived. It may refuse all requests that could refute the block. The caller holds mu.
func (t *Table) contradict(blocked []string, now time.Time) {
	for _, s := range blocked {
		newest, _ := t.crashes.newest(s)
		if last := t.survivals.last(s); !last.IsZero() && last.After(newest) {
			t.survivals.announce(s, maxSurvived, now)
		}
	}
}

// confirm records the suspects that a peer blocks, while this router may not have heard yet
// of what refutes them. The caller holds mu.
func (t *Table) confirm(blocked []string, now time.Time) (news bool) {
	if now.Sub(t.startedAt) >= t.contactTime {
		return false
	}
	for _, s := range blocked {
		if len(s) > maxIDBytes || t.confirmed[s] || len(t.confirmed) >= maxCrashes {
			continue
		}
		if t.confirmed == nil {
			t.confirmed = make(map[string]bool)
		}
		t.confirmed[s], news = true, true
	}
	return news
}

// announce makes the survival of a suspect news for peers. In a single crash it matters less,
// and only if the suspect comes again: peers add up crashes between which it survived here.
// It is news then if there is less other news than the limit. The caller holds mu.
func (t *Table) announce(suspect string, limit int, now time.Time) {
	if t.crashes.count(suspect) >= minSessions {
		limit = maxSurvived
	}
	t.survivals.announce(suspect, limit, now)
}
