package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// candidate is a suspect that may explain crashes.
type candidate struct {
	suspect  string
	crashes  []knownCrash
	servers  map[string]bool
	answered map[string]bool // servers that had begun to answer
	origins  map[string]bool // sessions, or requests without one
	position int             // the largest in a crash
	own      bool            // it is not shared with other sessions
	request  bool            // it is a whole request
	newest   time.Time
	waited   bool // its requests may only have waited
	weight   int
}

// qualification says since when there are enough crashes to block a suspect.
type qualification struct {
	at time.Time
	// waited says that the suspect is shared by requests that may only have waited at servers
	// which were lost for another reason.
	waited bool
	from   time.Time // of its first crash
}

// qualified returns the qualification, or false if there are not enough crashes. Whatever
// takes several servers at once takes those that run the same request, and those where
// requests with the same part wait.
func (c *candidate) qualified() (q qualification, ok bool) {
	slices.SortFunc(c.crashes, func(a, b knownCrash) int { return a.At.Compare(b.At) })
	q.from = c.crashes[0].At
	servers, answered, witnessed := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	origins, answeredOrigins := make(map[string]int), make(map[string]bool)
	repeated := 0 // sessions that crashed more than one server
	var firstWitnessed, lastWitnessed time.Time
	waiting := waitingMoment
	for _, k := range c.crashes {
		servers[k.Server] = true
		if origins[k.origin()]++; origins[k.origin()] == 2 {
			repeated++
		}
		if !k.Unanswered {
			answered[k.Server], answeredOrigins[k.origin()] = true, true
		}
		if k.Abandoned {
			waiting = abandonedMoment
		} else {
			witnessed[k.Server], lastWitnessed = true, k.At
			if firstWitnessed.IsZero() {
				firstWitnessed = k.At
			}
		}
		span := k.At.Sub(q.from)
		switch {
		case c.own && len(witnessed) >= minServers && (!c.request || lastWitnessed.Sub(firstWitnessed) > sameMoment),
			c.own && len(servers) >= minServers && span > abandonedMoment,
			!c.own && len(answered) >= minServers && len(answeredOrigins) >= minSessions:
			return qualification{at: k.At, from: q.from}, true
		case !ok && !c.own && len(servers) >= minServers && (len(origins) >= minWaiting || repeated >= minSessions) && span > waiting:
			q.at, q.waited, ok = k.At, true, true
		}
	}
	return q, ok
}

// weigh sets the weight from the number of servers. What has ever survived, or may only have
// waited, is more often just beside what crashes servers.
func (c *candidate) weigh(survived bool) {
	c.weight = len(c.servers)
	if !survived {
		c.weight += len(c.servers)
	}
	if !c.own && len(c.answered) >= minServers {
		c.weight += len(c.servers)
	}
}

func (c *candidate) compare(other *candidate) int {
	if c.weight == other.weight && c.waited != other.waited {
		if c.waited {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(c.weight, other.weight),
		cmp.Compare(len(c.servers), len(other.servers)),
		cmp.Compare(len(c.origins), len(other.origins)),
		cmp.Compare(c.position, other.position),
		strings.Compare(c.suspect, other.suspect),
	)
}

// contains reports whether the candidate explains all crashes that another one does, and more.
func (c *candidate) contains(other *candidate) bool {
	if len(c.servers) <= len(other.servers) {
		return false
	}
	for s := range other.servers {
		if !c.servers[s] {
			return false
		}
	}
	return true
}
