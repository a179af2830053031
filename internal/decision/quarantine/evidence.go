package quarantine

import (
	"slices"
	"time"
)

// add records a crash unless it is known, malformed, refuted or explained. It also reports
// whether peers should hear of its request at once. The caller holds mu.
func (t *Table) add(c Crash, now time.Time) (added, suspected bool) {
	if t.crashes.has(c) || !c.valid(now) || t.explained.has(c.Server) {
		return false, false
	}
	c.Suspects = c.Suspects.bounded()
	for _, s := range c.all() {
		if t.survivals.last(s).After(c.At) {
			limit := maxSurvived / 2
			if s == c.Session {
				limit = maxSurvived / 4 // most sessions don't come again
			}
			t.announce(s, limit, now)
		}
	}
	if !t.hasSuspect(c) {
		return false, false
	}
	if !c.At.After(t.forgottenAt) && !t.crashes.related(c) {
		return false, false
	}
	t.crashes.add(c, now)
	if len(t.crashes.list) > maxCrashes {
		t.forgetWeakest(now)
	}
	crashes, _ := t.crashedBy(c.Suspects, time.Time{})
	return true, crashes == urgentCrashes
}

// forgetWeakest removes a quarter of the crashes, those with the least evidence. Peers may
// still tell them, so crashes as old as these are not recorded again without other
// evidence against their suspects. The caller holds mu.
func (t *Table) forgetWeakest(now time.Time) {
	evidence, others := t.byEvidence(now)
	list := append(evidence, others...)
	kept := maxCrashes - maxCrashes/4
	for _, c := range list[kept:] {
		if c.At.After(t.forgottenAt) {
			t.forgottenAt = c.At
		}
	}
	t.crashes.set(list[:kept])
}

// review removes crashes that are too old, refuted or not needed any more, and decides anew
// which suspects are blocked. It reports whether they have changed. The caller holds mu.
func (t *Table) review(now time.Time) (changed bool) {
	t.remove(func(c knownCrash) bool { return now.Sub(c.At) > crashTTL || !t.hasSuspect(c.Crash) })
	old := t.blocks
	t.blocks = t.explain(now)
	for i := range t.blocks {
		for _, s := range t.blocks[i].keepEvidence() {
			t.explained.add(s)
		}
	}
	t.remove(func(c knownCrash) bool { return t.explained.has(c.Server) })
	return !slices.Equal(sortedSuspects(old), sortedSuspects(t.blocks))
}

// reviewIfDue reviews the blocks if one had to wait. The caller holds mu.
func (t *Table) reviewIfDue(now time.Time) {
	if !t.reviewAt.IsZero() && !now.Before(t.reviewAt) {
		t.review(now)
	}
}

func sortedSuspects(blocks []explanation) []string {
	suspects := make([]string, len(blocks))
	for i, b := range blocks {
		suspects[i] = b.Suspect
	}
	slices.Sort(suspects)
	return suspects
}

// remove removes crashes. The caller holds mu.
func (t *Table) remove(obsolete func(knownCrash) bool) {
	if slices.ContainsFunc(t.crashes.list, obsolete) {
		t.crashes.set(slices.DeleteFunc(t.crashes.list, obsolete))
	}
}

// suspects returns what may have caused a crash: what has not survived since. The caller
// holds mu.
func (t *Table) suspects(c Crash) []string {
	return slices.DeleteFunc(c.all(), func(s string) bool { return t.survivals.last(s).After(c.At) })
}

// hasSuspect reports whether a crash is not refuted. The caller holds mu.
func (t *Table) hasSuspect(c Crash) bool {
	possible := func(s string) bool { return s != "" && !t.survivals.last(s).After(c.At) }
	return possible(c.Request) || possible(c.Session) || slices.ContainsFunc(c.Parts, possible)
}

// suspected reports whether a suspect may have caused a known crash. The caller holds mu.
func (t *Table) suspected(suspect string) bool {
	newest, ok := t.crashes.newest(suspect)
	return ok && !t.survivals.last(suspect).After(newest)
}
