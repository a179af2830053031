package edge

import (
	"errors"
	"io"
	"log"
	"net/http"
	"time"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/caller/http1"
	"wisteriafield/internal/config/routes"
	"wisteriafield/internal/decision/drain"
)

const (
	// lameDuck is how long callers may still be sent here after the readiness check
	// fails: two checks one second apart, and a margin.
	lameDuck = 3 * time.Second
	// signalDelay is how late a busy router may handle the stop signal.
	signalDelay = 250 * time.Millisecond
	// killMargin is the time between the end of the drain and the platform's kill.
	killMargin = 300 * time.Millisecond
	// refusalTime is enough to read and refuse a request of the last new connection.
	refusalTime = 500 * time.Millisecond
	// failureTime is enough to answer the requests that could not be completed.
	failureTime = 150 * time.Millisecond
)

// errStopped ends the requests that are left at the end of the drain.
var errStopped = errors.New("router has stopped")

// handleReadiness returns 200 while this router serves: it has a configuration and a
// server list and is not stopping.
func (e *Edge) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.Stopping() || !e.joined() || e.routeTable.Load() == nil || !e.serversLoaded.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// accepts reports whether a request can end before this process does. The time that a
// stream takes is an estimate, so if it may have come after the lame duck, its deadline counts.
func (e *Edge) accepts(req *server.Request, now time.Time) bool {
	stoppingSince := e.stoppingAt.Load()
	if stoppingSince == 0 {
		return true
	}
	stoppingAt := time.Unix(0, stoppingSince)
	left := stoppingAt.Add(e.cfg.Grace - killMargin).Sub(now)
	if req.Route.Kind == routes.Streaming && now.Before(stoppingAt.Add(lameDuck-signalDelay)) {
		return drain.FitsGeneration(left, req.PromptTokens, req.MaxOutputTokens)
	}
	return drain.FitsCall(left, req.Deadline.Sub(now))
}

// drain waits until the callers' connections have ended, at most until killMargin before the
// end of the grace time. Answers tell callers to close their connections. New ones are not
// accepted from refusalTime before the end. Requests that are left at the end are answered
// with a failure or, if they were not read completely, refused. Answers that have begun are
// cut.
func (e *Edge) drain(now time.Time) {
	e.stoppingAt.Store(now.UnixNano())
	e.logger("node").WithField("active", e.activeRequests.Load()).Info("router is stopping")
	end := now.Add(e.cfg.Grace - killMargin)
	e.callerConns.Drain(http1.Schedule{LameDuckEnd: now.Add(lameDuck), AcceptEnd: end.Add(-refusalTime), End: end}, e.logger("node"))
	left := e.callerConns.Count()
	e.logger("node").WithField("active", e.activeRequests.Load()).WithField("reading", left[http1.Reading]).
		WithField("serving", left[http1.Serving]).Info("router has drained")
	e.cancelRequests(errStopped)
	e.callerConns.EndReading(time.Now().Add(failureTime))
}

// discardLogger drops the HTTP library's messages about connections that callers broke.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
