package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
)

// call is one caller's request, over all its attempts.
type call struct {
	f         *Forwarder
	req       *server.Request
	service   *routes.Service
	excluded  map[server.Key]bool
	executed  int    // attempts that a server may have executed
	delivered int    // attempts that may have reached a server
	refusals  int    // attempts that no server executed
	unused    int    // retries within the budget that were not sent
	crashes   int    // servers that were lost while they ran it
	best      result // the best result so far
	attempted bool
	denied    bool      // the budget had no retry when it was last asked
	takenAt   time.Time // when the last retry was taken from the budget
	blocked   time.Time // until when the request's prompt is blocked; zero if it is not

	loan        <-chan struct{} // closed when peers may have lent a retry; nil if none were asked
	awaitedLoan bool            // the call has waited for a loan without another retry in sight
}

// errAnswered ends the attempts of a call that another attempt has answered.
var errAnswered = errors.New("another server has answered the call")

// runNonIdempotent sends a request that may be executed at most once. It tries another
// server only while no server can have executed the request.
func (c *call) runNonIdempotent(ctx context.Context) {
	for ctx.Err() == nil && c.refusals < maxRefusals {
		if c.delivered > 0 && !c.spendRetry() {
			return
		}
		e := c.choose()
		if e == nil {
			if c.delivered > 0 {
				c.unused++
			}
			return
		}
		c.recordResult(c.f.runAttempt(ctx, c.req, e, c.delivered > 0))
		if c.executed > 0 {
			return
		}
		c.excluded[e.Key()] = true
	}
}

// choose picks the server of the next attempt, or nil.
func (c *call) choose() *registry.Entry {
	return c.f.choose(c.req, c.service.Name, c.excluded)
}

// recordResult counts an attempt and keeps its result if it is the best so far.
func (c *call) recordResult(r result) {
	c.attempted = true
	if r.crashed {
		c.crashes++
	}
	if !errors.Is(r.err, server.ErrNotSent) {
		c.delivered++
	} else if r.retry {
		c.unused++
	}
	if r.notExecuted || errors.Is(r.err, server.ErrNotSent) {
		c.refusals++
		if c.executed == 0 {
			c.best = r
		}
		return
	}
	c.executed++
	if c.best.server == nil || !c.best.hasAnswer() || !r.failed() {
		r, c.best = c.best, r
	}
	r.body.Release()
}

// runIdempotent sends a request until a server answers without an error. If the first
// answer takes long, the request is hedged at a second server. Once a server has crashed, it
// is at one server at a time, as it may crash each, and goes on to another one only if those
// that have it stay silent for longer than the first crash took. If the budget has no retry,
// it is asked again while an answer may come in time.
func (c *call) runIdempotent(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	results := make(chan result, c.req.Route.MaxAttempts+maxRefusals)
	inFlight := 0
	defer func() { go discard(results, inFlight) }()
	var newestAt time.Time // when the newest attempt was started
	start := func(retry bool) bool {
		c.denied = false
		if retry && !c.spendRetry() {
			return false
		}
		e := c.choose()
		if e == nil {
			if retry {
				c.unused++
			}
			return false
		}
		c.excluded[e.Key()] = true
		inFlight++
		newestAt = time.Now()
		go func(e *registry.Entry) { results <- c.f.runAttempt(ctx, c.req, e, retry) }(e)
		return true
	}
	if !start(false) {
		return
	}
	hedgeDelay := c.hedgeDelay()
	next := time.NewTimer(hedgeDelay) // of a hedge, or of the next question for a retry
	defer next.Stop()
	waiting := false         // for the budget
	maxSilence := hedgeDelay // of a server before another one gets the request
	retry := func() {
		waited := waiting
		waiting = false
		if start(c.delivered+inFlight > 0) {
			if waited {
				next.Reset(maxSilence)
			}
			return
		}
		if askAt := c.askAgainAt(time.Now(), inFlight > 0); !askAt.IsZero() {
			if waiting = true; !waited {
				c.f.cfg.Log.WithField("id", c.req.ID).WithField("sends", c.delivered).WithField("inFlight", inFlight).Info("call waits for a retry")
			}
			next.Reset(time.Until(askAt))
		}
	}
	for inFlight > 0 || waiting {
		select {
		case r := <-results:
			inFlight--
			c.recordResult(r)
			if !c.best.failed() {
				cancel(errAnswered)
				return
			}
			if (c.crashes == 0 || inFlight == 0) && c.attemptsLeft(inFlight) > 0 {
				retry()
			} else {
				waiting = false
			}
			if r.crashed {
				maxSilence = max(hedgeDelay, crashSpread) + time.Since(r.startedAt)
			}
			if c.crashes > 0 && inFlight > 0 {
				next.Reset(time.Until(newestAt.Add(maxSilence)))
			}
		case <-c.loan:
			c.loan = nil
			if waiting && (c.crashes <= 1 || inFlight == 0) && c.attemptsLeft(inFlight) > 0 {
				retry()
			}
		case <-next.C:
			if (c.crashes <= 1 || inFlight == 0) && c.attemptsLeft(inFlight) > 0 {
				retry()
			} else {
				waiting = false
			}
		case <-ctx.Done():
			c.executed += inFlight // servers may still execute them
			return
		}
	}
}

