package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["leaver"] = playLeaver }

const (
	deadlyPath    = "/lookup/deadly"
	crashAfter    = 120 * time.Millisecond
	leaveAfter    = 100 * time.Millisecond
	contactTime   = 3 * time.Second
	serverBack    = 2 * time.Second
	allowedRepeat = 3

	// Clients leave for leaveTime at a time.
	leaveTimes     = 3
	leaveTime      = 5 * time.Second
	leavePause     = 5 * time.Second
	deadlyInterval = 600 * time.Millisecond
)

// playLeaver sends a request that crashes each server that begins to run it, again and again and
// at any router. Its clients leave before the crash. Later than contactMs after the third crash,
// the routers may pass it on three times.
func playLeaver(f *fleet) (held bool, err error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	routes := []map[string]any{route("submit", "/submit/", "non_idempotent", "ledger", 1500, 1), route("lookup", "/lookup/", "idempotent", "ledger", 1500, 2)}
	if err := f.writeConfig(config(1, routes, []map[string]any{service("ledger")})); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var names []string
	start := func(i int, address string) (*process, error) {
		mu.Lock()
		name := fmt.Sprintf("i-ledger-%d-%d", i+1, len(names)+1)
		names = append(names, name)
		mu.Unlock()
		return f.startServer(name, address, "ledger", "--gap", "10ms", "--deadly", deadlyPath, "--crash-after", crashAfter.String())
	}
	stop := make(chan struct{})
	var keepers sync.WaitGroup
	for i := range 4 {
		address := freeAddress()
		server, err := start(i, address)
		if err != nil {
			return false, err
		}
		keepers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-server.done:
				}
				time.Sleep(serverBack)
				next, err := start(i, address)
				if err != nil {
					return
				}
				server = next
			}
		})
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(leaveTimes * (leaveTime + leavePause))
	counts := make(map[string]int)
	var wg sync.WaitGroup
	for c := range 6 { // sound clients
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("c%d-%d", c, n)
				a := send(f.routers[(c+n)%3].front(), http.MethodPost, "/submit/budget", id, "", fmt.Sprintf(`{"budget":%q}`, id), 1500*time.Millisecond)
				mu.Lock()
				counts[fmt.Sprintf("sound bookings with status %d", a.status)]++
				mu.Unlock()
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	for n := range leaveTimes {
		f.sendDeadly(fmt.Sprintf("d%d", n))
		time.Sleep(leavePause)
	}
	wg.Wait()
	close(stop)
	keepers.Wait()
	for outcome, n := range counts {
		f.logf("%s: %d", outcome, n)
	}
	mu.Lock()
	defer mu.Unlock()
	return f.judgeRepeats(names)
}

// sendDeadly sends the deadly request to each router in turn, for leaveTime. Its client leaves, or
// stays if the disruption is not played.
func (f *fleet) sendDeadly(prefix string) {
	for n, end := 0, time.Now().Add(leaveTime); time.Now().Before(end); n++ {
		r := f.routers[n%len(f.routers)]
		id := fmt.Sprintf("%s-%d", prefix, n)
		if !f.trial {
			a := send(r.front(), http.MethodGet, deadlyPath, id, "", "", 1500*time.Millisecond)
			f.logf("deadly request %s at %s: status %d, error %v", id, r.name, a.status, a.err)
		} else if conn, err := net.DialTimeout("tcp", r.front(), time.Second); err == nil {
			_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1500\r\n\r\n", deadlyPath, host, id)
			time.Sleep(leaveAfter)
			_ = conn.Close()
			f.logf("deadly request %s at %s: its client left after %s", id, r.name, leaveAfter)
		}
		time.Sleep(deadlyInterval)
	}
}

// judgeRepeats checks how often the deadly request reached servers later than contactMs after its
// third crash.
func (f *fleet) judgeRepeats(names []string) (held bool, err error) {
	var crashes, arrivals []int64 // Unix milliseconds
	for _, name := range names {
		for line := range strings.Lines(f.copyLog(name)) {
			var at int64
			if _, err := fmt.Sscan(line, &at); err != nil {
				continue
			}
			switch {
			case strings.Contains(line, " crash by "):
				crashes = append(crashes, at)
			case strings.Contains(line, " run ") && strings.Contains(line, deadlyPath):
				arrivals = append(arrivals, at)
			}
		}
	}
	if len(crashes) < 3 {
		return false, fmt.Errorf("only %d crashes", len(crashes))
	}
	third := nth(crashes, 3)
	late := 0
	for _, at := range arrivals {
		if at > third+contactTime.Milliseconds() {
			late++
		}
	}
	f.logf("the request crashed %d servers; later than %s after the third crash it reached servers %d times, %d are allowed", len(crashes), contactTime, late, allowedRepeat)
	return late <= allowedRepeat, nil
}

// nth returns the nth smallest of the times.
func nth(times []int64, n int) int64 {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[n-1]
}
