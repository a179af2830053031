// Package storereader decides which routers read the platform's store for the whole
// fleet. Each call to the store is charged for, and the allowed call rates grow more
// slowly than the fleet, so a few routers read it and send what they read to the
// others.
//
// The load that it answers: an outage of the store, which all routers notice at the same
// time, and its end. While no router gets an answer, the elected readers keep trying and
// the others take turns, so that the fleet's calls stay bounded, and a store that serves
// only some routers is still found by one of them.
//
// Both readers may be lost while the store serves. The others can't tell that from an outage
// before they have called the store themselves, so they do that first.
package storereader

import (
	"math/rand/v2"
	"time"

	"wisteriafield/internal/decision/placement"
)

const (
	// maxReaders is the number of routers that read at the same time, so that changes
	// still arrive when one of them fails.
	maxReaders = 2
	// maxReaderAge is the age of the store's last answer up to which a reading router
	// counts as one that reaches the store. Readers get an answer about every second.
	maxReaderAge = 2500 * time.Millisecond
	// staleAfter is the age of the newest answer to any known router from which others try
	// the store. The primary reader has an answer every 1.3 s and tells it at once, and a
	// change must take effect within two seconds.
	staleAfter = 1400 * time.Millisecond
	// minOutage is the age of the newest answer from which the store counts as unreachable
	// to a router that has not tried it. Entries of live servers expire only in an outage of
	// two heartbeat intervals or more, and lost readers are replaced in less.
	minOutage = 2500 * time.Millisecond
	// fastLinkFraction is the fraction of the fastest link's rate from which a link
	// counts as fast.
	fastLinkFraction = 0.5
	// baseTriesPerSecond and triesPerSecondAndRouter give the rate at which the routers
	// that are not elected try a store that answers nobody. In a small fleet each tries
	// about once a second.
	baseTriesPerSecond      = 8.0
	triesPerSecondAndRouter = 0.02
	// rankKey is the key of the rendezvous order of the readers.
	rankKey = "store reader"
	// spreadFleetSize is the number of routers from which the first tries are spread over a
	// whole interval. In a small fleet they come sooner: they are few, and the answer to one
	// of them ends the outage for all.
	spreadFleetSize = 64
	// firstTries is the number of routers, the readers among them, that try at once, whatever the size of the fleet.
	// Many of them may have been lost together with the readers.
	firstTries = 6
	// minTryInterval is the least time between two tries of a router.
	minTryInterval = 700 * time.Millisecond
)

// Role is what a router does about the store at a moment.
type Role string

// The roles of a router.
const (
	// Primary reads and watches the store for all.
	Primary Role = "Primary"
	// Secondary reads as well, less often, to replace the primary at once.
	Secondary Role = "Secondary"
	// Trial makes one call to a store that answers nobody.
	Trial Role = "Trial"
	// Idle leaves the store to others.
	Idle Role = "Idle"
)

// Router is a candidate for reading the store.
type Router struct {
	Name       string
	ReadsStore bool      // it reports that it reads the store
	Failing    bool      // it reports that its last call of the store failed
	ReachedAt  time.Time // last answer of the store; zero if there was none
	HeardAt    time.Time // last message of the router itself; unused for self
	LinkRate   float64   // rate of its network link, in the same unit for all routers
}

// Decision is the role of a router now.
type Decision struct {
	Role Role
	// Outage means that the store answers no known router: it has not for minOutage, or not
	// for staleAfter and this router's own call failed.
	Outage bool
	// CheapFirst means that a call at a tenth of the price has to show first whether the store
	// answers this router.
	CheapFirst bool
}

// Elector decides the role of one router. It is not safe for concurrent use.
type Elector struct {
	lastAnswer time.Time // of the store to any known router, also to one that was lost since
	outage     bool
	nextTry    time.Time // while no router has a recent answer; zero otherwise
	stale      bool      // no router had a recent answer at the last decision
	tried      bool      // this router called the store since then
	foundEnd   bool      // this router got the first answer after that, and no other reads yet
	random     func() float64
}

// NewElector returns an elector. The random numbers, in [0, 1), spread the tries of the
// fleet over time; nil selects the default source.
func NewElector(random func() float64) *Elector {
	if random == nil {
		random = rand.Float64
	}
	return &Elector{random: random}
}

