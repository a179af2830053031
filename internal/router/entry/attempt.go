package entry

import (
	"context"
	"time"

	"wisteriafield/internal/decision/admission"
	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/decision/resume"
	"wisteriafield/internal/router/keeper"
)

// noKeeperRetry is when to look again if no server carries the model.
const noKeeperRetry = 200 * time.Millisecond

// attempt opens one attempt at a keeper and takes its tokens in until it ends.
func (g *Generation) attempt(act resume.Action) resume.Event {
	choice, ok := g.entry.choose(&g.req, act)
	if !ok {
		return resume.Event{Kind: resume.Refused, RetryAt: time.Now().Add(noKeeperRetry)}
	}
	g.relayed = false
	req := g.keeperRequest(act, choice)
	if err := g.Replica.Open(req.Attempt); err != nil {
		return resume.Event{Kind: resume.Lost, Keeper: choice.name, Reason: err.Error()}
	}
	st, err := g.startAt(choice.name, req)
	if err != nil {
		g.close()
		g.entry.deps.Members.Fail(choice.name, time.Now())
		return resume.Event{Kind: resume.Lost, Keeper: choice.name, Reason: err.Error()}
	}
	event := g.consume(st, choice.name)
	st.Close()
	if event.Kind == resume.Lost && event.Reason == reasonSilent && g.ctx.Err() == nil {
		event = g.refollow(event)
	}
	if g.ctx.Err() != nil {
		g.cancelAt(choice.name, req.Attempt)
	}
	g.close()
	return event
}

func (g *Generation) keeperRequest(act resume.Action, c keeperChoice) keeper.Request {
	req := keeper.Request{
		Generation:   g.ID,
		Attempt:      newAttemptID(),
		Organisation: g.req.Organisation.Name,
		Weight:       g.req.Organisation.Weight,
		Digest:       g.req.Digest,
		Class:        g.req.Class,
		Model:        g.req.Model.Name,
		Version:      g.req.Version,
		Adapter:      g.req.Adapter,
		Prompt:       g.req.Prompt,
		Segments:     g.Replica.Prefix(),
		MaxTokens:    g.req.MaxTokens,
		StartBy:      act.StartBy,
		OnlyFree:     !act.Queue && g.entry.twoHop(),
		Servers:      c.servers,
		Avoid:        act.Avoid,
	}
	if act.Resume {
		req.Class = admission.Resume
		req.Replaces = g.replaced()
	}
	return req
}

// replaced names the last attempt that ran, so that its engine can drop it.
func (g *Generation) replaced() *keeper.Replaced {
	g.mu.Lock()
	server := g.server
	g.mu.Unlock()
	segments := g.Replica.Prefix()
	if server == "" || len(segments) == 0 {
		return nil
	}
	return &keeper.Replaced{Server: server, Attempt: segments[len(segments)-1].Attempt}
}

func (g *Generation) startAt(name string, req keeper.Request) (keeper.Stream, error) {
	if name == g.entry.deps.Members.Self().Name {
		return g.entry.deps.LocalKeeper.Start(req)
	}
	h, ok := g.entry.deps.Members.Host(name)
	if !ok {
		return nil, ErrGone
	}
	return g.entry.deps.RemoteKeepers.Start(h.PeerAddress, req)
}

func (g *Generation) cancelAt(name, attempt string) {
	if name == g.entry.deps.Members.Self().Name {
		g.entry.deps.LocalKeeper.Cancel(attempt)
		return
	}
	if h, ok := g.entry.deps.Members.Host(name); ok {
		_ = g.entry.deps.RemoteKeepers.Cancel(h.PeerAddress, attempt)
	}
}

func (g *Generation) close() {
	g.Replica.Update(func(a *generation.Answer) { a.Close() })
}

// reasonSilent marks a stream that stopped without an end; the keeper may still
// run the attempt.
const reasonSilent = "keeper silent"

