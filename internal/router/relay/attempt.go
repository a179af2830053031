package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/backend/sse"
	"wisteriafield/internal/decision/suspicion"
)

// kind is how an attempt ended.
type kind string

const (
	finished kind = "Finished" // the caller has the whole stream
	answered kind = "Answered" // the server gave a failure that the caller gets
	refused  kind = "Refused"  // the server did not run it
	notSent  kind = "NotSent"
	lost     kind = "Lost"
)

// result is the end of one attempt.
type result struct {
	kind     kind
	reason   string
	answer   *whole
	backup   *registry.Entry // has a copy of the lost run's memory
	spare    *spare          // a newer copy, if the backup was lost before
	got      int             // events of this attempt
	dark     bool            // the server did not answer at all
	replaced bool            // another incarnation has the address

	callerLeft bool
	unanswered bool // the connection was not refused; a packet may be lost
}

// whole is a buffered answer.
type whole struct {
	status int
	header http.Header
	body   []byte
}

const (
	maxFailure  = 1 << 20 // bytes of a buffered failure
	eventBuffer = 16      // events read ahead of the caller
)

// incoming is what the reading goroutine found.
type incoming struct {
	answer *server.Answer
	event  sse.Event
	err    error
}

// attempt sends the request to an engine and forwards its events.
func (s *stream) attempt(ctx context.Context, target *registry.Entry, from *server.KVBackup) (r result) {
	var sp *spare
	before := s.after
	defer func() { r.spare, r.got = sp, s.after-before }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := server.Dispatch{Request: s.req, Server: &target.Server, LastEventID: s.after, RestoreFrom: from}
	backup := s.chooseBackup(ctx, target)
	if backup != nil {
		d.BackupServer = &backup.Server
	}
	s.logDispatch(target, backup, from)
	s.tellRun(target, backup)
	unread := s.req.PromptTokens
	if from != nil {
		unread = 0
	}
	run := target.Load.BeginAttempt(unread, s.req.PromptTokens)
	defer run.End()
	in := make(chan incoming, eventBuffer)
	go s.read(ctx, d, in)

	hurry := make(chan time.Time, 1)
	defer s.relay.nearby.join(target.Domain, hurry)()
	watch := suspicion.NewDetector(s.limits(), time.Now())
	arrivals := s.relay.cfg.Links.ObserveStream(target.Domain)
	signs := make(chan server.Report, 4)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var header *server.Answer
	for {
		select {
		case got := <-in:
			if got.answer != nil {
				if got.answer.Status != http.StatusOK || !got.answer.Signed || got.answer.Mismatched {
					return s.failure(got.answer, backup)
				}
				header = got.answer
				continue
			}
			if got.err != nil {
				return s.ended(got.err, header, backup)
			}
			now := time.Now()
			watch.ObserveEvent(now)
			arrivals.ObserveEvent(now)
			run.RecordEvent(now, s.eventTokens())
			if r, ok := s.forward(got.event, header, len(in) == 0); !ok {
				r.backup = backup
				return r
			}
			s.noteEvent(now, target)
			if sp == nil {
				sp = s.startSpare(ctx, target, backup)
			}
		case report := <-signs:
			watch.ObserveReply(time.Now(), s.judge(report))
		case now := <-hurry:
			watch.ProbeNow(now)
		case <-timer.C:
		case <-ctx.Done():
			return result{kind: lost, reason: "caller left or time is up", backup: backup, callerLeft: true}
		}
		verdict, at := watch.Evaluate(time.Now())
		switch verdict {
		case suspicion.Probe:
			go s.ask(ctx, target, signs)
		case suspicion.Lost:
			return result{kind: lost, reason: "silent", backup: backup, dark: watch.ProbePending()}
		}
		timer.Reset(time.Until(at))
	}
}

// limits returns the times after which the stream's server is asked or given up.
func (s *stream) limits() suspicion.Timeouts {
	if s.service.Engine == nil {
		return suspicion.ServiceTimeouts()
	}
	return s.relay.limits
}

// eventTokens returns the tokens of one event.
func (s *stream) eventTokens() int {
	if s.service.Engine == nil {
		return 0
	}
	return s.service.Engine.EventTokens
}

// read sends the request and reads the answer until it ends.
func (s *stream) read(ctx context.Context, d server.Dispatch, in chan<- incoming) {
	put := func(i incoming) bool {
		select {
		case in <- i:
			return true
		case <-ctx.Done():
			return false
		}
	}
	answer, err := s.relay.cfg.Client.Send(ctx, d)
	if err != nil {
		put(incoming{err: err})
		return
	}
	if !put(incoming{answer: answer}) || answer.Status != http.StatusOK {
		if ctx.Err() != nil {
			answer.Body.Close()
		}
		return
	}
	defer answer.Body.Close()
	events := sse.NewReader(answer.Body)
	for {
		event, err := events.Next()
		if !put(incoming{event: event, err: err}) || err != nil {
			return
		}
	}
}

// forward passes one event to the caller.
func (s *stream) forward(e sse.Event, header *server.Answer, flush bool) (result, bool) {
	if e.ID > 0 {
		if e.ID <= s.after {
			return result{}, true // the caller has it
		}
		if e.ID != s.after+1 {
			return result{kind: lost, reason: "event missing"}, false
		}
	}
	if !s.begun {
		for name, values := range header.Header {
			s.w.Header()[name] = values
		}
		s.w.WriteHeader(http.StatusOK)
		s.begun = true
	}
	if _, err := s.w.Write(e.Raw); err != nil {
		return result{kind: lost, reason: "caller left", callerLeft: true}, false
	}
	if e.ID > 0 {
		s.after = e.ID
	}
	if flush {
		if err := http.NewResponseController(s.w).Flush(); err != nil {
			return result{kind: lost, reason: "caller left", callerLeft: true}, false
		}
	}
	return result{}, true
}

// ended judges the end of a stream.
func (s *stream) ended(err error, header *server.Answer, backup *registry.Entry) result {
	switch {
	case errors.Is(err, server.ErrNotSent):
		return result{kind: notSent, reason: err.Error(), unanswered: errors.Is(err, server.ErrConnectTimeout)}
	case err == io.EOF && header != nil && !header.CloseDelimited && s.begun:
		return result{kind: finished}
	default:
		return result{kind: lost, reason: err.Error(), backup: backup}
	}
}

// failure judges an answer that is no stream.
func (s *stream) failure(a *server.Answer, backup *registry.Entry) result {
	defer a.Body.Close()
	if a.NotExecuted {
		return result{kind: refused, reason: http.StatusText(a.Status), replaced: a.ActualServerID != "" || a.Status == http.StatusMisdirectedRequest}
	}
	if a.Status == http.StatusOK || a.Mismatched || a.Status >= http.StatusInternalServerError && s.ran+1 < s.req.Route.Attempts {
		return result{kind: lost, reason: "no valid answer: " + http.StatusText(a.Status)}
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxFailure))
	if err != nil {
		return result{kind: lost, reason: err.Error(), backup: backup}
	}
	return result{kind: answered, answer: &whole{a.Status, a.Header, body}}
}

// pass gives the caller a server's own failure.
func (s *stream) pass(a *whole) {
	if s.begun {
		panic(http.ErrAbortHandler)
	}
	for name, values := range a.header {
		s.w.Header()[name] = values
	}
	s.w.WriteHeader(a.status)
	_, _ = s.w.Write(a.body)
}
