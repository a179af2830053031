package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/decision/resume"
	"wisteriafield/internal/router/directory"
	"wisteriafield/internal/router/keeper"
	"wisteriafield/internal/router/quarantine"
	"wisteriafield/internal/router/replicas"
)

var (
	generationsTotal = metrics.NewCounter("wisteriafield_generations_total")
	resumesTotal     = metrics.NewCounter("wisteriafield_resumes_total")
	refollowsTotal   = metrics.NewCounter("wisteriafield_refollows_total")
	failuresTotal    = metrics.NewCounter("wisteriafield_generations_failed_total")
	resumeGap        = metrics.NewHistogram("wisteriafield_resume_gap_seconds")
)

// Generation is the answer to one request, which this entry assembles from the
// tokens of one or more attempts.
type Generation struct {
	ID      string
	Replica *replicas.Replica

	entry       *Entry
	req         Request
	suspect     *server.Request // the request, as one that may crash engines
	machine     resume.Machine
	ctx         context.Context
	cancel      context.CancelFunc
	fromReplica bool // the tokens come from another host's replica; used only by the goroutine that runs attempts

	mu      sync.Mutex
	keeper  string // router that manages the last started attempt
	server  string // that runs or ran it
	failure *Failure
	ended   bool
	lostAt  time.Time // when an attempt was lost; zero once a later one delivers
}

// newGeneration registers an empty generation.
func (e *Entry) newGeneration(id string, req Request) *Generation {
	answer, _ := generation.New(id, nil)
	g := e.buildGeneration(id, req, answer)
	generationsTotal.Inc()
	e.register(g)
	return g
}

// adoptReplica builds a generation from the first event of another host's replica.
func (e *Entry) adoptReplica(req Request, id string, firstEvent keeper.Event) (*Generation, error) {
	answer, err := generation.New(id, firstEvent.Segments)
	if err != nil {
		return nil, err
	}
	if err := answer.Reopen(firstEvent.Attempt); err != nil {
		return nil, err
	}
	g := e.buildGeneration(id, req, answer)
	g.keeper, g.server = firstEvent.Keeper, firstEvent.Server
	g.machine.Adopt(time.Now())
	return g, nil
}

// buildGeneration returns a generation that is not registered.
func (e *Entry) buildGeneration(id string, req Request, answer *generation.Answer) *Generation {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Generation{
		ID: id, Replica: replicas.New(req.Organisation.Name, req.Digest, answer),
		entry: e, req: req, ctx: ctx, cancel: cancel,
		suspect: quarantine.Identify(id, req.Organisation.Name, req.Digest),
		machine: resume.Machine{StartBy: req.StartBy, AnswerBy: req.AnswerBy},
	}
	if v := e.deps.View(); v != nil {
		g.machine.ResumeWait = v.Policy.ResumeWait
	}
	return g
}

// Keeper returns the router that manages the attempt and has the other replica.
func (g *Generation) Keeper() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keeper
}

// Ended reports whether the generation is complete, failed or cancelled.
func (g *Generation) Ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// Failure returns why the generation failed, or nil.
func (g *Generation) Failure() *Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failure
}

// EventID returns the event ID under which a caller gets a token.
func (g *Generation) EventID(token generation.Token) string {
	return generation.EventID{Keeper: g.Keeper(), Generation: g.ID, Attempt: token.Attempt, Position: token.Position}.String()
}

// checkCaller returns an error for a caller whose organisation, request or position
// does not match the generation.
func (g *Generation) checkCaller(req Request, lastEvent *generation.EventID) error {
	if g.req.Organisation.Name != req.Organisation.Name {
		return ErrGone
	}
	if g.req.Digest != req.Digest {
		return ErrKeyReused
	}
	if lastEvent != nil && !g.Replica.Holds(lastEvent.Attempt, lastEvent.Position) {
		return ErrWrongGeneration
	}
	return nil
}

// directoryRecord returns where the replicas of the generation are.
func (g *Generation) directoryRecord() directory.Record {
	return directory.Record{Generation: g.ID, Digest: g.req.Digest, Entry: g.entry.deps.Members.Self().Name, Keeper: g.Keeper()}
}

// run runs attempts until the answer is complete or abandoned.
func (g *Generation) run() { g.drive(resume.Event{Kind: resume.Begin}) }

// runFromReplica reads another host's replica, and runs attempts if the answer is
// not complete then.
func (g *Generation) runFromReplica(events keeper.Stream, source string) {
	g.fromReplica = true
	event := g.consume(events, source)
	events.Close()
	if event.Kind == resume.Lost && source != g.Keeper() && g.ctx.Err() == nil {
		event = g.refollow(event)
	}
	g.drive(event)
}

// drive carries out the actions of the resume machine until the generation ends.
func (g *Generation) drive(event resume.Event) {
	defer g.markEnded()
	for g.ctx.Err() == nil {
		event.Tokens = g.Replica.State().TokenCount
		if event.Kind == resume.Lost {
			g.recordLoss()
		}
		switch act := g.machine.Next(time.Now(), event); act.Kind {
		case resume.Finish:
			return
		case resume.Fail:
			g.fail(act)
			return
		case resume.Wait:
			loop.SleepUntil(g.ctx, act.Until)
			event = resume.Event{Kind: resume.Tick}
		default:
			if until, refused := g.entry.deps.Quarantine.Refuses(g.suspect); refused {
				g.fail(g.machine.Quarantine(until))
				return
			}
			event = g.runAttempt(act)
		}
	}
	g.Replica.Abort("Cancelled")
}

func (g *Generation) markEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
}

// fail ends the generation without a complete answer.
func (g *Generation) fail(act resume.Action) {
	failuresTotal.Inc()
	g.mu.Lock()
	g.failure = &Failure{Code: act.Code, NotRun: act.NotRun, RetryAt: act.RetryAt}
	g.mu.Unlock()
	g.Replica.Abort(string(act.Code))
}

// recordLoss counts a lost attempt and starts the measurement of the gap.
func (g *Generation) recordLoss() {
	resumesTotal.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lostAt.IsZero() {
		g.lostAt = time.Now()
	}
}

// recordResumeGap records the time without output after a loss, at the first token
// that follows it.
func (g *Generation) recordResumeGap() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lostAt.IsZero() {
		resumeGap.Update(time.Since(g.lostAt).Seconds())
		g.lostAt = time.Time{}
	}
}

func newAttemptID() string { return uuid.NewString() }
