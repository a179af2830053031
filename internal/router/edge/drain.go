package edge

import (
	"io"
	"log"
	"net/http"
	"time"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/drain"
)

const (
	// lameDuck is how long callers may still be sent here after the readiness
	// check fails: two checks a second apart, and some.
	lameDuck = 3 * time.Second
	// killMargin is kept before the platform's kill.
	killMargin = 300 * time.Millisecond
	drainTick  = 20 * time.Millisecond
)

func (e *Edge) answerReady(w http.ResponseWriter, _ *http.Request) {
	if e.Stopping() || e.table.Load() == nil || !e.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// takes refuses what would be cut by the end of this process.
func (e *Edge) takes(req *server.Request, now time.Time) bool {
	at := e.stopAt.Load()
	if at == 0 {
		return true
	}
	left := time.Unix(0, at).Add(e.cfg.Grace - killMargin).Sub(now)
	if req.Route.Kind == routes.Streaming {
		return drain.FitsGeneration(left, req.PromptTokens, req.MaxOutputTokens)
	}
	return drain.FitsCall(left, req.Deadline.Sub(now))
}

// drain lets the requests end that are being answered. Callers are told to
// close their connections with each answer.
func (e *Edge) drain(now time.Time) {
	e.stopAt.Store(now.UnixNano())
	e.part("node").WithField("active", e.active.Load()).Info("stopping")
	end := now.Add(e.cfg.Grace - killMargin)
	idleEnd := now.Add(lameDuck)
	t := time.NewTicker(drainTick)
	defer t.Stop()
	for now := range t.C {
		if now.After(idleEnd) {
			// Closes connections between requests, so that no caller is held here.
			e.callers.SetKeepAlivesEnabled(false)
		}
		if !now.Before(end) || now.After(idleEnd) && e.active.Load() == 0 {
			break
		}
	}
	e.part("node").WithField("active", e.active.Load()).Info("drained")
}

// discardLog drops what the library says of connections that callers broke.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
