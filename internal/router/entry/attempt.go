package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/admission"
	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/decision/resume"
	"wisteriafield/internal/router/keeper"
	"wisteriafield/internal/router/stream"
)

// noKeeperRetryDelay is the delay before the next choice of a keeper if no server
// carries the model.
const noKeeperRetryDelay = 200 * time.Millisecond

// runAttempt starts an attempt at a keeper and accepts its tokens until it ends.
func (g *Generation) runAttempt(act resume.Action) resume.Event {
	choice, ok := g.entry.chooseKeeper(&g.req, act)
	if !ok {
		return resume.Event{Kind: resume.Refused, RetryAt: time.Now().Add(noKeeperRetryDelay)}
	}
	g.fromReplica = false
	req := g.keeperRequest(act, choice)
	if err := g.Replica.Open(req.Attempt); err != nil {
		return resume.Event{Kind: resume.Lost, Keeper: choice.name, Reason: err.Error()}
	}
	events, err := g.startAt(choice.name, req)
	if err != nil {
		g.close()
		g.entry.deps.Members.RecordFailure(choice.name, time.Now())
		gone := choice.name != g.entry.deps.Members.Self().Name && !errors.Is(err, stream.ErrUnexpectedStatus)
		return resume.Event{Kind: resume.Lost, Keeper: choice.name, KeeperGone: gone, Reason: err.Error()}
	}
	event := g.consume(events, choice.name)
	events.Close()
	if event.Kind == resume.Lost && event.Reason == reasonSilent && g.ctx.Err() == nil {
		event = g.refollow(event)
	}
	if g.ctx.Err() != nil {
		g.cancelAt(choice.name, req.Attempt)
	}
	g.close()
	return event
}

// keeperRequest returns the request for the next attempt at a keeper.
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
		req.Replaces = g.replacedAttempt()
	}
	return req
}

// replacedAttempt returns the last attempt that gave tokens, so that its engine can
// cancel it, or nil.
func (g *Generation) replacedAttempt() *keeper.Replaced {
	g.mu.Lock()
	server := g.server
	g.mu.Unlock()
	segments := g.Replica.Prefix()
	if server == "" || len(segments) == 0 {
		return nil
	}
	return &keeper.Replaced{Server: server, Attempt: segments[len(segments)-1].Attempt}
}

// startAt starts an attempt at a keeper, which may be this router.
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

// cancelAt cancels an attempt at a keeper, which may be this router.
func (g *Generation) cancelAt(name, attempt string) {
	if name == g.entry.deps.Members.Self().Name {
		g.entry.deps.LocalKeeper.Cancel(attempt)
		return
	}
	if h, ok := g.entry.deps.Members.Host(name); ok {
		_ = g.entry.deps.RemoteKeepers.Cancel(h.PeerAddress, attempt)
	}
}

// close closes the open attempt of the replica.
func (g *Generation) close() {
	g.Replica.Update(func(a *generation.Answer) { a.Close() })
}

// reasonSilent is the reason of a stream that stopped without a final event; the
// keeper may still run the attempt.
const reasonSilent = "keeper silent"

// consume handles the events of a stream until it ends. Cancelling the generation
// closes the stream.
func (g *Generation) consume(events keeper.Stream, source string) resume.Event {
	stop := context.AfterFunc(g.ctx, events.Close)
	defer stop()
	tokens := 0
	for {
		event, err := events.Next()
		if err != nil {
			return resume.Event{Kind: resume.Lost, Keeper: source, KeeperGone: true, Reason: reasonSilent}
		}
		switch event.Kind {
		case keeper.Started:
			g.handleStarted(event, source)
		case keeper.Prefix:
			if !g.mergePrefix(event) {
				return resume.Event{Kind: resume.Lost, Reason: "copies differ"}
			}
		case keeper.Token:
			if !g.acceptToken(event.Token) {
				return resume.Event{Kind: resume.Lost, Reason: "token out of order"}
			}
			tokens++
			g.entry.deps.Quarantine.ServerAnswered(g.suspect, tokens)
		case keeper.Done:
			g.Replica.Finish(g.Replica.State().Attempt, event.Reason)
			g.entry.deps.Quarantine.ServerFinished(g.suspect)
			return resume.Event{Kind: resume.Done}
		case keeper.Refused:
			return g.handleRefused(event, source)
		case keeper.Lost:
			g.recordCrash(event, source)
			return resume.Event{Kind: resume.Lost, Server: event.Server, Silent: event.Silent, Reason: event.Reason}
		}
	}
}

// recordCrash records a crash that another router saw, which its news would tell too late.
func (g *Generation) recordCrash(event keeper.Event, source string) {
	if event.CrashedAt != 0 && source != g.entry.deps.Members.Self().Name {
		g.entry.deps.Quarantine.ServerLost(g.suspect, &server.Server{ID: event.Server, Started: event.CrashedAt}, 0)
	}
}

// handleStarted records where the attempt runs, in the directory too if the request
// has an idempotency key.
func (g *Generation) handleStarted(event keeper.Event, source string) {
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
		go g.entry.deps.Directory.Update(context.Background(), g.req.directoryKey(), g.directoryRecord())
	}
}

// handleRefused records the keeper's expected wait and returns the refusal.
func (g *Generation) handleRefused(event keeper.Event, source string) resume.Event {
	now := time.Now()
	modelKey := keeper.ModelKey(g.req.Model.Name, g.req.Version, g.req.Adapter)
	g.entry.deps.Waits.Record(source, modelKey, event.ExpectedWait, now)
	if event.Reason == "Stopping" {
		g.entry.deps.Members.RecordFailure(source, now)
	}
	return resume.Event{Kind: resume.Refused, Keeper: source, Server: event.Server, BetterKeeper: event.BetterKeeper, RetryAt: now.Add(event.RetryAfter), Reason: event.Reason}
}

// acceptToken adds a token to the replica. While the generation reads another
// router's replica, it also follows that replica to the next attempt.
func (g *Generation) acceptToken(token generation.Token) bool {
	state := g.Replica.State()
	if g.fromReplica && token.Attempt != state.Attempt && token.Position == state.TokenCount+1 {
		var err error
		g.Replica.Update(func(a *generation.Answer) { err = a.Reopen(token.Attempt) })
		if err != nil {
			return false
		}
	}
	switch g.Replica.Accept(token) {
	case generation.Accepted:
		g.recordResumeGap()
		return true
	case generation.Duplicate:
		return true
	default:
		return false
	}
}

// mergePrefix adds the tokens that another replica has beyond this one. It returns
// false if that replica does not hold this one's last token, or is invalid.
func (g *Generation) mergePrefix(event keeper.Event) bool {
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
		if !g.acceptToken(other.At(position)) {
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
// If the keeper still runs the attempt, no token is generated twice.
func (g *Generation) refollow(event resume.Event) resume.Event {
	name := g.Keeper()
	if name == "" || name == g.entry.deps.Members.Self().Name {
		return event
	}
	events, err := g.entry.follow(name, g.ID, g.req.Organisation.Name)
	if err != nil {
		g.entry.deps.Members.RecordFailure(name, time.Now())
		return event
	}
	defer events.Close()
	refollowsTotal.Inc()
	after := g.consume(events, name)
	if after.Kind == resume.Lost && after.Reason == reasonSilent {
		g.entry.deps.Members.RecordFailure(name, time.Now())
	}
	return after
}
