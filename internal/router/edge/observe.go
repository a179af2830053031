package edge

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/caller/http1"
)

// maxStackBytes bounds the stack in the log line of a panic.
const maxStackBytes = 2 << 10

var (
	handlerPanicsTotal = metrics.NewCounter("wisteriafield_handler_panics_total")
	answersCutTotal    = metrics.NewCounter("wisteriafield_answers_cut_total")
	callersLeftTotal   = metrics.NewCounter("wisteriafield_callers_left_total")
)

// observe wraps the handler of callers' requests. It counts the requests in progress, logs
// the answers that do not reach their callers, and answers for a handler that panics.
func (e *Edge) observe(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.activeRequests.Add(1)
		defer e.activeRequests.Add(-1)
		startedAt := time.Now()
		recorder := &headerRecorder{ResponseWriter: w}
		defer func() {
			p := recover()
			callerLeft := r.Context().Err() != nil && context.Cause(r.Context()) != errStopped
			if p == nil && !callerLeft {
				return
			}
			log := e.logger("front").WithField("id", e.cfg.Protocol.DecodeRequest(r, startedAt).ID).
				WithField("begun", recorder.written).WithField("ms", time.Since(startedAt).Milliseconds()).
				WithField("configMs", e.sinceConfig().Milliseconds()).WithField("stoppingMs", e.sinceStop().Milliseconds())
			switch {
			case p != nil && p != http.ErrAbortHandler:
				logPanic(log, p)
				if !recorder.written {
					clear(w.Header())
					w.WriteHeader(http.StatusBadGateway) // a server may have executed the request
					return
				}
			case callerLeft:
				callersLeftTotal.Inc()
				log.Info("connection ended while its request was served")
			default:
				answersCutTotal.Inc()
				log.Info("answer cut")
			}
			if p != nil {
				http1.ResetOnClose(r)
				panic(http.ErrAbortHandler) // cuts the connection, so that the answer does not look complete
			}
		}()
		h.ServeHTTP(recorder, r)
	})
}

// sinceConfig returns how long the configuration has been in effect, 0 if there is none.
func (e *Edge) sinceConfig() time.Duration { return sinceNanos(e.configSince.Load()) }

// sinceStop returns how long the router has been stopping, 0 if it is not.
func (e *Edge) sinceStop() time.Duration { return sinceNanos(e.stoppingAt.Load()) }

// sinceNanos returns the time since a moment in Unix nanoseconds, 0 if it is not set.
func sinceNanos(at int64) time.Duration {
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
}

// sinceTime returns the time since a moment, 0 if it is not set.
func sinceTime(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return time.Since(at)
}

func logPanic(log *logrus.Entry, p any) {
	handlerPanicsTotal.Inc()
	stack := debug.Stack()
	log.WithField("panic", fmt.Sprint(p)).WithField("stack", string(stack[:min(len(stack), maxStackBytes)])).Error("handler panicked")
}

// headerRecorder records whether the header of an answer was sent.
type headerRecorder struct {
	http.ResponseWriter
	written bool
}

func (w *headerRecorder) WriteHeader(status int) {
	w.written = w.written || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

func (w *headerRecorder) Write(p []byte) (int, error) {
	w.written = true
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the writer's other methods.
func (w *headerRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }
