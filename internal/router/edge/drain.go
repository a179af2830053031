package edge

import (
	"io"
	"log"
	"net/http"
	"time"

	"wisteriafield/internal/backend/server"
)

const (
	// lameDuck is how long callers may still be sent here after the readiness
	// check fails: two checks a second apart, and some.
	lameDuck = 3 * time.Second
	// killMargin is kept before the platform's kill.
	killMargin = 300 * time.Millisecond
	drainTick  = 20 * time.Millisecond

	// What a generation takes, for those that begin while this router stops:
	// prompt tokens read in a ms, time for an output token and beyond both.
	readRate   = 4.5
	tokenTime  = 4600 * time.Microsecond
	streamBase = 300 * time.Millisecond
)

func (e *Edge) answerReady(w http.ResponseWriter, _ *http.Request) {
	if e.Stopping() || e.table.Load() == nil || !e.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// takesStream refuses generations that would be cut by the end of this process.
func (e *Edge) takesStream(req *server.Request, now time.Time) bool {
	at := e.stopAt.Load()
	if at == 0 {
		return true
	}
	end := time.Unix(0, at).Add(e.cfg.Grace - killMargin)
	needed := streamBase + time.Duration(float64(req.PromptTokens)/readRate)*time.Millisecond + time.Duration(req.OutputTokens)*tokenTime
	return now.Add(needed).Before(end)
}

// drain lets the requests end that are being answered. Callers are told to
// close their connections with each answer.
func (e *Edge) drain(now time.Time) {
	e.stopAt.Store(now.UnixNano())
	e.part("node").WithField("active", e.active.Load()).Info("stopping")
	end := now.Add(e.cfg.Grace - killMargin)
	t := time.NewTicker(drainTick)
	defer t.Stop()
	for now := range t.C {
		if !now.Before(end) || now.After(time.Unix(0, e.stopAt.Load()).Add(lameDuck)) && e.active.Load() == 0 {
			break
		}
	}
	e.part("node").WithField("active", e.active.Load()).Info("drained")
}

// discardLog drops what the library says of connections that callers broke.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
