package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// crashBytes is about how large a crash is in a message. A report of larger ones has fewer.
const crashBytes = 200

// Report returns the news for a message to peers, with at most n crashes. With all, the
// blocks and the crashes behind them are in it, for routers that have started since or
// missed the news.
func (t *Table) Report(n int, all bool, now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Survived: t.survivals.recent(now)}
	evidence, others := t.byEvidence(now)
	evidence = slices.DeleteFunc(evidence, func(c knownCrash) bool { return !all && !c.isNews(now) })
	others = slices.DeleteFunc(others, func(c knownCrash) bool { return !c.isNews(now) })
	// What is not explained yet must not wait until all peers know the blocks.
	for size := 0; len(r.Crashes) < n && size < n*crashBytes && len(evidence)+len(others) > 0; {
		for _, queue := range []*[]knownCrash{&evidence, &others} {
			if len(*queue) > 0 && len(r.Crashes) < n {
				r.Crashes = append(r.Crashes, (*queue)[0].Crash)
				*(*queue)[0].told++
				size += (*queue)[0].size()
				*queue = (*queue)[1:]
			}
		}
	}
	t.addRefutations(&r, n)
	if !all || now.Sub(t.startedAt) < t.contactTime {
		return r
	}
	for _, b := range t.blocks {
		if now.Before(b.Until) && len(r.Blocked) < maxBlocked {
			r.Blocked = append(r.Blocked, b.Suspect)
		}
	}
	return r
}

// addRefutations adds the survivals of the shared parts in a report's crashes, at most n. A
// router that was told the crashes alone would block what all prompts share. Survivals before
// a crash refute earlier ones, but less urgently. The caller holds mu.
func (t *Table) addRefutations(r *Report, n int) {
	for _, refuting := range []bool{true, false} {
		for _, c := range r.Crashes {
			for _, p := range c.Parts {
				last := t.survivals.last(p)
				if !last.IsZero() && (!refuting || last.After(c.At)) && n > 0 && r.Survived[p].IsZero() {
					r.Survived[p] = last
					n--
				}
			}
		}
	}
}

// byEvidence returns the crashes behind the blocks and the other crashes, the most telling
// first. Of those behind the blocks, the ones that suffice to show each come first, and the
// ones that peers were told least: they add up what does not fit in one message. The caller
// holds mu.
func (t *Table) byEvidence(now time.Time) (evidence, others []knownCrash) {
	behind := make(map[crashKey]bool)
	sufficient := 0
	for i := range maxEvidence {
		if i == minServers {
			sufficient = len(evidence)
		}
		for _, b := range t.blocks {
			if i < len(b.evidence) && now.Before(b.Until) && !behind[b.evidence[i].key()] {
				behind[b.evidence[i].key()] = true
				evidence = append(evidence, b.evidence[i])
			}
		}
	}
	for _, part := range [][]knownCrash{evidence[:sufficient], evidence[sufficient:]} {
		slices.SortStableFunc(part, func(a, b knownCrash) int { return cmp.Compare(*a.told, *b.told) })
	}
	for _, c := range t.crashes.list {
		if !behind[c.key()] {
			others = append(others, c)
		}
	}
	t.sortByEvidence(others, now)
	return evidence, others
}

// sortByEvidence sorts crashes by the suspect that most of them share and that has not
// survived lately: the newest one of each such suspect, then the second of each, and so on,
// so that the evidence against one does not crowd out that against another. A crash that
// shares no suspect counts as a third one. The caller holds mu.
func (t *Table) sortByEvidence(crashes []knownCrash, now time.Time) {
	slices.SortStableFunc(crashes, func(a, b knownCrash) int { return b.At.Compare(a.At) })
	type weight struct{ rank, count int }
	weights := make(map[crashKey]weight, len(crashes))
	ranks := make(map[string]int)
	for _, c := range crashes {
		strongest, count := "", 1
		for _, s := range c.all() {
			if n := t.crashes.count(s); n > count && now.Sub(t.survivals.last(s)) > t.contactTime {
				strongest, count = s, n
			}
		}
		if strongest == "" {
			weights[c.key()] = weight{minServers - 1, count}
			continue
		}
		weights[c.key()] = weight{ranks[strongest], count}
		ranks[strongest]++
	}
	slices.SortStableFunc(crashes, func(a, b knownCrash) int {
		v, w := weights[a.key()], weights[b.key()]
		return cmp.Or(cmp.Compare(v.rank, w.rank), cmp.Compare(w.count, v.count))
	})
}