// consume takes the events of a stream until it ends. Closing the generation
// ends the stream.
func (g *Generation) consume(st keeper.Stream, source string) resume.Event {
	stop := context.AfterFunc(g.ctx, st.Close)
	defer stop()
	for {
		event, err := st.Next()
		if err != nil {
			return resume.Event{Kind: resume.Lost, Keeper: source, Reason: reasonSilent}
		}
		switch event.Kind {
		case keeper.Started:
			g.started(event, source)
		case keeper.Prefix:
			if !g.merge(event) {
				return resume.Event{Kind: resume.Lost, Reason: "copies differ"}
			}
		case keeper.Token:
			if !g.take(event.Token) {
				return resume.Event{Kind: resume.Lost, Reason: "token out of order"}
			}
		case keeper.Done:
			g.Replica.Finish(g.Replica.State().Attempt, event.Reason)
			return resume.Event{Kind: resume.Done}
		case keeper.Refused:
			return g.refused(event, source)
		case keeper.Lost:
			return resume.Event{Kind: resume.Lost, Server: event.Server, Reason: event.Reason}
		}
	}
}

func (g *Generation) started(event keeper.Event, source string) {
	g.machine.MarkStarted()
	name := source
	if event.Keeper != "" {
		name = event.Keeper
	}
	g.mu.Lock()
	g.keeper, g.server = name, event.Server
	g.mu.Unlock()
	g.entry.deps.Members.Suspects.RecordSuccess(source)
	if g.req.Key != "" && event.Keeper == "" {
		go g.entry.deps.Directory.Moved(context.Background(), g.req.directoryKey(), g.record())
	}
}

func (g *Generation) refused(event keeper.Event, source string) resume.Event {
	now := time.Now()
	needs := keeper.ModelKey(g.req.Model.Name, g.req.Version, g.req.Adapter)
	g.entry.deps.Waits.Record(source, needs, event.ExpectedWait, now)
	if event.Reason == "Stopping" {
		g.entry.deps.Members.Fail(source, now)
	}
	return resume.Event{Kind: resume.Refused, Keeper: source, Server: event.Server, Better: event.BetterKeeper, RetryAt: now.Add(event.RetryAfter), Reason: event.Reason}
}

// take splices one token in. A relayed answer moves on to another attempt when
// the entry that drives it did.
func (g *Generation) take(t generation.Token) bool {
	state := g.Replica.State()
	if g.relayed && t.Attempt != state.Attempt && t.Position == state.TokenCount+1 {
		var err error
		g.Replica.Update(func(a *generation.Answer) { err = a.Reopen(t.Attempt) })
		if err != nil {
			return false
		}
	}
	switch g.Replica.Accept(t) {
	case generation.Accepted:
		g.noteToken()
		return true
	case generation.Duplicate:
		return true
	default:
		return false
	}
}

// merge takes in what another copy has beyond this one. It refuses a copy that
// does not hold this one's last token.
func (g *Generation) merge(event keeper.Event) bool {
	other, err := generation.New(g.ID, event.Segments)
	if err != nil {
		return false
	}
	count := g.Replica.State().TokenCount
	if count > 0 {
		if prefix := g.Replica.Prefix(); !other.Contains(prefix[len(prefix)-1].Attempt, count) {
			return false
		}
	}
	for position := count + 1; position <= other.Count(); position++ {
		if !g.take(other.At(position)) {
			return false
		}
	}
	if g.Replica.State().Attempt == event.Attempt {
		return true
	}
	g.Replica.Update(func(a *generation.Answer) { err = a.Reopen(event.Attempt) })
	return err == nil
}

// refollow opens a new connection to the keeper after the old one went silent.
// If the keeper still runs the attempt, nothing is computed again.
func (g *Generation) refollow(event resume.Event) resume.Event {
	name := g.Keeper()
	if name == "" || name == g.entry.deps.Members.Self().Name {
		return event
	}
	st, err := g.entry.follow(name, g.ID, g.req.Organisation.Name)
	if err != nil {
		g.entry.deps.Members.Fail(name, time.Now())
		return event
	}
	defer st.Close()
	refollowsTotal.Inc()
	after := g.consume(st, name)
	if after.Kind == resume.Lost && after.Reason == reasonSilent {
		g.entry.deps.Members.Fail(name, time.Now())
	}
	return after
}
