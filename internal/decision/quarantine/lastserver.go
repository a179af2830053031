package quarantine

import "time"

// SparesLastServer reports whether a request must not be sent to the last usable server of
// its service: it may have crashed others, and has never survived. A server that has
// crashed is not usable, even if the router that asks has not noticed yet.
func (t *Table) SparesLastServer(s Suspects, usable func() []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes, witnessed := t.crashedBy(s, now.Add(-spareTime))
	if crashes < sessionCrashes && (witnessed == 0 || s.Session != "") || !t.survivals.last(s.origin()).IsZero() {
		return false
	}
	crashed := make(map[string]bool)
	for _, c := range t.crashes.list {
		crashed[c.Server] = crashed[c.Server] || now.Sub(c.At) <= spareTime
	}
	left := 0
	for _, server := range usable() {
		if !crashed[server] && !t.explained.has(server) {
			left++
		}
	}
	return left <= 1
}

// crashedBy returns how many servers a session, or a request without one, has crashed since
// a time, as far as is known and not refuted, and how many of them while it waited for their
// answers. The caller holds mu.
func (t *Table) crashedBy(s Suspects, since time.Time) (crashes, witnessed int) {
	own := s.origin()
	if own == "" || t.crashes.count(own) == 0 {
		return 0, 0
	}
	servers := make(map[string]bool) // whether the request waited
	for _, c := range t.crashes.list {
		if c.origin() == own && c.At.After(since) && !t.survivals.last(own).After(c.At) {
			servers[c.Server] = servers[c.Server] || !c.Abandoned
		}
	}
	for _, waited := range servers {
		if waited {
			witnessed++
		}
	}
	return len(servers), witnessed
}
