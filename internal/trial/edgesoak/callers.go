package edgesoak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"wisteriafield/internal/trial/workers"
	"wisteriafield/platform/standin/caller"
)

const (
	draftTimeout   = 20 * time.Second
	requestTimeout = 1500 * time.Millisecond
	maxAttempts    = 6
	maxEvents      = 100
	maxLongEvents  = 220 // at 27 ms: some streams outlast most of the grace time
)

// newSession returns the ID of a session that no other request has.
func newSession() string { return strings.ReplaceAll(uuid.NewString(), "-", "")[:12] }

// newRequest returns a request with a new attempt ID.
func newRequest(ctx context.Context, method, address, path, body string) *http.Request {
	req, err := caller.NewRequest(ctx, method, address, hostName, path, body, organisationKey)
	if err != nil {
		panic(err) // all parts are constants of this package
	}
	return req
}

// checkNotRejected reports a problem if a request that every configuration allows was
// rejected.
func (s *soak) checkNotRejected(res *http.Response, path string) {
	switch res.StatusCode {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		s.reportProblem("%s was rejected with %d", path, res.StatusCode)
	}
}

// draft requests one stream, reconnects after the last event where the stream breaks,
// and checks every event.
func (s *soak) draft(ctx context.Context, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, draftTimeout)
	defer cancel()
	session := newSession()
	if s.Deadly > 0 && r.IntN(3) == 0 {
		session = pick(repeatedSessions, r)
	}
	events := 20 + r.IntN(choose(s.Planned, maxLongEvents, maxEvents))
	received := 0
	for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; attempt++ {
		router := s.pickRouter(r)
		complete := s.readStream(ctx, router, session, events, &received)
		if complete {
			s.count("drafts complete")
			if attempt > 0 {
				s.count("drafts complete after a reconnect")
			}
			return
		}
		time.Sleep(time.Duration(100+r.IntN(400)) * time.Millisecond)
	}
	s.count("drafts abandoned")
}

// readStream reads a stream from the event after *received on, which it advances, and
// reports whether the stream is complete.
func (s *soak) readStream(ctx context.Context, router *router, session string, events int, received *int) bool {
	startedAt := time.Now()
	req := newRequest(ctx, http.MethodPost, s.callerAddress(router), "/draft/x", "x")
	caller.SetPromptHeaders(req, session, events*6, *received)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	x, req := startExchange("stream", router, req)
	res, err := client.Do(req)
	if err != nil {
		s.recordIncomplete(ctx, x, err)
		return false
	}
	defer res.Body.Close()
	s.checkNotRejected(res, "/draft/")
	if res.StatusCode != http.StatusOK {
		s.count(fmt.Sprintf("drafts with status %d", res.StatusCode))
		s.recordFailure(ctx, x, res.StatusCode)
		return false
	}
	if !caller.Signed(res) {
		s.reportProblem("stream %s has no signature", session)
	}
	lines := bufio.NewReader(res.Body)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			if *received != events {
				s.reportProblem("stream %s ended as complete after %d of %d events", session, *received, events)
			}
			return *received == events
		}
		if err != nil {
			s.recordIncomplete(ctx, x, err)
			s.recordCut(ctx, router, startedAt, session)
			return false
		}
		data, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: ")
		if !ok {
			continue
		}
		if want := fmt.Sprintf("%s/%d", session, *received+1); data != want {
			s.reportProblem("stream at %s has %q where %q is expected", router.name, data, want)
			return false
		}
		*received++
		x.eventAt = time.Now()
	}
}

// recordCut counts a stream that was cut. It reports a problem if neither the caller's time nor the
// route's was up, no unplanned fault was active and no deadly request had crashed a server, unless the
// stream had started after the router's stop had begun.
func (s *soak) recordCut(ctx context.Context, router *router, startedAt time.Time, session string) {
	now := time.Now()
	since, undisturbed := s.undisturbedSince()
	s.mu.Lock()
	stoppedAt, stopped := s.stoppedAt[router.name]
	s.mu.Unlock()
	s.count("streams cut")
	if atDeadline(ctx) || now.Sub(startedAt) >= excusedDraft || !undisturbed || !since.Before(startedAt) || s.crashedSince(startedAt.Add(-disturbanceTimeout)) {
		return
	}
	stopEnd := stoppedAt.Add(grace + time.Second)
	switch {
	case !stopped || stopEnd.Before(startedAt):
		s.reportProblem("stream %s was cut by %s while only planned faults were active", session, router.name)
	case s.Planned: // streams may outlast the grace time; checkIncomplete has the rule
	case startedAt.Before(stoppedAt) && now.Before(stopEnd):
		s.reportProblem("stream %s was cut by the stop of %s, %s after the stop began", session, router.name, now.Sub(stoppedAt))
	}
}

// serviceCaller returns a step that sends a booking or a lookup over keep-alive
// connections.
func (s *soak) serviceCaller() workers.Step {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	return func(ctx context.Context, r *rand.Rand) {
		router := s.pickRouter(r)
		if r.IntN(3) == 0 {
			s.callService(ctx, client, router, http.MethodGet, "/look/x", "x")
		} else {
			s.callService(ctx, client, router, http.MethodPost, "/book/x", "x")
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
}

// callService sends one request to the service, without retries, and records the
// status that the caller got. The status 0 stands for no answer.
func (s *soak) callService(ctx context.Context, client *http.Client, router *router, method, path, body string) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req := newRequest(ctx, method, s.callerAddress(router), path, body)
	id := caller.AttemptID(req)
	s.recordDeadly(id, router, path+body)
	if method == http.MethodPost || s.Planned {
		req.GetBody = nil // so that the HTTP client does not retry a booking by itself, or hide a lost answer
	}
	status := 0
	x, req := startExchange("call", router, req)
	res, err := client.Do(req)
	if err == nil {
		s.checkNotRejected(res, path)
		answer, readErr := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err = readErr; err == nil {
			status = res.StatusCode
		}
		if status == http.StatusOK && !strings.HasPrefix(string(answer), "done "+id+" ") {
			s.reportProblem("%s %s got the answer of another request: %.40q", path, id, answer)
		}
	}
	if err != nil {
		s.recordIncomplete(ctx, x, err)
	}
	s.recordFailure(ctx, x, status)
	if method == http.MethodPost {
		s.mu.Lock()
		s.bookings[id] = append(s.bookings[id], status)
		s.mu.Unlock()
	}
	s.count(fmt.Sprintf("%s with status %d", path[:strings.LastIndexByte(path, '/')+1], status))
	return status
}
