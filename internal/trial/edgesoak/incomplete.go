package edgesoak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"wisteriafield/platform/standin/caller"
)

const (
	// lossSlack is how long a router may take to close a connection on which a request
	// arrives that it does not pass on: lossSlackMs of the users' sites.
	lossSlack = 200 * time.Millisecond
	// excusedStart and excusedCut bound, from SIGTERM on, when a request was sent and
	// when it was cut if its length excuses the stop.
	excusedStart = 3 * time.Second
	excusedCut   = grace * 5 / 6
	// excusedDraft is how long a draft may last at most before its timeout excuses a cut.
	excusedDraft = 14500 * time.Millisecond
	// deadlineSlack is how much earlier than its caller a router may see a deadline, which it
	// gets in whole milliseconds.
	deadlineSlack = 10 * time.Millisecond
	// minTimeLeft is the time to its deadline with which a stream must not be given up.
	minTimeLeft = 2 * time.Second
)

// exchange is what a caller sees of one request on its connection.
type exchange struct {
	kind     string // "stream" or "call"
	id       string
	router   *router
	sentAt   time.Time
	endedAt  time.Time
	wroteAt  atomic.Int64 // when the last byte was sent, Unix nanoseconds; 0 if it was not
	conn     atomic.Bool  // it got a connection
	reused   atomic.Bool
	answered atomic.Bool // a byte of the answer came
	eventAt  time.Time   // when the last event of a stream came
	left     bool        // the caller gave up before the answer ended
	failed   bool        // it was answered in time that a server may have run it in vain
	err      error
}

// startExchange adds a trace to a request, which is sent next.
func startExchange(kind string, router *router, req *http.Request) (*exchange, *http.Request) {
	x := &exchange{kind: kind, id: caller.AttemptID(req), router: router, sentAt: time.Now()}
	return x, req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.conn.Store(true)
			x.reused.Store(info.Reused)
		},
		WroteRequest:         func(httptrace.WroteRequestInfo) { x.wroteAt.Store(time.Now().UnixNano()) },
		GotFirstResponseByte: func() { x.answered.Store(true) },
	}))
}

// recordFailure keeps an answer that says that a server may have run the request in vain.
func (s *soak) recordFailure(ctx context.Context, x *exchange, status int) {
	deadline, _ := ctx.Deadline()
	inTime := time.Until(deadline) > choose(x.kind == "stream", minTimeLeft, lossSlack)
	if x.failed = inTime && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout); x.failed && s.Planned {
		s.recordIncomplete(ctx, x, fmt.Errorf("status %d", status))
	}
}

// atDeadline reports whether a caller's time is up.
func atDeadline(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && time.Until(deadline) <= deadlineSlack
}

// recordIncomplete keeps an answer that was not complete for checkIncomplete.
func (s *soak) recordIncomplete(ctx context.Context, x *exchange, err error) {
	x.endedAt, x.err, x.left = time.Now(), err, atDeadline(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incomplete = append(s.incomplete, x)
}

// checkIncomplete counts answers that were not complete by their cause. Without unplanned
// faults, one that nothing excuses is a problem.
func (s *soak) checkIncomplete(runs map[string][]*backend) {
	for _, x := range s.incomplete {
		cause, excused := s.causeOf(x, runs[x.id])
		if s.Planned || !excused {
			s.counts["incomplete "+x.kind+": "+cause]++
		}
		if !s.Planned {
			continue
		}
		text := s.describe(x, runs[x.id], cause)
		if !excused {
			s.reportProblem("%s", text)
		} else if s.Verbose {
			fmt.Println(text)
		}
	}
}

// causeOf returns why an answer was not complete and whether that is excused.
func (s *soak) causeOf(x *exchange, servers []*backend) (cause string, excused bool) {
	wrote := time.Unix(0, x.wroteAt.Load())
	stop, stopping := s.lastStop(x)
	switch {
	case !x.conn.Load() && errors.Is(x.err, syscall.ECONNREFUSED):
		return "connection refused", true
	case x.left:
		return "caller's deadline", true
	case x.failed && x.kind == "call" && endedDuring(x, choose(len(servers) > 0, servers, s.backends)): // it may not have logged the call
		return "a server ended", true
	case !x.conn.Load():
		return "no connection", true
	case x.wroteAt.Load() == 0 && len(servers) == 0:
		return "request not sent", true
	case x.kind == "stream" && x.endedAt.Sub(x.sentAt) >= excusedDraft:
		return "timeout of the route", true
	case brokeOff(x, servers):
		return "its server ended", true
	case !x.answered.Load() && len(servers) == 0 && x.endedAt.Sub(wrote) <= lossSlack:
		return "crossed the close, not passed on", true
	case stopping && x.sentAt.Sub(stop) <= excusedStart && x.endedAt.Sub(stop) >= excusedCut && len(servers) > 0:
		return "at work at the end of the grace time", true
	case stopping:
		return "beside a stop", false
	case s.changes.within(x.sentAt.Add(-configTimeout-time.Second), x.endedAt):
		return "beside a change", false
	}
	return "beside nothing", false
}

// brokeOff reports whether a server that ran a request ended beside the cut.
func brokeOff(x *exchange, servers []*backend) bool {
	for _, b := range servers {
		if b.exits.within(x.endedAt.Add(-lossSlack), x.endedAt.Add(lossSlack)) {
			return true
		}
	}
	return false
}

// endedDuring reports whether a server ended while a request was on its way.
func endedDuring(x *exchange, servers []*backend) bool {
	return slices.ContainsFunc(servers, func(b *backend) bool { return b.exits.within(x.sentAt, x.endedAt) })
}

// lastStop returns when the router got the last SIGTERM before the end of a request, and
// whether its process could still have been stopping.
func (s *soak) lastStop(x *exchange) (time.Time, bool) {
	var last time.Time
	for _, at := range s.stops[x.router.name] {
		if at.Before(x.endedAt) {
			last = at
		}
	}
	return last, x.endedAt.Sub(last) <= grace+time.Second
}

func (s *soak) describe(x *exchange, servers []*backend, cause string) string {
	text := fmt.Sprintf("%s %s at %s ended incomplete at %s after %d ms: %s; byte %t, reused %t, error %v", x.kind, x.id, x.router.name,
		x.endedAt.Format("15:04:05.000"), x.endedAt.Sub(x.sentAt).Milliseconds(), cause, x.answered.Load(), x.reused.Load(), x.err)
	if stop, stopping := s.lastStop(x); stopping {
		text += fmt.Sprintf(", sent %d ms and ended %d ms after SIGTERM", x.sentAt.Sub(stop).Milliseconds(), x.endedAt.Sub(stop).Milliseconds())
	}
	if change, ok := s.changes.lastBegin(x.endedAt); ok {
		text += fmt.Sprintf(", ended %d ms after a change was written", x.endedAt.Sub(change).Milliseconds())
	}
	if !x.eventAt.IsZero() {
		text += fmt.Sprintf(", %d ms after its last event", x.endedAt.Sub(x.eventAt).Milliseconds())
	}
	for _, b := range servers {
		text += ", ran at " + b.name
		if b.exits.within(x.sentAt, x.endedAt) {
			text += " (ended meanwhile)"
		}
	}
	return text
}
