package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/backend/sse"
	"wisteriafield/internal/decision/answermemory"
	"wisteriafield/internal/decision/link"
	"wisteriafield/internal/decision/suspicion"
)

const (
	maxEventsAhead = 16 // read from the engine but not yet forwarded
	// maxOverlap bounds how long a silent engine keeps the stream while the next one, which
	// may work on it, has not answered.
	maxOverlap = 300 * time.Millisecond
)

// attempt is one attempt to get the stream from an engine.
type attempt struct {
	ctx         context.Context // ends with the attempt
	cancel      context.CancelFunc
	target      *registry.Entry
	backup      *registry.Entry // that gets the attempt's backup; may be nil
	restoreFrom *server.KVBackup
	sentAt      time.Time
	startEvent  int            // last event that the caller had
	events      int            // forwarded when the attempt was left for the silence of its engine
	answer      *server.Answer // nil until the engine begins to answer
	replacement *replacementBackup
	load        *registry.Attempt
	placed      *placed
	memory      *answermemory.Account // of the events that were read and not yet forwarded
	reads       chan readResult
	reports     chan server.Report
	detector    *suspicion.Detector
	arrivals    *link.StreamObserver
}

// eventOverhead is the memory that an event takes, by its length: its buffer grows by doubling.
const eventOverhead = 2

// accountedReader counts what is read of an answer until its events are forwarded.
type accountedReader struct {
	io.Reader
	memory *answermemory.Account
}

func (r accountedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if growErr := r.memory.Grow(eventOverhead * n); growErr != nil {
		return 0, growErr
	}
	return n, err
}

// readResult is sent by the goroutine that reads an answer: the answer's head first,
// then its events, and last an error.
type readResult struct {
	answer *server.Answer
	event  sse.Event
	err    error
	held   bool // with err: the caller may be the cause
}

// begin sends the request to an engine.
func (s *stream) begin(ctx context.Context, target *registry.Entry, restoreFrom *server.KVBackup) *attempt {
	if s.silent != nil && s.silent.target.Key() == target.Key() {
		s.endSilent()
	}
	a := &attempt{
		target: target, restoreFrom: restoreFrom, startEvent: s.lastEventID,
		reads: make(chan readResult, maxEventsAhead), reports: make(chan server.Report, 4),
		arrivals: s.relay.cfg.Links.ObserveStream(target.Domain),
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.memory = s.relay.cfg.Memory.Open(a.breakOff)
	dispatch := server.Dispatch{Request: s.req, Server: &target.Server, LastEventID: s.lastEventID, RestoreFrom: restoreFrom}
	if s.resumable() {
		service := s.service.Name
		dispatch.MayRepeat = func() bool { return s.relay.cfg.RetryBudget.Allow(service, time.Now()) }
	}
	a.backup = s.chooseBackup(a.ctx, target)
	if a.backup != nil {
		dispatch.BackupServer = &a.backup.Server
	}
	s.logDispatch(target, a.backup, restoreFrom)
	s.publishSession(target, a.backup)
	queuedTokens := s.req.PromptTokens
	if restoreFrom != nil {
		queuedTokens = 0
	}
	a.load = target.Load.BeginAttempt(queuedTokens, s.req.PromptTokens)
	a.placed = s.place(target, queuedTokens, false, s.choice.offer)
	go s.readAnswer(a, dispatch)
	a.sentAt = time.Now()
	a.load.RecordSent(a.sentAt)
	a.detector = suspicion.NewDetector(s.timeouts(), a.sentAt)
	return a
}

// end ends the attempt: its engine stops working on it.
func (a *attempt) end() {
	a.cancel()
	a.load.End()
	a.placed.end()
	a.memory.Close()
}

// breakOff ends the reading of the answer and drops the events that wait.
func (a *attempt) breakOff() {
	a.cancel()
	for {
		select {
		case <-a.reads:
		default:
			return
		}
	}
}

// follow forwards the events of an attempt, until the stream is complete or the attempt has
// failed, and ends it. Only one goes on whose silent engine is left for another one.
func (s *stream) follow(a *attempt) (r result) {
	defer func() {
		r.replacement, r.events, r.began, r.sentAt = a.replacement, s.lastEventID-a.startEvent, a.answer != nil, a.sentAt
		if !r.goesOn {
			// The reader may report the end of the context as that of the answer.
			r.callerDisconnected = r.callerDisconnected || r.outcome == lost && a.ctx.Err() != nil && !a.memory.Broken()
			a.end()
		}
		if s.unflushed && r.outcome != finished {
			_ = s.flush() // a caller that has left ends the context
		}
	}()
	domainAlert := make(chan time.Time, 1)
	defer s.relay.listeners.add(a.target.Domain, domainAlert)()
	var overlapEnd <-chan time.Time
	if s.silent != nil {
		overlapEnd = time.After(maxOverlap)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case got := <-a.reads:
			if r, ok := s.handleRead(a, got); !ok {
				return r
			}
		case report := <-a.reports:
			a.detector.ObserveReply(time.Now(), s.classifyReport(report))
		case now := <-domainAlert:
			a.detector.ProbeNow(now)
		case <-overlapEnd:
			s.endSilent()
		case <-timer.C:
		case <-a.ctx.Done():
			if a.memory.Broken() {
				return result{outcome: lost, reason: answermemory.ErrExhausted.Error(), backup: a.backup}
			}
			return result{outcome: lost, reason: "caller left or time is up", backup: a.backup, callerDisconnected: true}
		}
		verdict, at := a.detector.Evaluate(time.Now())
		switch verdict {
		case suspicion.Probe:
			go s.probe(a.ctx, a.target, a.reports)
		case suspicion.Lost:
			if len(a.reads)+len(a.reports) > 0 {
				break // this router was held up
			}
			unresponsive := a.detector.ProbePending()
			if decision := s.decideSilent(a.target, a.detector); decision != suspicion.Keep {
				return result{outcome: lost, reason: "silent", backup: a.backup, silent: true, unresponsive: unresponsive, doubted: a.detector.Doubted(), goesOn: decision == suspicion.Retry}
			}
			if unresponsive {
				s.recordUnresponsive(a.target, time.Now())
			}
			a.detector.Hold(time.Now())
			_, at = a.detector.Evaluate(time.Now())
		}
		timer.Reset(time.Until(at))
	}
}

