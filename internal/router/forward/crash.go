package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/liveness"
	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/router/quarantine"
)

// crashCheckTimeout bounds the check whether a server that broke off an answer is lost. A host
// whose process is gone refuses a connection within a round trip.
const crashCheckTimeout = 50 * time.Millisecond

// check is what the check after an attempt without a complete answer found, or the text of its error.
type check string

const (
	notChecked check = "" // this router had ended the attempt
	listening  check = "Listening"
	refusing   check = "Refusing"
)

// crashed reports whether the server of an attempt without a complete answer is gone, which may
// be the request's doing, and not only its connection. Where that is not known yet, the server is
// watched: this router has ended the attempt, the check gave no result, or something accepts
// connections, which need not be the server. It is not if another one has answered the request.
func (f *Forwarder) crashed(ctx context.Context, req *server.Request, e *registry.Entry) (crashed bool, c check) {
	if errors.Is(context.Cause(ctx), errAnswered) {
		return false, notChecked
	}
	if ctx.Err() != nil {
		f.cfg.Quarantine.AttemptAbandoned(req, &e.Server, 0)
		return false, notChecked
	}
	endedAt := time.Now()
	checkCtx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	listens, err := f.cfg.Client.Listens(checkCtx, e.Address)
	cancel()
	switch {
	case err == nil && !listens:
		f.recordUnreachable(e, false)
		if f.cfg.Servers.Leaves(&e.Server) {
			return false, refusing // its end was planned
		}
		f.cfg.Quarantine.ServerLost(req, &e.Server, 0)
		return true, refusing
	case err == nil:
		c = listening
	case errors.Is(err, liveness.ErrClosed):
		// Requests that may run once are lost at such an address.
		f.recordUnreachable(e, false)
		fallthrough
	default:
		c = check(err.Error())
	}
	f.cfg.Quarantine.AnswerBrokenOff(req, &e.Server, quarantine.BrokenOff{At: endedAt})
	return false, c
}