// Decide returns the role of the router self. The peers are the live ones.
func (e *Elector) Decide(self Router, peers []Router, now time.Time) Decision {
	e.observeOutage(self, peers, now)
	if !anyFresh(self, peers, now) {
		e.stale, e.foundEnd = true, false
		role := e.staleRole(self, peers, now)
		e.tried = e.tried || self.ReadsStore || role != Idle
		return Decision{Role: role, Outage: e.outage}
	}
	selfFresh := now.Sub(self.ReachedAt) < staleAfter
	e.foundEnd = selfFresh && (e.stale || e.foundEnd)
	e.stale, e.tried, e.nextTry = false, false, time.Time{}
	var candidates []Router
	otherReaders := 0
	for _, p := range peers {
		// A peer that doesn't read yet is a candidate too; one that reads and gets
		// no answers is not, so that the next in rank takes its place at once.
		if !p.Failing && (!p.ReadsStore || now.Sub(p.ReachedAt) < maxReaderAge) {
			candidates = append(candidates, p)
		}
		if p.ReadsStore && !p.Failing && now.Sub(p.ReachedAt) < staleAfter {
			otherReaders++
		}
	}
	e.foundEnd = e.foundEnd && otherReaders == 0
	role := electedRole(self, candidates)
	if role == Idle && e.foundEnd {
		role = Primary // the elected ones have no answer yet
	}
	return Decision{Role: role, Outage: e.outage}
}

// TakingTurns reports whether no known router had a recent answer at the last decision, and this
// router tried the store since then, so that it leaves the next try to its turn. The first try
// does not wait for that, since this router may be the only one that reaches the store.
func (e *Elector) TakingTurns() bool { return e.stale && e.tried }

// FirstTryDue reports whether no known router had a recent answer at the last decision, and this
// router has not tried the store since then.
func (e *Elector) FirstTryDue() bool { return e.stale && !e.tried }

// observeOutage decides whether the store answers no known router. An outage lasts until one
// of them has an answer.
func (e *Elector) observeOutage(self Router, peers []Router, now time.Time) {
	e.lastAnswer = later(e.lastAnswer, self.ReachedAt)
	for _, p := range peers {
		e.lastAnswer = later(e.lastAnswer, p.ReachedAt)
	}
	age := now.Sub(e.lastAnswer)
	switch {
	case age < staleAfter:
		e.outage = false
	case age >= minOutage || self.Failing:
		e.outage = true
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// staleRole returns the role while no router has a recent answer. All live peers are
// candidates then, whether they read or not.
func (e *Elector) staleRole(self Router, peers []Router, now time.Time) Role {
	rank := readerRank(self, peers)
	if rank < maxReaders {
		return roles[rank]
	}
	if isolated(peers, now) {
		return Primary
	}
	n := len(peers) + 1
	interval := TryInterval(n)
	if e.nextTry.IsZero() {
		e.nextTry = now
		if rank >= firstTries {
			spread := float64(interval) * min(1, float64(n)/spreadFleetSize)
			e.nextTry = now.Add(time.Duration(e.random() * spread))
		}
	}
	if now.Before(e.nextTry) {
		return Idle
	}
	// Half of the interval is fixed, so that a router does not try twice in a row.
	e.nextTry = now.Add(interval/2 + time.Duration(e.random()*float64(interval)))
	return Trial
}

// TryInterval returns the mean time between two tries of a router in a fleet of n during
// an outage.
func TryInterval(n int) time.Duration {
	rate := baseTriesPerSecond + triesPerSecondAndRouter*float64(n)
	return max(minTryInterval, time.Duration(float64(n)/rate*float64(time.Second)))
}

// isolated reports whether no peer has sent a message for so long that this router may be
// cut off from its peers, but not from the store.
func isolated(peers []Router, now time.Time) bool {
	for _, p := range peers {
		if now.Sub(p.HeardAt) < staleAfter {
			return false
		}
	}
	return true
}

// anyFresh reports whether the store answered any router lately.
func anyFresh(self Router, peers []Router, now time.Time) bool {
	fresh := now.Sub(self.ReachedAt) < staleAfter
	for _, p := range peers {
		fresh = fresh || now.Sub(p.ReachedAt) < staleAfter
	}
	return fresh
}

// roles are those of the readers, by rank.
var roles = [maxReaders]Role{Primary, Secondary}

// electedRole returns the role of self by its rank among the candidates.
func electedRole(self Router, candidates []Router) Role {
	if rank := readerRank(self, candidates); rank < len(roles) {
		return roles[rank]
	}
	return Idle
}

// readerRank returns the rank of self among the candidates. Those on fast links come first,
// since readers send changes to all other routers.
func readerRank(self Router, candidates []Router) int {
	fastest := self.LinkRate
	for _, c := range candidates {
		fastest = max(fastest, c.LinkRate)
	}
	var fast, slow []string
	for _, c := range candidates {
		if c.LinkRate >= fastest*fastLinkFraction {
			fast = append(fast, c.Name)
		} else {
			slow = append(slow, c.Name)
		}
	}
	if self.LinkRate >= fastest*fastLinkFraction {
		return placement.Rank(rankKey, self.Name, fast)
	}
	return len(fast) + placement.Rank(rankKey, self.Name, slow)
}
