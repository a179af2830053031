package edgesoak

import (
	"bytes"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashesBeforeBlock is how many servers a request may crash before the fleet has to
	// know it, maxLateArrivals how often it may reach servers later.
	crashesBeforeBlock = 3
	maxLateArrivals    = 3
)

// deadlyAttempt is a deadly request of a caller.
type deadlyAttempt struct {
	key    string
	router *router
}

// deadlyLog is what callers and stand-in servers recorded about deadly requests.
type deadlyLog struct {
	sent map[string]deadlyAttempt // by attempt ID

	mu       sync.Mutex
	offsets  map[*backend]int // how far the logs of the servers were read
	arrivals []arrival
	crashes  []arrival
}

// arrival is a line about a deadly request in the log of a server.
type arrival struct {
	id     string // of the attempt
	server *backend
	at     time.Time
}

// readServerLogs reads what the servers have logged since the last call.
func (s *soak) readServerLogs() {
	d := &s.deadly
	if d.offsets == nil {
		d.offsets = make(map[*backend]int)
	}
	for _, b := range s.backends {
		text, err := readFrom(b.logPath, d.offsets[b])
		if err != nil {
			s.reportProblem("log of %s: %v", b.name, err)
			continue
		}
		text = text[:bytes.LastIndexByte(text, '\n')+1]
		d.offsets[b] += len(text)
		for line := range strings.Lines(string(text)) {
			fields := strings.Fields(line)
			if len(fields) != 4 {
				continue
			}
			at, _ := strconv.ParseInt(fields[3], 10, 64)
			switch a := (arrival{fields[2], b, time.UnixMilli(at)}); fields[0] {
			case "deadly":
				d.arrivals = append(d.arrivals, a)
			case "crash":
				d.crashes = append(d.crashes, a)
			}
		}
	}
}

func readFrom(path string, offset int) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	text := make([]byte, max(info.Size()-int64(offset), 0))
	n, err := file.ReadAt(text, int64(offset))
	if n == len(text) {
		err = nil
	}
	return text[:n], err
}

// crashedSince reports whether a deadly request has crashed a server since a moment.
func (s *soak) crashedSince(since time.Time) bool {
	s.deadly.mu.Lock()
	defer s.deadly.mu.Unlock()
	s.readServerLogs()
	return slices.ContainsFunc(s.deadly.crashes, func(c arrival) bool { return c.at.After(since) })
}

// inTouch reports whether no fault had disturbed a router or the store for the contact time.
func (s *soak) inTouch(r *router, at time.Time) bool {
	return s.undisturbed(r, at.Add(-disturbanceTimeout), at)
}

// undisturbed reports whether no fault disturbed a router or the store in a time.
func (s *soak) undisturbed(r *router, from, to time.Time) bool {
	return !r.faults.within(from, to) && !s.storeFaults.within(from, to)
}

// checkDeadly checks that a request which has crashed three servers reaches few others once
// the routers had the time to hear of it.
func (s *soak) checkDeadly() {
	s.deadly.mu.Lock()
	defer s.deadly.mu.Unlock()
	s.readServerLogs()
	byTime := func(a, b arrival) int { return a.at.Compare(b.at) }
	slices.SortFunc(s.deadly.crashes, byTime)
	slices.SortFunc(s.deadly.arrivals, byTime)
	s.counts["servers crashed by deadly requests"] = len(s.deadly.crashes)
	crashes := make(map[string][]arrival) // by key of the request
	for _, c := range s.deadly.crashes {
		key := s.deadly.sent[c.id].key
		crashes[key] = append(crashes[key], c)
	}
	late := make(map[string][]arrival)
	for _, a := range s.deadly.arrivals {
		sent, ok := s.deadly.sent[a.id]
		if !ok {
			s.reportProblem("%s got the deadly request %s, which no caller sent", a.server.name, a.id)
			continue
		}
		s.counts["deadly requests that reached servers"]++
		before := crashes[sent.key]
		if len(before) < crashesBeforeBlock || a.at.Sub(before[crashesBeforeBlock-1].at) <= disturbanceTimeout {
			continue
		}
		s.counts["deadly requests that reached servers late"]++
		if s.inTouch(sent.router, a.at) && !a.server.delays.within(a.at.Add(-disturbanceTimeout), a.at) {
			late[sent.key] = append(late[sent.key], a)
		}
	}
	for key, arrivals := range late {
		s.counts["deadly requests that routers in touch sent late"] += len(arrivals)
		if len(arrivals) > maxLateArrivals {
			first, last := arrivals[0], arrivals[len(arrivals)-1]
			s.reportProblem("request %s reached servers %d times later than %s after its third crash at %s: first attempt %s by %s at %s, last %s by %s at %s; %d crashes in all",
				key, len(arrivals), disturbanceTimeout, crashes[key][crashesBeforeBlock-1].at.Format("15:04:05.000"),
				first.id, s.deadly.sent[first.id].router.name, first.at.Format("15:04:05.000"),
				last.id, s.deadly.sent[last.id].router.name, last.at.Format("15:04:05.000"), len(crashes[key]))
		}
	}
}
