package quarantine

import (
	"cmp"
	"strings"
	"time"
)

// candidate is a suspect that may explain crashes.
type candidate struct {
	suspect  string
	servers  map[string]bool
	origins  map[string]bool // sessions, or requests without one
	position int             // the largest in a crash
	own      bool            // it is not shared with other sessions
	request  bool            // it is a whole request
	oldest   time.Time
	newest   time.Time
}

// qualifies reports whether there are enough crashes to block the suspect. Whatever takes
// several servers at once takes those that run the same popular request.
func (c *candidate) qualifies() bool {
	return len(c.servers) >= minServers && (c.own || len(c.origins) >= minSessions) && (!c.request || c.newest.Sub(c.oldest) > sameMoment)
}

// explain returns the fewest suspects that explain the crashes: the one with the most
// crashes first, then the one with the most among those that it does not explain, and so
// on. Of two that always occur together, the later one is blocked, since more requests
// share the earlier one. The caller holds mu.
func (t *Table) explain(now time.Time) map[string]Block {
	var blocks map[string]Block
	unexplained := t.crashes.list
	t.reviewAt = time.Time{}
	for len(unexplained) >= minServers && t.crashes.maxCount >= minServers {
		best := t.strongest(unexplained, now)
		if best == nil {
			break
		}
		if blocks == nil {
			blocks = make(map[string]Block)
		}
		blocks[best.suspect] = Block{Suspect: best.suspect, Until: best.newest.Add(blockTime), Crashes: len(best.servers)}
		var rest []knownCrash
		for _, c := range unexplained {
			if !best.servers[c.Server] {
				rest = append(rest, c)
			}
		}
		unexplained = rest
	}
	return blocks
}

// strongest returns the suspect with the most crashes that qualifies, or nil. The caller
// holds mu.
func (t *Table) strongest(crashes []knownCrash, now time.Time) *candidate {
	candidates := make(map[string]*candidate)
	for _, c := range crashes {
		for i, s := range t.suspects(c.Crash) {
			if t.crashes.count(s) < minServers {
				continue
			}
			k := candidates[s]
			if k == nil {
				k = &candidate{suspect: s, servers: make(map[string]bool), origins: make(map[string]bool), oldest: c.At}
				candidates[s] = k
			}
			k.servers[c.Server], k.origins[c.origin()] = true, true
			k.position = max(k.position, i)
			k.own, k.request = k.own || c.owns(s), k.request || s == c.Request
			if c.At.After(k.newest) {
				k.newest = c.At
			}
			if c.At.Before(k.oldest) {
				k.oldest = c.At
			}
		}
	}
	var best *candidate
	for _, k := range candidates {
		if !k.qualifies() || t.survivedLately(k.suspect, now) {
			continue
		}
		if best == nil || k.compare(best) > 0 {
			best = k
		}
	}
	return best
}

// survivedLately reports whether it is too early to block a suspect, and sets when to review
// it. After the start of the router, and after a survival of the suspect, it may have heard
// of the crashes but not yet of the survivals that refute them.
func (t *Table) survivedLately(suspect string, now time.Time) bool {
	at := t.survivals.last(suspect)
	if t.startedAt.After(at) {
		at = t.startedAt
	}
	at = at.Add(t.contactTime)
	if !now.Before(at) {
		return false
	}
	if t.reviewAt.IsZero() || at.Before(t.reviewAt) {
		t.reviewAt = at
	}
	return true
}

func (c *candidate) compare(other *candidate) int {
	return cmp.Or(
		cmp.Compare(len(c.servers), len(other.servers)),
		cmp.Compare(len(c.origins), len(other.origins)),
		cmp.Compare(c.position, other.position),
		strings.Compare(c.suspect, other.suspect),
	)
}
