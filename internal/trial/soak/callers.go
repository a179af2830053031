package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
)

const (
	requestTimeout = 60 * time.Second
	bookingTimeout = 15 * time.Second
)

// draft requests one answer and checks every token, even if the answer is incomplete.
func (s *soak) draft(ctx context.Context, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	tokens := 40 + r.IntN(200)
	routers := s.fleet.CallerAddresses()
	r.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	req := caller.Request{Key: fleet.KeyQalamdaan, IdempotencyKey: uuid.NewString(), Model: "costing-llm", MaxTokens: tokens, Prompt: "Review line " + fmt.Sprint(tokens)}
	answer, _ := s.caller.Stream(ctx, routers, req, nil)
	if err := answer.CheckContiguous(); err != nil {
		s.reportProblem("draft %s: %v", req.IdempotencyKey, err)
	}
	switch {
	case answer.Check(tokens) == nil:
		s.count("drafts complete")
		if answer.Attempts() > 1 {
			s.count("drafts resumed")
		}
	case answer.Finished:
		s.reportProblem("draft %s ended with %d of %d tokens", req.IdempotencyKey, len(answer.Texts), tokens)
	default:
		s.count("drafts ended by " + codeOrBroken(answer.Code))
		time.Sleep(200 * time.Millisecond)
	}
}

// book sends one booking through two routers at once, and a third of the time once
// more afterwards.
func (s *soak) book(ctx context.Context, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	id, err := uuid.NewV7()
	if err != nil {
		return
	}
	key := id.String()
	done := make(chan bool, 2)
	for range 2 {
		router := s.fleet.Routers[r.IntN(len(s.fleet.Routers))].Host.CallerAddress
		go func() {
			s.bookThrough(ctx, router, key)
			done <- true
		}()
	}
	<-done
	<-done
	if r.IntN(3) == 0 {
		s.bookThrough(ctx, s.fleet.Routers[r.IntN(len(s.fleet.Routers))].Host.CallerAddress, key)
	}
}

// bookThrough sends a booking through a router and records the reply.
func (s *soak) bookThrough(ctx context.Context, router, key string) {
	reply, err := s.caller.Call(ctx, router, fleet.KeyScordia, key, http.MethodPost, "/banco/bookings", key)
	if err != nil {
		reply.Code = "broken"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookings[key] = append(s.bookings[key], reply)
}

// checkBookings compares the replies that callers got with the bookings that the
// service executed.
func (s *soak) checkBookings() {
	executions := make(map[string]int)
	res, err := http.Get("http://" + s.fleet.Services["banco-1"] + "/runs")
	if err != nil {
		s.reportProblem("service: %v", err)
		return
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&executions); err != nil {
		s.reportProblem("service: %v", err)
		return
	}
	for key, replies := range s.bookings {
		n, allNotRun, body := executions[key], true, ""
		for _, r := range replies {
			s.counts["booking replies: "+bookingResult(r)]++
			allNotRun = allNotRun && r.Code == "not_run"
			if r.Status == http.StatusCreated {
				if body != "" && body != r.Body {
					s.reportProblem("booking %s got two different answers", key)
				}
				body = r.Body
			}
		}
		if n > 1 || body != "" && n != 1 || allNotRun && n != 0 {
			s.reportProblem("booking %s executed %d times, callers got %v", key, n, replies)
		}
	}
}

// raceOperators lets two operators apply different changes at once, then promotes the
// winner's.
func (s *soak) raceOperators(ctx context.Context, r *rand.Rand) {
	path, err := s.fleet.WriteDocument()
	if err != nil {
		return
	}
	text, _ := os.ReadFile(path)
	done := make(chan bool, 2)
	for i := range 2 {
		changedPath := fmt.Sprintf("%s.%d", path, i)
		_ = os.WriteFile(changedPath, append(text, fmt.Sprintf("\n[Organisation soak]\nKeys = %064x\n", r.Uint64())...), 0o600)
		go func() {
			out, err := s.fleet.RunCommand(ctx, "apply", "--settings", s.fleet.OperatorSettings(), changedPath)
			s.count("changes " + commandOutcome(out, err))
			done <- true
		}()
	}
	<-done
	<-done
	out, err := s.fleet.RunCommand(ctx, "promote", "--settings", s.fleet.OperatorSettings())
	s.count("promotions " + commandOutcome(out, err))
	time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
}

func commandOutcome(out string, err error) string {
	switch {
	case err == nil:
		return "applied"
	case strings.Contains(out, "another change came first"):
		return "lost the race"
	default:
		return "failed"
	}
}

// revisionChecker returns a step that checks that no process returns to an older
// revision.
func (s *soak) revisionChecker() func(context.Context, *rand.Rand) {
	type process struct {
		name string
		pid  int
	}
	newest := make(map[process]int64)
	return func(context.Context, *rand.Rand) {
		for _, r := range s.fleet.Routers {
			proc := process{r.Host.Name, r.PID()}
			revision := s.fleet.Revision(r)
			if revision != 0 && revision < newest[proc] && proc.pid == r.PID() {
				s.reportProblem("%s went back from revision %d to %d", proc.name, newest[proc], revision)
			}
			newest[proc] = max(newest[proc], revision)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkInvariants searches the routers' dumps and logs for invariant violations, panics
// and data races.
func (s *soak) checkInvariants() {
	for _, r := range s.fleet.Routers {
		r.Continue()
		if d, err := s.fleet.Dump(r); err == nil && d.InvariantViolations > 0 {
			s.reportProblem("%d invariant violations on %s", d.InvariantViolations, r.Host.Name)
		}
		text, err := os.ReadFile(r.LogPath)
		if err != nil {
			s.reportProblem("log of %s: %v", r.Host.Name, err)
		}
		for _, line := range violations(string(text)) {
			s.reportProblem("%s: %s", r.Host.Name, line)
		}
	}
}

// violations returns the lines of a router's log that report an invariant violation, a
// panic or a data race.
func violations(log string) []string {
	var found []string
	for _, line := range strings.Split(log, "\n") {
		var entry struct {
			Part string `json:"part"`
		}
		isEntry := json.Unmarshal([]byte(line), &entry) == nil
		if isEntry && entry.Part == "invariant" || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
			found = append(found, line)
		}
	}
	return found
}

// codeOrBroken returns the code of an error, or a text for a broken connection.
func codeOrBroken(code string) string {
	if code == "" {
		return "a broken connection"
	}
	return code
}

func bookingResult(r caller.Reply) string {
	if r.Status == http.StatusCreated {
		return "booked"
	}
	return codeOrBroken(r.Code)
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
