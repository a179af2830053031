package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
)

// crashCheckTimeout bounds the check whether a server that broke off an answer is lost. A host
// whose process is gone refuses a connection within a round trip.
const crashCheckTimeout = 50 * time.Millisecond

// check is what the check after an attempt without a complete answer found.
type check string

const (
	notChecked check = "" // this router had ended the attempt
	listening  check = "Listening"
	refusing   check = "Refusing"
	noResult   check = "NoResult"
)

// crashed reports whether the server of an attempt without a complete answer is gone, which may
// be the request's doing, and not only its connection. Where that is not known yet, since this
// router has ended the attempt or the check gave no result, the server is watched. It is not
// if another one has answered the request.
func (f *Forwarder) crashed(ctx context.Context, req *server.Request, e *registry.Entry) (crashed bool, c check) {
	if errors.Is(context.Cause(ctx), errAnswered) {
		return false, notChecked
	}
	listens, err := true, ctx.Err()
	if err == nil {
		checkCtx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		listens, err = f.cfg.Client.Listens(checkCtx, e.Address)
		cancel()
	}
	switch {
	case err != nil:
		f.cfg.Quarantine.AttemptAbandoned(req, &e.Server, 0)
		if ctx.Err() != nil {
			return false, notChecked
		}
		return false, noResult
	case listens:
		return false, listening
	}
	f.recordUnreachable(e, false)
	if f.cfg.Servers.Leaves(&e.Server) {
		return false, refusing // its end was planned
	}
	f.cfg.Quarantine.ServerLost(req, &e.Server, 0)
	return true, refusing
}
