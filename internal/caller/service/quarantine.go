package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	routed "wisteriafield/internal/backend/server"
	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/router/quarantine"
)

// sparedRetryDelay is the Retry-After of a call that is not sent to the last server.
const sparedRetryDelay = time.Second

// errAnswered ends the attempts of a call that another server has answered.
var errAnswered = errors.New("another server has answered the call")

// blockedError means that a call was not sent because it crashes servers.
type blockedError struct{ until time.Time }

// Error returns what happened.
func (e *blockedError) Error() string { return "the call crashed several servers" }

// Unwrap returns the class of the error.
func (e *blockedError) Unwrap() error { return backend.ErrNotSent }

// blockedUntil returns the end of the block for which a call was not sent.
func blockedUntil(err error) (until time.Time, blocked bool) {
	var e *blockedError
	if errors.As(err, &e) {
		return e.until, true
	}
	return time.Time{}, false
}

func blockedRefusal(until time.Time) *apierror.Error {
	return apierror.NewRetryable(apierror.NotRun, "the call crashed several servers and was not run", until)
}

// digestOf returns the digest of a call, without its caller.
func digestOf(s *document.Service, call backend.Call) string {
	sum := sha256.Sum256([]byte(s.Name + "\n" + call.Method + "\n" + call.Target + "\n" + string(call.Body)))
	return hex.EncodeToString(sum[:])
}

// suspectOf returns a call as one that may crash servers.
func suspectOf(organisation string, s *document.Service, call backend.Call) *routed.Request {
	return quarantine.Identify(s.Name, organisation, digestOf(s, call))
}

// refuses reports whether a call must not be sent to a server of a service now, and until
// when: it crashes servers, or may have crashed all but one.
func (h *Handler) refuses(suspect *routed.Request, s *document.Service) (until time.Time, refused bool) {
	if until, refused := h.deps.Quarantine.Refuses(suspect); refused {
		return until, true
	}
	usable := func() []string { return h.servers.usable(s, h.isLeaving) }
	return time.Now().Add(sparedRetryDelay), h.deps.Quarantine.SparesLastServer(suspect, usable)
}

// observe records what the end of an attempt says of its call: a server that is gone since,
// and was not to leave, may have been crashed by it. Where that is not known yet, the server is
// watched: the attempt was stopped, the check gave no result, or something accepts connections at its
// address. It is not if another one has answered the call.
func (h *Handler) observe(ctx context.Context, suspect *routed.Request, to server, err error) (crashed bool) {
	if err == nil {
		h.deps.Quarantine.ServerFinished(suspect)
		return false
	}
	if isNotSent(err) || h.isLeaving(to.name) || errors.Is(context.Cause(ctx), errAnswered) {
		return false
	}
	watched := &routed.Server{ID: to.name, Address: to.address}
	if ctx.Err() != nil {
		h.deps.Quarantine.AttemptAbandoned(suspect, watched, 0)
		return false
	}
	endedAt := time.Now()
	if listens, err := quarantine.Listens(ctx, to.address); err != nil || listens {
		h.deps.Quarantine.AnswerBrokenOff(suspect, watched, quarantine.BrokenOff{At: endedAt})
		return false
	}
	h.deps.Quarantine.ServerLost(suspect, quarantine.Incarnation(to.name, time.Now()), 0)
	return true
}
