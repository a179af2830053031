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

// draft asks for one answer and checks every token of it, also of a part.
func (s *soak) draft(ctx context.Context, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	tokens := 40 + r.IntN(200)
	routers := s.fleet.CallerAddresses()
	r.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	req := caller.Request{Key: fleet.KeyQalamdaan, IdempotencyKey: uuid.NewString(), Model: "costing-llm", MaxTokens: tokens, Prompt: "Review line " + fmt.Sprint(tokens)}
	a, _ := s.caller.Stream(ctx, routers, req, nil)
	if err := a.CheckContiguous(); err != nil {
		s.problem("draft %s: %v", req.IdempotencyKey, err)
	}
	switch {
	case a.Check(tokens) == nil:
		s.count("drafts whole")
		if a.Attempts() > 1 {
			s.count("drafts resumed")
		}
	case a.Finished:
		s.problem("draft %s ended with %d of %d tokens", req.IdempotencyKey, len(a.Texts), tokens)
	default:
		s.count("drafts ended by " + orBroken(a.Code))
		time.Sleep(200 * time.Millisecond)
	}
}

// book makes one booking through two routers, and again later.
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
			s.bookAt(ctx, router, key)
			done <- true
		}()
	}
	<-done
	<-done
	if r.IntN(3) == 0 {
		s.bookAt(ctx, s.fleet.Routers[r.IntN(len(s.fleet.Routers))].Host.CallerAddress, key)
	}
}

func (s *soak) bookAt(ctx context.Context, router, key string) {
	reply, err := s.caller.Call(ctx, router, fleet.KeyScordia, key, http.MethodPost, "/banco/bookings", key)
	if err != nil {
		reply.Code = "broken"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookings[key] = append(s.bookings[key], reply)
}

// checkBookings compares what callers were told with what ran.
func (s *soak) checkBookings() {
	runs := make(map[string]int)
	res, err := http.Get("http://" + s.fleet.Services["banco-1"] + "/runs")
	if err != nil {
		s.problem("service: %v", err)
		return
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&runs); err != nil {
		s.problem("service: %v", err)
		return
	}
	for key, replies := range s.bookings {
		n, allNotRun, body := runs[key], true, ""
		for _, r := range replies {
			s.counts["bookings told "+orBooked(r)]++
			allNotRun = allNotRun && r.Code == "not_run"
			if r.Status == http.StatusCreated {
				if body != "" && body != r.Body {
					s.problem("booking %s has two answers", key)
				}
				body = r.Body
			}
		}
		if n > 1 || body != "" && n != 1 || allNotRun && n != 0 {
			s.problem("booking %s ran %d times, callers were told %v", key, n, replies)
		}
	}
}

// operate races two operators.
func (s *soak) operate(ctx context.Context, r *rand.Rand) {
	path, err := s.fleet.WriteDocument()
	if err != nil {
		return
	}
	text, _ := os.ReadFile(path)
	done := make(chan bool, 2)
	for i := range 2 {
		changed := fmt.Sprintf("%s.%d", path, i)
		_ = os.WriteFile(changed, append(text, fmt.Sprintf("\n[Organisation soak]\nKeys = %064x\n", r.Uint64())...), 0o600)
		go func() {
			out, err := s.fleet.RunCommand(ctx, "apply", "--settings", s.fleet.OperatorSettings(), changed)
			s.count("changes " + outcome(out, err))
			done <- true
		}()
	}
	<-done
	<-done
	out, err := s.fleet.RunCommand(ctx, "promote", "--settings", s.fleet.OperatorSettings())
	s.count("promotions " + outcome(out, err))
	time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
}

func outcome(out string, err error) string {
	switch {
	case err == nil:
		return "applied"
	case strings.Contains(out, "another change came first"):
		return "lost the race"
	default:
		return "failed"
	}
}

// watchRevisions returns a step that checks that no process's revision falls.
func (s *soak) watchRevisions() func(context.Context, *rand.Rand) {
	type process struct {
		name string
		pid  int
	}
	newest := make(map[process]int64)
	return func(context.Context, *rand.Rand) {
		for _, r := range s.fleet.Routers {
			at := process{r.Host.Name, r.PID()}
			revision := s.fleet.Revision(r)
			if revision != 0 && revision < newest[at] && at.pid == r.PID() {
				s.problem("%s fell from revision %d to %d", at.name, newest[at], revision)
			}
			newest[at] = max(newest[at], revision)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (s *soak) checkInvariants() {
	for _, r := range s.fleet.Routers {
		r.Continue()
		if d, err := s.fleet.Dump(r); err == nil && d.InvariantViolations > 0 {
			s.problem("%d invariants broke on %s", d.InvariantViolations, r.Host.Name)
		}
		text, _ := os.ReadFile(r.LogPath)
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, " invariant: ") || strings.HasPrefix(line, "panic:") || strings.Contains(line, "DATA RACE") {
				s.problem("%s: %s", r.Host.Name, line)
			}
		}
	}
}

func orBroken(code string) string {
	if code == "" {
		return "a broken connection"
	}
	return code
}

func orBooked(r caller.Reply) string {
	if r.Status == http.StatusCreated {
		return "booked"
	}
	return orBroken(r.Code)
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
