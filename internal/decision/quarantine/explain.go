package quarantine

import (
	"slices"
	"time"
)

// qualify returns the qualification of a candidate. The crashes that showed it first may have
// been left out as evidence. What has ever survived is not blamed for servers where it may have waited:
// while all servers are lost nothing refutes that. The caller holds mu.
func (t *Table) qualify(c *candidate) (q qualification, ok bool) {
	if len(c.servers) < minServers {
		return q, false
	}
	q, ok = c.qualified()
	last := t.survivals.last(c.suspect)
	first, known := t.qualified[c.suspect]
	valid := known && !last.After(first.from) && c.newest.Sub(first.at) <= crashTTL
	if valid && (!ok || first.at.Before(q.at)) {
		first.waited = first.waited && (!ok || q.waited)
		q, ok = first, true
	}
	return q, ok && (!q.waited || last.IsZero())
}

// explanation is a block with the crashes that it explains.
type explanation struct {
	Block
	evidence []knownCrash // one of each server
}

// explain returns the fewest suspects that explain the crashes: the one with the most
// crashes first, then the one with the most among those that it does not explain, and so
// on. Of two that always occur together, the later one is blocked, since more requests
// share the earlier one. The caller holds mu.
func (t *Table) explain(now time.Time) []explanation {
	var found []explanation
	unexplained := t.crashes.list
	t.reviewAt = time.Time{}
	qualified := make(map[string]qualification)
	for len(unexplained) >= minServers && t.crashes.maxCount >= minServers {
		best := t.strongest(unexplained, qualified, now)
		if best == nil {
			break
		}
		e := explanation{Block: Block{Suspect: best.suspect, Until: best.newest.Add(blockTime), Crashes: len(best.servers)}}
		index := make(map[string]int, len(best.servers)) // in the evidence, by server
		var rest []knownCrash
		for _, c := range unexplained {
			if !best.servers[c.Server] {
				rest = append(rest, c)
				continue
			}
			if !slices.Contains(t.suspects(c.Crash), best.suspect) {
				continue
			}
			if i, ok := index[c.Server]; !ok {
				index[c.Server] = len(e.evidence)
				e.evidence = append(e.evidence, c)
			} else if e.evidence[i].Unanswered && !c.Unanswered {
				e.evidence[i] = c
			}
		}
		found = append(found, e)
		unexplained = rest
	}
	t.qualified = qualified
	return found
}

// strongest returns the suspect with the most crashes that qualifies, or nil. It adds the
// qualified ones to a map. The caller holds mu.
func (t *Table) strongest(crashes []knownCrash, qualified map[string]qualification, now time.Time) *candidate {
	candidates := make(map[string]*candidate)
	for _, c := range crashes {
		for i, s := range t.suspects(c.Crash) {
			if t.crashes.count(s) < minServers {
				continue
			}
			k := candidates[s]
			if k == nil {
				k = &candidate{suspect: s, servers: make(map[string]bool), answered: make(map[string]bool), origins: make(map[string]bool)}
				candidates[s] = k
			}
			k.crashes = append(k.crashes, c)
			k.servers[c.Server], k.origins[c.origin()] = true, true
			if !c.Unanswered {
				k.answered[c.Server] = true
			}
			k.position = max(k.position, i)
			k.own, k.request = k.own || c.owns(s), k.request || s == c.Request
			if c.At.After(k.newest) {
				k.newest = c.At
			}
		}
	}
	var ready []*candidate
	for _, k := range candidates {
		q, ok := t.qualify(k)
		if !ok {
			continue
		}
		qualified[k.suspect] = q
		k.waited = q.waited
		k.weigh(!t.survivals.last(k.suspect).IsZero())
		if !t.tooEarly(k.suspect, q, now) {
			ready = append(ready, k)
		}
	}
	var best *candidate
	for _, k := range ready {
		explainsLess := slices.ContainsFunc(ready, func(other *candidate) bool { return other.contains(k) })
		if !explainsLess && (best == nil || t.prefers(k, best, now)) {
			best = k
		}
	}
	return best
}

// prefers reports whether k is blocked before another candidate. Evidence is kept of what is
// blocked already, but not of all of its crashes. The caller holds mu.
func (t *Table) prefers(k, other *candidate, now time.Time) bool {
	_, blocked := t.block(k.suspect, now)
	if _, otherBlocked := t.block(other.suspect, now); blocked != otherBlocked {
		return blocked
	}
	return k.compare(other) > 0
}

// tooEarly reports whether it is too early to block a suspect, and sets when to review it.
// After the start of the router, if the suspect has ever survived, and if requests with it
// may only have waited, it may have heard of the crashes but not yet of the survivals that
// refute them. A peer that blocks the suspect has heard of them.
func (t *Table) tooEarly(suspect string, q qualification, now time.Time) bool {
	at := t.survivals.last(suspect)
	if !at.IsZero() && q.at.After(at) {
		at = q.at
	}
	at = at.Add(t.contactTime)
	if q.waited && !t.confirmed[suspect] { // it has never survived
		at = q.at.Add(t.contactTime * 2 / 3) // most peers have heard by then
	}
	if started := t.startedAt.Add(t.contactTime); started.After(at) && !t.confirmed[suspect] {
		at = started
	}
	if !now.Before(at) {
		return false
	}
	if t.reviewAt.IsZero() || at.Before(t.reviewAt) {
		t.reviewAt = at
	}
	return true
}

// keepEvidence reduces the evidence of a block to what shows it, the most telling first, and
// returns the servers whose crashes are left out. Crashes that agree in the suspect
// that follows the blocked one would show that one as well, so the others go first. Those of
// one moment may not show its block without others.
func (e *explanation) keepEvidence() (dropped []string) {
	slices.SortStableFunc(e.evidence, func(a, b knownCrash) int {
		switch {
		case a.Unanswered == b.Unanswered || a.owns(e.Suspect):
			return b.At.Compare(a.At)
		case a.Unanswered:
			return 1
		}
		return -1
	})
	rank := make(map[string]int, len(e.evidence)) // of a server, among the crashes with the same next suspect
	perNext := make(map[string]int)
	kept := e.evidence[:0]
	var moment time.Time // of the newest crash in it
	inMoment, origins := 0, make(map[string]bool)
	for _, c := range e.evidence {
		own := c.owns(e.Suspect)
		if moment.Sub(c.At).Abs() > c.moment(own) {
			moment, inMoment = c.At, 0
		}
		inMoment++
		next := c.following(e.Suspect)
		atOnce := (c.Request == e.Suspect || c.Unanswered && !own || c.Abandoned) && inMoment >= minServers
		reserved := max(minWaiting-len(origins), 0) // for other sessions
		full := len(kept) >= maxEvidence-reserved || perNext[next] >= maxSimilarEvidence || atOnce
		if another := !origins[c.origin()] && len(origins) < minWaiting; full && !another {
			dropped = append(dropped, c.Server)
			continue
		}
		rank[c.Server] = perNext[next]
		perNext[next]++
		origins[c.origin()] = true
		kept = append(kept, c)
	}
	e.evidence = kept
	slices.SortStableFunc(e.evidence, func(a, b knownCrash) int { return rank[a.Server] - rank[b.Server] })
	return dropped
}

// following returns the suspect of a crash that follows the given one, or an empty string.
func (c *Crash) following(suspect string) string {
	all := c.all()
	if i := slices.Index(all, suspect); i >= 0 && i+1 < len(all) {
		return all[i+1]
	}
	return ""
}