// attemptsLeft returns how many more servers may get the request while it is at some. A server
// that crashed does not count if another one is silent.
func (c *call) attemptsLeft(inFlight int) int {
	if c.refusals >= maxRefusals {
		return 0
	}
	left := c.req.Route.MaxAttempts - c.executed - inFlight
	if inFlight > 0 {
		left += c.crashes
	}
	return left
}

// discard releases the answers of n attempts that nobody waits for any more.
func discard(results <-chan result, n int) {
	for range n {
		r := <-results
		r.body.Release()
	}
}

// writeAnswer writes the best answer to the caller, or a status that says why there is
// none: 503 if no server executed the request, 502 or 504 if one may have.
func (c *call) writeAnswer(w http.ResponseWriter, ctx context.Context) {
	switch {
	case c.best.server != nil && c.best.hasAnswer():
		if c.best.failed() {
			c.f.cfg.Log.WithField("id", c.req.ID).WithField("status", c.best.status).WithField("server", c.best.server.ID).
				WithField("sends", c.executed).WithField("allowed", c.req.Route.MaxAttempts).Info("server error forwarded to caller")
		}
		answerSeconds.Update(time.Since(c.req.ArrivedAt).Seconds())
		for name, values := range c.best.header {
			w.Header()[name] = values
		}
		if _, ok := c.best.header["Content-Type"]; !ok {
			w.Header()["Content-Type"] = nil // keeps net/http from guessing one
		}
		w.Header().Set("Content-Length", strconv.Itoa(c.best.body.Size()))
		w.WriteHeader(c.best.status)
		_, _ = c.best.body.WriteTo(w)
		return
	case c.executed == 0:
		refusedTotal.Inc()
		c.f.cfg.Log.WithField("id", c.req.ID).WithField("refusals", c.refusals).WithField("config", c.req.ConfigVersion).
			WithField("servers", c.f.cfg.Servers.Position().Revision).WithField("era", c.f.cfg.Servers.Position().Era).Info("request refused")
		now := time.Now()
		retryAt := c.blocked
		if retryAt.IsZero() {
			retryAt = c.f.nextAt(c.service.Name, now)
		}
		wait := max(minRetryAfter, retryAt.Sub(now))
		w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	case ctx.Err() != nil:
		c.writeFailure(w, http.StatusGatewayTimeout)
	default:
		c.writeFailure(w, http.StatusBadGateway)
	}
}

// writeFailure tells the caller that a server may have executed the request.
func (c *call) writeFailure(w http.ResponseWriter, status int) {
	lostTotal.Inc()
	c.f.cfg.Log.WithField("id", c.req.ID).WithField("status", status).WithField("sends", c.executed).
		WithError(c.best.err).WithField("ageMs", time.Since(c.req.ArrivedAt).Milliseconds()).Info("request failed: answer lost")
	w.WriteHeader(status)
}
