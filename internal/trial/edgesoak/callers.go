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
	draftTime   = 20 * time.Second
	bookingTime = 1500 * time.Millisecond
	maxTries    = 6
)

// newRequest returns a request with a new id.
func newRequest(ctx context.Context, method, address, path string) *http.Request {
	req, err := caller.NewRequest(ctx, method, address, hostName, path, organisationKey)
	if err != nil {
		panic(err) // all parts are constants of this package
	}
	return req
}

// proper reports a rejection of a request that every configuration allows.
func (s *soak) proper(res *http.Response, path string) {
	switch res.StatusCode {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		s.problem("%s was rejected with %d", path, res.StatusCode)
	}
}

// draft asks for one stream, comes back where it broke, and checks every event.
func (s *soak) draft(ctx context.Context, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, draftTime)
	defer cancel()
	session := strings.ReplaceAll(uuid.NewString(), "-", "")[:12]
	events := 20 + r.IntN(100)
	after := 0
	for try := 0; try < maxTries && ctx.Err() == nil; try++ {
		router := s.routers[r.IntN(len(s.routers))]
		whole := s.watch(ctx, router, session, events, &after)
		if whole {
			s.count("drafts whole")
			if try > 0 {
				s.count("drafts that came back")
			}
			return
		}
		time.Sleep(time.Duration(100+r.IntN(400)) * time.Millisecond)
	}
	s.count("drafts given up")
}

// watch reads a stream from the event after on, and reports whether it ended whole.
func (s *soak) watch(ctx context.Context, router *router, session string, events int, after *int) bool {
	began := time.Now()
	req := newRequest(ctx, http.MethodPost, router.callers.Address, "/draft/x")
	caller.SetPromptHeaders(req, session, events*6, *after)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	s.proper(res, "/draft/")
	if res.StatusCode != http.StatusOK {
		s.count(fmt.Sprintf("drafts told %d", res.StatusCode))
		return false
	}
	if !caller.Signed(res) {
		s.problem("stream %s has no signature", session)
	}
	lines := bufio.NewReader(res.Body)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			if *after != events {
				s.problem("stream %s ended as complete after %d of %d events", session, *after, events)
			}
			return *after == events
		}
		if err != nil {
			s.checkCut(router, began, session)
			return false
		}
		data, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "data: ")
		if !ok {
			continue
		}
		if want := fmt.Sprintf("%s/%d", session, *after+1); data != want {
			s.problem("stream at %s has %q where %q is due", router.name, data, want)
			return false
		}
		*after++
	}
}

// checkCut reports a stream that a planned stop cut, although nothing else was wrong
// and it was taken long before.
func (s *soak) checkCut(router *router, began time.Time, session string) {
	now := time.Now()
	since, calm := s.undisturbedSince()
	s.mu.Lock()
	stop, stopped := s.stopped[router.name]
	s.mu.Unlock()
	if calm && since.Before(began) && stopped && began.Before(stop) && now.Before(stop.Add(grace+time.Second)) {
		s.problem("stream %s was cut by the stop of %s, %s after it", session, router.name, now.Sub(stop))
	}
	s.count("streams cut")
}

// plainCaller returns a step that books or looks up, on kept connections.
func (s *soak) plainCaller() workers.Step {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	return func(ctx context.Context, r *rand.Rand) {
		router := s.routers[r.IntN(len(s.routers))]
		if r.IntN(3) == 0 {
			s.plain(ctx, client, router, http.MethodGet, "/look/x")
		} else {
			s.plain(ctx, client, router, http.MethodPost, "/book/x")
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
}

// plain sends one plain request once and notes what the caller was told.
func (s *soak) plain(ctx context.Context, client *http.Client, router *router, method, path string) int {
	ctx, cancel := context.WithTimeout(ctx, bookingTime)
	defer cancel()
	req := newRequest(ctx, method, router.callers.Address, path)
	id := caller.AttemptID(req)
	if method == http.MethodPost {
		req.GetBody = nil // the library must not send a booking twice by itself
	}
	status := 0
	res, err := client.Do(req)
	if err == nil {
		s.proper(res, path)
		body, rerr := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if rerr == nil {
			status = res.StatusCode
		}
		if status == http.StatusOK && !strings.HasPrefix(string(body), "done "+id+" ") {
			s.problem("%s %s got another answer: %.40q", path, id, body)
		}
	}
	if method == http.MethodPost {
		s.mu.Lock()
		s.bookings[id] = append(s.bookings[id], status)
		s.mu.Unlock()
	}
	s.count(fmt.Sprintf("%s told %d", strings.TrimSuffix(path, "x"), status))
	return status
}
