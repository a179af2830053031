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

// call is one caller's request, over all its sends.
type call struct {
	f        *Forwarder
	req      *server.Request
	service  *routes.Service
	excluded map[server.Key]bool
	ran      int // sends that may have run
	arrived  int // sends that may have reached a server
	refusals int
	last     outcome // the best answer so far
	sent     bool
}

// once sends a request that may not repeat: to another server only while no
// server may have run it.
func (c *call) once(ctx context.Context) {
	for ctx.Err() == nil && c.refusals < maxRefusals {
		if c.arrived > 0 && !c.mayRepeat() {
			return
		}
		e := c.f.choose(c.service.Name, c.excluded)
		if e == nil {
			return
		}
		c.take(c.f.send(ctx, c.req, e))
		if c.ran > 0 {
			return
		}
		c.excluded[e.Key()] = true
	}
}

// take notes what came of a send.
func (c *call) take(o outcome) {
	c.sent = true
	if !errors.Is(o.err, server.ErrNotSent) {
		c.arrived++
	}
	if o.notRun || errors.Is(o.err, server.ErrNotSent) {
		c.refusals++
		if c.ran == 0 {
			c.last = o
		}
		return
	}
	c.ran++
	if c.last.server == nil || !c.last.good() || !o.failed() {
		c.last = o
	}
}

// repeatable sends a request until one server answers well. A server that takes
// long gets company.
func (c *call) repeatable(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan outcome, c.req.Route.Attempts+maxRefusals)
	running := 0
	start := func(repeat bool) bool {
		if repeat && !c.mayRepeat() {
			return false
		}
		e := c.f.choose(c.service.Name, c.excluded)
		if e == nil {
			return false
		}
		c.excluded[e.Key()] = true
		running++
		go func(e *registry.Entry) { results <- c.f.send(ctx, c.req, e) }(e)
		return true
	}
	if !start(false) {
		return
	}
	hedge := time.NewTimer(time.Duration(hedgeFactor * float64(c.req.Route.Goal)))
	defer hedge.Stop()
	for running > 0 {
		select {
		case o := <-results:
			running--
			c.take(o)
			if !c.last.failed() {
				return
			}
			if c.refusals < maxRefusals && c.ran+running < c.req.Route.Attempts {
				start(c.arrived+running > 0)
			}
		case <-hedge.C:
			if c.ran+running < c.req.Route.Attempts {
				start(true)
			}
		case <-ctx.Done():
			c.ran += running // they may run still
			return
		}
	}
}

// mayRepeat takes a send to another server from the budget of repeats.
func (c *call) mayRepeat() bool {
	if !c.f.cfg.RetryBudget.Allow(c.service.Name, time.Now()) {
		return false
	}
	repeatsTotal.Inc()
	return true
}

// answer tells the caller.
func (c *call) answer(w http.ResponseWriter, ctx context.Context) {
	switch {
	case c.last.server != nil && c.last.good():
		if c.last.failed() {
			c.f.cfg.Log.WithField("id", c.req.ID).WithField("status", c.last.status).WithField("server", c.last.server.ID).
				WithField("sends", c.ran).WithField("allowed", c.req.Route.Attempts).Info("server's failure passed on")
		}
		answerSeconds.Update(time.Since(c.req.ArrivedAt).Seconds())
		for name, values := range c.last.header {
			w.Header()[name] = values
		}
		if _, ok := c.last.header["Content-Type"]; !ok {
			w.Header()["Content-Type"] = nil // keeps the library from guessing one
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(c.last.body)))
		w.WriteHeader(c.last.status)
		_, _ = w.Write(c.last.body)
		return
	case c.ran == 0:
		refusedTotal.Inc()
		c.f.cfg.Log.WithField("id", c.req.ID).WithField("refusals", c.refusals).WithField("config", c.req.ConfigVersion).
			WithField("servers", c.f.cfg.Servers.Revision()).Info("refused")
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	case ctx.Err() != nil:
		c.fail(w, http.StatusGatewayTimeout)
	default:
		c.fail(w, http.StatusBadGateway)
	}
}

// fail tells the caller that the request may have run.
func (c *call) fail(w http.ResponseWriter, status int) {
	lostTotal.Inc()
	c.f.cfg.Log.WithField("id", c.req.ID).WithField("status", status).WithField("sends", c.ran).
		WithError(c.last.err).WithField("ageMs", time.Since(c.req.ArrivedAt).Milliseconds()).Info("answer lost")
	w.WriteHeader(status)
}