// handleRead handles what was read of the answer. It returns false and the attempt's result
// if the attempt has ended.
func (s *stream) handleRead(a *attempt, got readResult) (result, bool) {
	if a.memory.Broken() { // events may be missing
		return result{outcome: lost, reason: answermemory.ErrExhausted.Error(), backup: a.backup}, false
	}
	defer a.memory.Shrink(eventOverhead * len(got.event.Raw))
	if got.answer != nil {
		s.relay.cfg.Limits.ObserveAnswer(&a.target.Server, got.answer, a.sentAt)
		if got.answer.Status != http.StatusOK || !got.answer.Signed || got.answer.Mismatched || !s.continues(got.answer) {
			return s.classifyAnswer(got.answer, a.backup, a.cancel), false
		}
		s.endSilent()
		a.answer = got.answer
		return result{}, true
	}
	if got.err != nil && got.err != io.EOF && s.cutForCaller(a.ctx, got, a.target) {
		return result{outcome: lost, reason: "caller reads too slowly: " + got.err.Error(), callerDisconnected: true, callerSlow: true}, false
	}
	if got.err != nil {
		return s.classifyReadError(a.ctx, got.err, a.answer, a.target, a.backup), false
	}
	now := time.Now()
	a.arrivals.ObserveEvent(now)
	a.load.RecordEvent(now, s.eventTokens())
	a.target.Load.RecordAnswer(now)
	a.placed.recordEvent()
	if got.event.ID == 0 && a.startEvent > 0 && s.lastEventID == a.startEvent {
		return result{outcome: lost, reason: "resumed stream begins without an ID", backup: a.backup}, false
	}
	if r, ok := s.forwardEvent(got.event, a.answer, len(a.reads) == 0); !ok {
		r.backup = a.backup
		return r, false
	}
	a.detector.ObserveEvent(time.Now()) // a slow caller is not the engine's silence
	s.recordEvent(now, a.target)
	s.relay.cfg.Quarantine.ServerAnswered(s.req, s.lastEventID-a.startEvent)
	if a.replacement == nil {
		a.replacement = s.monitorBackup(a.ctx, a.target, a.backup)
	}
	return result{}, true
}

// readAnswer sends the request and reads the answer until it ends.
func (s *stream) readAnswer(a *attempt, dispatch server.Dispatch) {
	send := func(r readResult) bool {
		select {
		case a.reads <- r:
			return true
		case <-a.ctx.Done():
			return false
		}
	}
	answer, err := s.relay.cfg.Client.Send(a.ctx, dispatch)
	if err != nil {
		send(readResult{err: err})
		return
	}
	if !send(readResult{answer: answer}) || answer.Status != http.StatusOK {
		if a.ctx.Err() != nil {
			answer.Body.Close()
		}
		return
	}
	defer answer.Body.Close()
	events := sse.NewReader(accountedReader{answer.Body, a.memory})
	var held hold
	for {
		start := time.Now()
		event, err := events.Next()
		end := time.Now()
		if !send(readResult{event: event, err: err, held: err != nil && held.explains(end)}) || err != nil {
			return
		}
		held.observe(start, end, time.Now())
	}
}
