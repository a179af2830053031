package keeper

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/decision/admission"
	"wisteriafield/internal/decision/suspicion"
)

const (
	// silentCause is the cause of an attempt whose engine was silent.
	silentCause = "silent, probe failed"
	// reprobeDelay is the time from a probe without a reply to the next one.
	reprobeDelay = 100 * time.Millisecond
	// maxAlternativesAsked bounds the engines that are asked whether they answer.
	maxAlternativesAsked = 3
)

// isTimeout reports whether a probe got no reply in time, as from an engine that is silent for a
// moment.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// decideSilent abandons an attempt whose engine left a probe unanswered, or probes it again.
func (w *watchdog) decideSilent(before int) {
	w.k.markDown(w.attempt.serverName())
	overdue := w.overdue(time.Now())
	overdue.Alternative = true
	if overdue.Decide() == suspicion.Retry {
		overdue.Alternative = w.k.alternativeAnswers(w.ctx, w.attempt)
		overdue.Unheard = w.overdue(time.Now()).Unheard
	}
	switch {
	case w.ctx.Err() != nil || w.progressedSince(before):
	case overdue.Decide() == suspicion.Retry:
		w.attempt.silent.Store(true)
		w.abandon(silentCause)
	default:
		w.timer.Reset(reprobeDelay)
	}
}

// overdue records a probe without a reply and returns what is known of the attempt.
func (w *watchdog) overdue(now time.Time) suspicion.Overdue {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.missedAt = now
	redo := w.firstToken
	if w.tokenCount == 0 {
		redo = w.heardAt.Sub(w.startedAt)
	}
	return suspicion.Overdue{Unheard: now.Sub(w.heardAt), Redo: redo}
}

// recordReply records a reply to a probe. It returns for how long the engine has made no
// progress while it answered.
func (w *watchdog) recordReply(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt = now
	if w.missedAt.After(w.lastProgressAt) {
		return now.Sub(w.missedAt)
	}
	return now.Sub(w.lastProgressAt)
}

// alternativeAnswers reports whether another engine that has room for an attempt answers now: one
// of this keeper, or of another one if this keeper has none that is free.
func (k *Keeper) alternativeAnswers(ctx context.Context, a *attempt) bool {
	k.mu.Lock()
	item := k.queueItem(a.req, time.Now())
	item.Class = admission.Resume
	engines := k.queue.FreeServers(item, a.serverName())
	if len(engines) == 0 {
		engines = k.foreignEngines(a.req)
	}
	k.mu.Unlock()
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	engines = engines[:min(len(engines), maxAlternativesAsked)]
	answers := make(chan bool, len(engines))
	for _, name := range engines {
		go func() {
			load, err := k.deps.Engines.Load(ctx, k.engineAddress(name))
			answers <- err == nil && !load.Leaving && load.Running+load.Waiting < load.Slots
		}()
	}
	for range engines {
		if <-answers {
			return true
		}
	}
	return false
}

// foreignEngines returns the engines of other keepers that may run a request. The caller holds mu.
func (k *Keeper) foreignEngines(req Request) []string {
	view := k.deps.View()
	if view == nil {
		return nil
	}
	var names []string
	for i := range view.Engines {
		e := &view.Engines[i]
		if e.Environment != k.deps.Members.Self().Environment || !slices.Contains(e.Models, req.Model) || k.queue.Server(e.Name) != nil || k.isLeaving(e.Name) {
			continue
		}
		if version, ok := k.deps.ModelVersion(e.Name, req.Model); ok && version == req.Version {
			names = append(names, e.Name)
		}
	}
	return names
}
