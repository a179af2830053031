package keeper

import (
	"context"
	"sync"
	"time"

	"wisteriafield/internal/backend/engine"
)

const (
	// stallFactor is the number of silence timeouts without progress after which
	// an attempt is abandoned although its engine answers probes.
	stallFactor = 4
	// prefillTimeout is the corresponding bound before the first token.
	prefillTimeout = 10 * time.Second
	// recheckDelay is the time that tokens on their way get to arrive after a
	// probe showed progress.
	recheckDelay = 100 * time.Millisecond
)

// watchdog detects silence of one attempt's stream. When a token is overdue it
// probes the engine on a new connection, since the old one may never deliver again.
type watchdog struct {
	k            *Keeper
	attempt      *attempt
	address      string
	startedAt    time.Time
	cancelStream context.CancelFunc
	ctx          context.Context
	cancel       context.CancelFunc

	mu             sync.Mutex
	lastProgressAt time.Time
	heardAt        time.Time     // last token or reply, or the start
	missedAt       time.Time     // last probe without a reply; zero if there was none
	firstToken     time.Duration // after the start; zero until it arrived
	position       int           // of the last token that arrived
	tokenCount     int
	lossCause      string // empty until the watchdog abandons the attempt
	timer          *time.Timer
}

func newWatchdog(k *Keeper, attempt *attempt, address string, cancelStream context.CancelFunc) *watchdog {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watchdog{k: k, attempt: attempt, address: address, cancelStream: cancelStream, ctx: ctx, cancel: cancel, position: attempt.req.Accepted()}
	w.startedAt = time.Now()
	w.lastProgressAt, w.heardAt = w.startedAt, w.startedAt
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Reset(w.silenceTimeout())
	return w
}

// recordProgress records the arrival of a token.
func (w *watchdog) recordProgress() {
	now := time.Now()
	w.mu.Lock()
	gap := now.Sub(w.lastProgressAt)
	first := w.tokenCount == 0
	if first {
		w.firstToken = gap
	}
	w.lastProgressAt, w.heardAt = now, now
	w.tokenCount++
	w.position++
	w.mu.Unlock()
	w.k.observeGap(w.attempt.serverName(), gap, first)
	w.timer.Reset(w.silenceTimeout())
}

// tokens returns the number of tokens of this attempt that arrived.
func (w *watchdog) tokens() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tokenCount
}

// silenceTimeout returns how long to wait for the next token before a probe.
func (w *watchdog) silenceTimeout() time.Duration {
	w.mu.Lock()
	first := w.tokenCount == 0
	w.mu.Unlock()
	w.k.mu.Lock()
	defer w.k.mu.Unlock()
	s := w.k.queue.Server(w.attempt.serverName())
	if s == nil {
		return time.Second
	}
	if first {
		return s.Pace.FirstTokenTimeout()
	}
	return s.Pace.TokenTimeout()
}

func (w *watchdog) stop() {
	w.cancel()
	w.timer.Stop()
}

// cause returns why the stream ended: the cause for which the watchdog abandoned
// the attempt, or else the error.
func (w *watchdog) cause(err error) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lossCause != "" {
		return w.lossCause
	}
	return "connection: " + err.Error()
}

// check runs when a token is overdue.
func (w *watchdog) check() {
	if w.ctx.Err() != nil {
		return
	}
	before := w.snapshot()
	probesTotal.Inc()
	progress, err := w.k.deps.Engines.AttemptProgress(w.ctx, w.address, w.attempt.req.Generation, w.attempt.req.Attempt)
	if w.ctx.Err() != nil || w.progressedSince(before) {
		return
	}
	switch {
	case isTimeout(err):
		w.decideSilent(before)
	case err != nil:
		w.k.markDown(w.attempt.serverName())
		w.abandon(silentCause)
	case progress.Position > before:
		w.checkConnection(before)
	case w.stalled(progress, w.recordReply(time.Now())):
		w.abandon("stalled")
	default:
		w.timer.Reset(w.silenceTimeout())
	}
}

// checkConnection distinguishes tokens on their way from a silent connection: it
// abandons the attempt if no token arrives within recheckDelay.
func (w *watchdog) checkConnection(before int) {
	timer := time.NewTimer(recheckDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
		return
	}
	if w.progressedSince(before) {
		return
	}
	w.abandon("connection went silent")
	go func() {
		_ = w.k.deps.Engines.Cancel(context.Background(), w.address, w.attempt.req.Generation, w.attempt.req.Attempt)
	}()
}

// stalled reports whether an engine that answered a probe made no progress for
// too long. A request that waits at the engine is not stalled.
func (w *watchdog) stalled(progress engine.Progress, silentFor time.Duration) bool {
	if progress.Waiting {
		return false
	}
	if progress.Position == 0 {
		return silentFor > prefillTimeout
	}
	return silentFor > stallFactor*w.silenceTimeout()
}

// snapshot returns the position of the last token that arrived.
func (w *watchdog) snapshot() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.position
}

func (w *watchdog) progressedSince(before int) bool { return w.snapshot() != before }

// abandon ends the stream with a cause for the loss of the attempt.
func (w *watchdog) abandon(cause string) {
	w.mu.Lock()
	w.lossCause = cause
	w.mu.Unlock()
	w.cancelStream()
}
