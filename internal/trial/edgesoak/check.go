package edgesoak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wisteriafield/internal/trial/workers"
)

const (
	// configTimeout is how soon a change has to take effect: configMs of the users' sites.
	configTimeout = 2 * time.Second
	// drainTimeout is how long a leaving server may still get new requests: drainMs of
	// the users' sites.
	drainTimeout = 2 * time.Second
)

// versionChecker returns a step that checks that no process returns to an older
// version of the configuration.
func (s *soak) versionChecker() workers.Step {
	type process struct {
		name string
		pid  int
	}
	newest := make(map[process]int)
	return func(ctx context.Context, _ *rand.Rand) {
		for _, r := range s.routers {
			proc := process{r.name, r.PID()}
			d, err := s.dump(r)
			if err == nil && d.ConfigVersion < newest[proc] && proc.pid == r.PID() {
				s.reportProblem("%s went back from version %d to %d", proc.name, newest[proc], d.ConfigVersion)
			}
			newest[proc] = max(newest[proc], d.ConfigVersion)
			// Nor may a process drop a route that it has served.
			if v := newest[proc]; v > 1 && proc.pid == r.PID() && s.getVersionRoute(ctx, r, v) == http.StatusNotFound && proc.pid == r.PID() {
				s.reportProblem("%s answers 404 for the route of version %d, which it served before", proc.name, v)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkRecovery checks that every router serves all kinds of requests again within
// recoveryTimeout of the last fault.
func (s *soak) checkRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	var wg sync.WaitGroup
	for _, r := range s.routers {
		wg.Go(func() {
			for !s.servesAll(ctx, r) {
				if time.Now().After(deadline) {
					s.reportProblem("%s does not serve all requests %s after the last fault", r.name, recoveryTimeout)
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// servesAll reports whether a router serves a request of each kind.
func (s *soak) servesAll(ctx context.Context, r *router) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	received := 0
	served := s.callService(ctx, client, r, http.MethodPost, "/book/x", "x") == http.StatusOK && s.getVersionRoute(ctx, r, int(s.version.Load())) == http.StatusOK
	return served && s.readStream(ctx, r, "recovery", 10, &received) && s.unservedRepeat(ctx, r) == ""
}

// checkExecutions compares the bookings that servers executed with the statuses that
// callers got, and checks when leaving servers got requests.
func (s *soak) checkExecutions() {
	executions := make(map[string]int)
	runs := make(map[string][]*backend) // by attempt ID
	for _, b := range s.backends {
		leavingSince := make(map[string]int64) // by incarnation, Unix milliseconds
		file, err := os.Open(b.logPath)
		if err != nil {
			s.reportProblem("log of %s: %v", b.name, err)
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) != 4 {
				continue
			}
			at, _ := strconv.ParseInt(fields[3], 10, 64)
			switch fields[0] {
			case "leaves":
				leavingSince[fields[1]] = at
			case "run":
				executions[fields[2]]++
				runs[fields[2]] = append(runs[fields[2]], b)
				if since := leavingSince[fields[1]]; since > 0 && at-since > drainTimeout.Milliseconds() {
					s.recordLateExecution(b, fields[2], at-since)
				}
			}
		}
		_ = file.Close()
	}
	s.checkIncomplete(runs)
	for id, statuses := range s.bookings {
		n := executions[id]
		for _, status := range statuses {
			switch {
			case n > 1:
				s.reportProblem("booking %s ran %d times, callers got %v", id, n, statuses)
			case status == http.StatusOK && n != 1:
				s.reportProblem("booking %s was answered with 200 and ran %d times", id, n)
			case promisesNotRun(status) && n != 0:
				s.reportProblem("booking %s was answered with %d, not run, and ran", id, status)
			}
		}
	}
}

// recordLateExecution counts a request that reached a leaving server after
// drainTimeout. This violates a guarantee only where no fault was active, which the log
// does not say, so it is a problem only if it is late by more than twice
// disturbanceTimeout.
func (s *soak) recordLateExecution(b *backend, id string, lateMs int64) {
	s.count("late executions at leaving servers")
	if lateMs > (drainTimeout + 2*disturbanceTimeout).Milliseconds() {
		s.reportProblem("request %s reached %s %d ms after the server said that it leaves", id, b.name, lateMs)
	}
}

// promisesNotRun reports whether a status promises that the request was not executed
// and will not be.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// needless are the reasons for which routers give up streams whose callers wait.
var needless = []string{"RetryBudgetExhausted", "AttemptsUsed", "RequestQuarantined"}

// abandoned is a router's line on a stream that it gave up.
type abandoned struct {
	Reason     string
	CallerLeft bool
	LeftMs     int64
	Ran        int // 0 if it was refused with the promise that nothing ran
}

// checkLogs searches the routers' logs for panics and data races, and beside planned faults
// only for streams that were given up.
func (s *soak) checkLogs() {
	for _, r := range s.routers {
		text, err := os.ReadFile(r.logPath)
		if err != nil {
			s.reportProblem("log of %s: %v", r.name, err)
		}
		for _, line := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
				s.reportProblem("%s: %s", r.name, line)
			}
			var end abandoned
			if s.Planned && strings.Contains(line, "stream abandoned") && json.Unmarshal([]byte(line), &end) == nil &&
				slices.Contains(needless, end.Reason) && end.Ran > 0 && !end.CallerLeft && end.LeftMs > minTimeLeft.Milliseconds() {
				s.reportProblem("%s gave up a stream: %s", r.name, line)
			}
		}
	}
	s.counts["versions written"] = int(s.version.Load())
	if len(s.problems) > 0 {
		s.problems = append(s.problems, fmt.Sprintf("(%d in all)", len(s.problems)))
	}
}
