package edgesoak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"wisteriafield/internal/trial/workers"
)

const (
	// configTime is when a change has to be in force: configMs of the users' sites.
	configTime = 2 * time.Second
	// drainTime is when a leaving server gets nothing new: drainMs of the users'
	// sites.
	drainTime = 2 * time.Second
)

// watchVersions returns a step that checks that no process goes back.
func (s *soak) watchVersions() workers.Step {
	type process struct {
		name string
		pid  int
	}
	newest := make(map[process]int)
	return func(ctx context.Context, _ *rand.Rand) {
		for _, r := range s.routers {
			at := process{r.name, r.PID()}
			d, err := s.dump(r)
			if err == nil && d.ConfigVersion < newest[at] && at.pid == r.PID() {
				s.problem("%s fell from version %d to %d", at.name, newest[at], d.ConfigVersion)
			}
			newest[at] = max(newest[at], d.ConfigVersion)
			// What a process has shown to callers stays, too.
			if v := newest[at]; v > 1 && at.pid == r.PID() && s.get(ctx, r, v) == http.StatusNotFound && at.pid == r.PID() {
				s.problem("%s answers 404 for the route of version %d, which it had", at.name, v)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkRecovery checks that everything is served again after the last fault.
func (s *soak) checkRecovery(ctx context.Context) {
	end := time.Now().Add(healed)
	for _, r := range s.routers {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for {
			after := 0
			ok := s.plain(ctx, client, r, http.MethodPost, "/book/x") == http.StatusOK && s.get(ctx, r, s.version) == http.StatusOK
			if ok && s.watch(ctx, r, "recovery", 10, &after) {
				break
			}
			if time.Now().After(end) {
				s.problem("%s does not serve %s after the last fault", r.name, healed)
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// checkRuns compares what servers ran with what callers were told, and when leaving
// servers got work.
func (s *soak) checkRuns() {
	runs := make(map[string]int)
	for _, b := range s.backends {
		leaving := make(map[string]int64) // by incarnation, Unix milliseconds
		file, err := os.Open(b.log)
		if err != nil {
			s.problem("log of %s: %v", b.name, err)
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			f := strings.Fields(lines.Text())
			if len(f) != 4 {
				continue
			}
			at, _ := strconv.ParseInt(f[3], 10, 64)
			switch f[0] {
			case "leaves":
				leaving[f[1]] = at
			case "run":
				runs[f[2]]++
				if left := leaving[f[1]]; left > 0 && at-left > drainTime.Milliseconds() {
					s.lateRun(b, f[2], at-left)
				}
			}
		}
		_ = file.Close()
	}
	for id, told := range s.bookings {
		n := runs[id]
		for _, status := range told {
			switch {
			case n > 1:
				s.problem("booking %s ran %d times, told %v", id, n, told)
			case status == http.StatusOK && n != 1:
				s.problem("booking %s was told 200 and ran %d times", id, n)
			case notRun(status) && n != 0:
				s.problem("booking %s was told %d, not run, and ran", id, status)
			}
		}
	}
}

// lateRun counts work for a server that leaves. It breaks a promise only where nothing
// was disturbed, which the log does not tell, so it is a problem only from twice the
// time on that a disturbance lasts.
func (s *soak) lateRun(b *backend, id string, late int64) {
	s.count("runs at servers that leave")
	if late > (drainTime + 2*disturbed).Milliseconds() {
		s.problem("run %s reached %s %d ms after it said that it leaves", id, b.name, late)
	}
}

// notRun reports whether a status promises that the request did not and will not run.
func notRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// checkLogs looks for crashes and races in the routers' own words.
func (s *soak) checkLogs() {
	for _, r := range s.routers {
		text, err := os.ReadFile(r.log)
		if err != nil {
			s.problem("log of %s: %v", r.name, err)
		}
		for _, line := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
				s.problem("%s: %s", r.name, line)
			}
		}
	}
	s.counts["versions written"] = s.version
	if len(s.problems) > 0 {
		s.problems = append(s.problems, fmt.Sprintf("(%d in all)", len(s.problems)))
	}
}
