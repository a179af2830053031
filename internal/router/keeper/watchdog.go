package keeper

import (
	"context"
	"sync"
	"time"

	"wisteriafield/internal/backend/engine"
)

const (
	// stalledFactor is how many silences an engine that answers probes may
	// stay without progress before the attempt moves.
	stalledFactor = 4
	// prefillLimit is the same bound before the first token.
	prefillLimit = 10 * time.Second
	// probeAgain is the pause before a second look at a probe that showed
	// progress, so that tokens on their way can arrive.
	probeAgain = 100 * time.Millisecond
)

// watchdog watches one attempt for silence. When a token is overdue it probes
// the engine on a new connection, since the old one may be silent for good.
type watchdog struct {
	k       *Keeper
	one     *attempt
	address string
	abort   context.CancelFunc
	ctx     context.Context
	end     context.CancelFunc

	mu       sync.Mutex
	lastAt   time.Time
	position int // of the answer, when the last token came
	count    int
	verdict  string
	timer    *time.Timer
}

func newWatchdog(k *Keeper, one *attempt, address string, abort context.CancelFunc) *watchdog {
	ctx, end := context.WithCancel(context.Background())
	w := &watchdog{k: k, one: one, address: address, abort: abort, ctx: ctx, end: end, lastAt: time.Now(), position: one.req.Accepted()}
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Reset(w.patience())
	return w
}

// progress records a token.
func (w *watchdog) progress() {
	now := time.Now()
	w.mu.Lock()
	gap := now.Sub(w.lastAt)
	first := w.count == 0
	w.lastAt = now
	w.count++
	w.position++
	w.mu.Unlock()
	w.k.observe(w.one.serverName(), gap, first)
	w.timer.Reset(w.patience())
}

// patience returns how long to wait for the next token before a probe.
func (w *watchdog) patience() time.Duration {
	w.mu.Lock()
	first := w.count == 0
	w.mu.Unlock()
	w.k.mu.Lock()
	defer w.k.mu.Unlock()
	s := w.k.queue.Server(w.one.serverName())
	if s == nil {
		return time.Second
	}
	if first {
		return s.Pace.FirstTokenTimeout()
	}
	return s.Pace.TokenTimeout()
}

func (w *watchdog) stop() {
	w.end()
	w.timer.Stop()
}

// cause returns why the stream ended: the watchdog's verdict, or the error.
func (w *watchdog) cause(err error) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.verdict != "" {
		return w.verdict
	}
	return "connection: " + err.Error()
}

// check runs when a token is overdue.
func (w *watchdog) check() {
	if w.ctx.Err() != nil {
		return
	}
	before, silentFor := w.snapshot()
	probesTotal.Inc()
	p, err := w.k.deps.Engines.AttemptProgress(w.ctx, w.address, w.one.req.Generation, w.one.req.Attempt)
	if w.ctx.Err() != nil || w.moved(before) {
		return
	}
	switch {
	case err != nil:
		w.giveUp("silent, probe failed")
		w.k.markDown(w.one.serverName())
	case p.Position > before:
		w.checkConnection(before)
	case w.stalled(p, silentFor):
		w.giveUp("stalled")
	default:
		w.timer.Reset(w.patience())
	}
}

// checkConnection decides between tokens on their way and a silent connection.
func (w *watchdog) checkConnection(before int) {
	t := time.NewTimer(probeAgain)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.ctx.Done():
		return
	}
	if w.moved(before) {
		return
	}
	w.giveUp("connection went silent")
	go func() {
		_ = w.k.deps.Engines.Cancel(context.Background(), w.address, w.one.req.Generation, w.one.req.Attempt)
	}()
}

func (w *watchdog) stalled(p engine.Progress, silentFor time.Duration) bool {
	if p.Waiting {
		return false
	}
	if p.Position == 0 {
		return silentFor > prefillLimit
	}
	return silentFor > stalledFactor*w.patience()
}

func (w *watchdog) snapshot() (position int, silentFor time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.position, time.Since(w.lastAt)
}

func (w *watchdog) moved(before int) bool {
	position, _ := w.snapshot()
	return position != before
}

func (w *watchdog) giveUp(verdict string) {
	w.mu.Lock()
	w.verdict = verdict
	w.mu.Unlock()
	w.abort()
}
