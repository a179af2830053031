package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"wisteriafield/internal/base/loop"
	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/decision/resume"
	"wisteriafield/internal/router/directory"
	"wisteriafield/internal/router/keeper"
	"wisteriafield/internal/router/replicas"
)

var (
	generationsTotal = metrics.NewCounter("wisteriafield_generations_total")
	resumesTotal     = metrics.NewCounter("wisteriafield_resumes_total")
	refollowsTotal   = metrics.NewCounter("wisteriafield_refollows_total")
	failuresTotal    = metrics.NewCounter("wisteriafield_generations_failed_total")
	resumeGap        = metrics.NewHistogram("wisteriafield_resume_gap_seconds")
)

// Generation is one answer that this entry builds.
type Generation struct {
	ID      string
	Replica *replicas.Replica

	entry   *Entry
	req     Request
	machine resume.Machine
	ctx     context.Context
	cancel  context.CancelFunc
	relayed bool // the tokens come from another host's copy; used by the driver only

	mu      sync.Mutex
	keeper  string
	server  string
	failure *Failure
	ended   bool
	lostAt  time.Time // when the attempt was lost; zero while one delivers
}

func (e *Entry) newGeneration(id string, req Request) *Generation {
	answer, _ := generation.New(id, nil)
	g := e.build(id, req, answer)
	generationsTotal.Inc()
	e.register(g)
	return g
}

// adopt builds a generation from another host's copy.
func (e *Entry) adopt(req Request, id string, first keeper.Event) (*Generation, error) {
	answer, err := generation.New(id, first.Segments)
	if err != nil {
		return nil, err
	}
	if err := answer.Reopen(first.Attempt); err != nil {
		return nil, err
	}
	g := e.build(id, req, answer)
	g.keeper, g.server = first.Keeper, first.Server
	g.machine.Adopt(time.Now())
	return g, nil
}

func (e *Entry) build(id string, req Request, answer *generation.Answer) *Generation {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Generation{
		ID: id, Replica: replicas.New(req.Organisation.Name, req.Digest, answer),
		entry: e, req: req, ctx: ctx, cancel: cancel,
		machine: resume.Machine{StartBy: req.StartBy, AnswerBy: req.AnswerBy},
	}
	if v := e.deps.View(); v != nil {
		g.machine.ResumeWait = v.Policy.ResumeWait
	}
	return g
}

// Keeper returns the router that has the other copy.
func (g *Generation) Keeper() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keeper
}

// Ended reports whether the generation runs no more.
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

// EventID names a token of this generation for a caller.
func (g *Generation) EventID(t generation.Token) string {
	return generation.EventID{Keeper: g.Keeper(), Generation: g.ID, Attempt: t.Attempt, Position: t.Position}.String()
}

// check refuses a caller whose organisation, request or position differs.
func (g *Generation) check(req Request, last *generation.EventID) error {
	if g.req.Organisation.Name != req.Organisation.Name {
		return ErrGone
	}
	if g.req.Digest != req.Digest {
		return ErrKeyReused
	}
	if last != nil && !g.Replica.Holds(last.Attempt, last.Position) {
		return ErrWrongGeneration
	}
	return nil
}

func (g *Generation) record() directory.Record {
	return directory.Record{Generation: g.ID, Digest: g.req.Digest, Entry: g.entry.deps.Members.Self().Name, Keeper: g.Keeper()}
}

// run drives attempts until the answer is whole or given up.
func (g *Generation) run() { g.drive(resume.Event{Kind: resume.Begin}) }

// runFrom follows another host's copy first.
func (g *Generation) runFrom(st keeper.Stream, source string) {
	g.relayed = true
	event := g.consume(st, source)
	st.Close()
	if event.Kind == resume.Lost && source != g.Keeper() && g.ctx.Err() == nil {
		event = g.refollow(event)
	}
	g.drive(event)
}

func (g *Generation) drive(event resume.Event) {
	defer g.end()
	for g.ctx.Err() == nil {
		event.Tokens = g.Replica.State().TokenCount
		if event.Kind == resume.Lost {
			g.noteLoss()
		}
		switch act := g.machine.Next(time.Now(), event); act.Kind {
		case resume.Finish:
			return
		case resume.Fail:
			g.fail(act)
			return
		case resume.Wait:
			loop.Until(g.ctx, act.Until)
			event = resume.Event{Kind: resume.Tick}
		default:
			event = g.attempt(act)
		}
	}
	g.Replica.Abort("Cancelled")
}

func (g *Generation) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
}

func (g *Generation) fail(act resume.Action) {
	failuresTotal.Inc()
	g.mu.Lock()
	g.failure = &Failure{Code: act.Code, NotRun: act.NotRun, RetryAt: act.RetryAt}
	g.mu.Unlock()
	g.Replica.Abort(string(act.Code))
}

func (g *Generation) noteLoss() {
	resumesTotal.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lostAt.IsZero() {
		g.lostAt = time.Now()
	}
}

// noteToken records the gap that a loss made, once output goes on.
func (g *Generation) noteToken() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lostAt.IsZero() {
		resumeGap.Update(time.Since(g.lostAt).Seconds())
		g.lostAt = time.Time{}
	}
}

func newAttemptID() string { return uuid.NewString() }
