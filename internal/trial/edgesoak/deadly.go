package edgesoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/trial/workers"
	"wisteriafield/platform/standin/caller"
)

const (
	// deadlyMarker is what the stand-in servers know deadly requests by.
	deadlyMarker  = "deadc0de"
	deadlyCallers = 4
	// maxDownTime is how long a crashed stand-in server takes to be back and listed.
	maxDownTime = 4 * time.Second
	// leavingCrashDelay is how long a server runs a deadly request whose caller leaves, and
	// leavingWait how long the caller waits at most.
	leavingCrashDelay = 100 * time.Millisecond
	leavingWait       = 80 * time.Millisecond
	// repeats is how often a sound request is sent before it counts as not served.
	repeats = 5
)

// repeatedSessions are sound sessions that many callers ask for at once.
var repeatedSessions = []string{"50a7d0000001", "50a7d0000002", "50a7d0000003"}

// deadlyRequest is a request that crashes each server that begins to run it.
type deadlyRequest struct {
	key   string
	since time.Time // when callers begin to send it
	send  func(ctx context.Context, client *http.Client, r *router, key string)
}

// newDeadlyRequests returns the deadly requests of all kinds: a lookup, a booking with the
// path of sound ones, a session and a part that several sessions share.
func (s *soak) newDeadlyRequests() []deadlyRequest {
	kinds := []func(ctx context.Context, client *http.Client, r *router, key string){
		func(ctx context.Context, client *http.Client, r *router, key string) {
			s.callService(ctx, client, r, http.MethodGet, "/look/"+key, "x")
		},
		func(ctx context.Context, client *http.Client, r *router, key string) {
			s.callService(ctx, client, r, http.MethodPost, "/book/x", key)
		},
		func(ctx context.Context, _ *http.Client, r *router, key string) { s.sendDeadlyPrompt(ctx, r, key, key) },
		func(ctx context.Context, _ *http.Client, r *router, key string) {
			s.sendDeadlyPrompt(ctx, r, key, key+":800,"+newSession())
		},
	}
	random := rand.New(rand.NewPCG(s.Seed, 400))
	var requests []deadlyRequest
	for range s.Deadly {
		for _, send := range kinds {
			key := fmt.Sprintf("%s%02d", deadlyMarker, len(requests))
			requests = append(requests, deadlyRequest{key, s.startedAt.Add(time.Duration(random.Int64N(int64(s.Duration / 6)))), send})
		}
	}
	return requests
}

// deadlyCaller returns a step that sends one of the deadly requests to any router.
func (s *soak) deadlyCaller(requests []deadlyRequest) workers.Step {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	return func(ctx context.Context, r *rand.Rand) {
		d := pick(requests, r)
		if time.Now().After(d.since) {
			sendCtx, leave := context.WithCancel(ctx)
			if s.Leaving {
				time.AfterFunc(leavingWait/4+time.Duration(r.Int64N(int64(leavingWait*3/4))), leave)
			}
			d.send(sendCtx, client, pick(s.routers, r), d.key)
			leave()
		}
		loop.Sleep(ctx, time.Duration(100+r.IntN(500))*time.Millisecond)
	}
}

// sendDeadlyPrompt requests a stream once. No answer to it can be complete.
func (s *soak) sendDeadlyPrompt(ctx context.Context, router *router, key, lastParts string) {
	ctx, cancel := context.WithTimeout(ctx, draftTimeout/4)
	defer cancel()
	req := newRequest(ctx, http.MethodPost, s.callerAddress(router), "/draft/x", "x")
	caller.SetPromptHeaders(req, lastParts, 120, 0)
	s.recordDeadly(caller.AttemptID(req), router, key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	s.checkNotRejected(res, "/draft/")
	if _, err := io.Copy(io.Discard, res.Body); err == nil && res.StatusCode == http.StatusOK {
		s.reportProblem("deadly prompt %s ended as complete", key)
	}
	s.count(fmt.Sprintf("deadly prompts with status %d", res.StatusCode))
}

// recordDeadly records by attempt ID to which router a deadly request was sent.
func (s *soak) recordDeadly(id string, router *router, request string) {
	i := strings.Index(request, deadlyMarker)
	if i < 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadly.sent == nil {
		s.deadly.sent = make(map[string]deadlyAttempt)
	}
	s.deadly.sent[id] = deadlyAttempt{request[i : i+len(deadlyMarker)+2], router}
	s.counts["deadly requests sent"]++
}

// killMostRouters kills all routers but one, late enough for the fleet to know the deadly
// requests and early enough for them to come again afterwards.
func (s *soak) killMostRouters(ctx context.Context, r *rand.Rand) {
	const inCycle = 6 * time.Second // while unplanned faults are active
	at := s.startedAt.Add((s.Duration-plannedOnlyPeriod-inCycle)/faultCycle*faultCycle + inCycle)
	if loop.SleepUntil(ctx, at) && time.Since(s.startedAt) < s.Duration {
		s.injectOne(ctx, r, mostRoutersKilled)
		loop.Sleep(ctx, s.Duration)
	}
}

// checkRepeatedRequests checks that a router which no fault disturbed serves sound requests
// that run beside deadly ones.
func (s *soak) checkRepeatedRequests(ctx context.Context, r *rand.Rand) {
	defer loop.Sleep(ctx, time.Duration(100+r.IntN(200))*time.Millisecond)
	router := pick(s.routers, r)
	if !s.calm(router) {
		return
	}
	unserved := ""
	for range repeats {
		if unserved = s.unservedRepeat(ctx, router); unserved == "" {
			s.count("repeated requests checked")
			return
		}
		loop.Sleep(ctx, 300*time.Millisecond)
	}
	if s.calm(router) && ctx.Err() == nil {
		s.reportProblem("%s does not serve %s, though no fault is active", router.name, unserved)
	}
}

// calm reports whether no fault has disturbed a router, the store or any server for the
// contact time.
func (s *soak) calm(r *router) bool {
	now := time.Now()
	_, undisturbed := s.undisturbedSince()
	return undisturbed && !r.faults.within(now.Add(-disturbanceTimeout), now) && !s.crashedSince(now.Add(-maxDownTime-disturbanceTimeout))
}

// unservedRepeat sends the sound requests that callers repeat, each once, and returns one
// that was not served, or an empty string.
func (s *soak) unservedRepeat(ctx context.Context, r *router) string {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if status := s.callService(ctx, client, r, http.MethodGet, "/look/x", "x"); status != http.StatusOK {
		return fmt.Sprint("the repeated lookup, status ", status)
	}
	if status := s.callService(ctx, client, r, http.MethodPost, "/book/x", "x"); status != http.StatusOK {
		return fmt.Sprint("the repeated booking, status ", status)
	}
	for _, session := range repeatedSessions {
		if received := 0; !s.readStream(ctx, r, session, 2, &received) {
			return "the repeated prompt " + session
		}
	}
	return ""
}
