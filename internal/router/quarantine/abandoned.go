package quarantine

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"wisteriafield/internal/backend/liveness"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/quarantine"
)

const (
	// maxChecks bounds the checks of servers at a time.
	maxChecks = 16
	// quietTime is how long a server has not answered this router before it is connected to though
	// nobody found it down. A busy server that ends is found down by the requests that it gets, and a
	// connection without one takes some of its capacity.
	quietTime = 3 * time.Second
	// abandonedCheckTimeout bounds a check. A host whose process is gone refuses a connection within
	// a round trip.
	abandonedCheckTimeout = 150 * time.Millisecond
)

var (
	abandonedTotal        = metrics.GetOrCreateCounter("wisteriafield_abandoned_attempts_total")
	brokenOffTotal        = metrics.GetOrCreateCounter("wisteriafield_broken_off_attempts_watched_total")
	unwatchedTotal        = metrics.GetOrCreateCounter("wisteriafield_abandoned_attempts_unwatched_total")
	abandonedChecksTotal  = metrics.GetOrCreateCounter("wisteriafield_abandoned_attempt_checks_total")
	abandonedCrashesTotal = metrics.GetOrCreateCounter("wisteriafield_abandoned_attempt_crashes_total")
)

// Checks tells what became of a server that had an attempt when this router ended it.
type Checks struct {
	// Listens reports whether a process accepts connections at an address and keeps them open. The
	// error says that this is not known; it is liveness.ErrClosed if they are closed at once.
	Listens func(ctx context.Context, address string) (bool, error)
	// Probe finds out more than Listens, with one connection: whether the server itself answers. The error
	// says that nothing was learned. It may be nil.
	Probe func(ctx context.Context, s *server.Server) (quarantine.Sign, error)
	// Leaves reports whether the end of a server is planned.
	Leaves func(s *server.Server) bool
	// Removed reports whether a server is not listed any more: it has left, perhaps without a word
	// before, or was silent for too long. It may be nil.
	Removed func(s *server.Server) bool
	// Replaced reports whether another incarnation is known to have the server's address. It may
	// be nil.
	Replaced func(s *server.Server) bool
	// Health returns when a server last answered this router, and whether any router has found it
	// down. It may be nil.
	Health func(s *server.Server, now time.Time) (answeredAt time.Time, down bool)
	// Incarnation returns the incarnation of a server that was lost at a time, where servers don't
	// say when they started; nil where they do.
	Incarnation func(name string, lostAt time.Time) *server.Server
}

// watched returns the name under which an incarnation is watched.
func (c *Checks) watched(incarnation string) string {
	if c.Incarnation == nil {
		return incarnation
	}
	return incarnation[:max(strings.LastIndexByte(incarnation, '/'), 0)]
}

// CheckServers makes the guard watch servers that have abandoned attempts. It must be called before
// the first one.
func (g *Guard) CheckServers(c Checks) {
	g.checks, g.checkSlots = c, make(chan struct{}, maxChecks)
}

// AttemptAbandoned records that this router has ended an attempt after the given number of events
// had arrived, though its server had not: the caller has left, or the time was up. The server
// may still run it, and is watched: if it ends soon, that may be the request's doing.
func (g *Guard) AttemptAbandoned(req *server.Request, s *server.Server, events int) {
	if events >= EarlyEvents || g.checks.Listens == nil {
		return
	}
	abandonedTotal.Inc()
	g.addAttempt(s, quarantine.Attempt{Suspects: suspectsOf(req), At: time.Now(), Deadline: req.Deadline})
}

// BrokenOff is the end of an attempt whose answer broke off.
type BrokenOff struct {
	At       time.Time
	Answered bool // the server had begun to answer
	Events   int  // that had arrived
}

// AnswerBrokenOff records that the answer to an attempt broke off, though a check did not find its
// server gone: something may accept connections in its place. The server is watched. One that answers
// another request is not lost.
func (g *Guard) AnswerBrokenOff(req *server.Request, s *server.Server, end BrokenOff) {
	if end.Events >= EarlyEvents || g.checks.Listens == nil || g.checks.Leaves(s) {
		return
	}
	brokenOffTotal.Inc()
	g.addAttempt(s, quarantine.Attempt{Suspects: suspectsOf(req), At: end.At, BrokenOff: true, Answered: end.Answered})
}

// addAttempt watches the server of an attempt.
func (g *Guard) addAttempt(s *server.Server, attempt quarantine.Attempt) {
	watched := g.checks.watched(s.Key().String())
	if g.abandoned.Add(watched, attempt) {
		g.watch(*s)
	} else if _, ok := g.abandoned.NextCheck(watched); !ok {
		unwatchedTotal.Inc()
	}
}

// watch checks a server until none of its abandoned attempts can run there any more.
func (g *Guard) watch(s server.Server) {
	at, ok := g.abandoned.NextCheck(g.checks.watched(s.Key().String()))
	if !ok {
		return
	}
	if wait := time.Until(at); wait > 0 {
		time.AfterFunc(wait, func() { g.watch(s) })
		return
	}
	g.check(&s)
	g.watch(s)
}

// check finds out whether a server that is watched has ended.
func (g *Guard) check(s *server.Server) {
	watched, now := g.checks.watched(s.Key().String()), time.Now()
	if g.checks.Removed != nil && g.checks.Removed(s) {
		g.recordEnd(s, g.signOfRemoved(s), time.Now())
		return
	}
	if g.checks.Leaves(s) {
		g.logWatchEnds(watched, g.abandoned.Ended(watched, now), now)
		return
	}
	if g.checks.Replaced != nil && g.checks.Replaced(s) {
		g.recordEnd(s, quarantine.Replaced, now)
		return
	}
	var answeredAt time.Time
	down := false
	if g.checks.Health != nil {
		answeredAt, down = g.checks.Health(s, now)
	}
	busy := now.Sub(answeredAt) < quietTime && !g.abandoned.BrokenOffSince(watched, answeredAt)
	if !down && (busy || !g.abandoned.NeedsConnection(watched)) {
		g.logWatchEnds(watched, g.abandoned.Checked(watched, quarantine.Answered, answeredAt, now), now)
		return
	}
	sign, err := g.probe(s)
	now = time.Now()
	switch {
	case err != nil:
		g.log.WithField("server", watched).WithError(err).Info("check of a server with abandoned attempts gave no result")
		g.logWatchEnds(watched, g.abandoned.Checked(watched, quarantine.Unknown, time.Time{}, now), now)
	case sign == quarantine.Refused, sign == quarantine.Replaced, sign == quarantine.Closed && g.abandoned.FoundClosing(watched, now):
		g.recordEnd(s, sign, now)
	case sign == quarantine.Closed:
		g.logWatchEnds(watched, g.abandoned.Checked(watched, quarantine.Unknown, time.Time{}, now), now)
	default:
		g.logWatchEnds(watched, g.abandoned.Checked(watched, sign, now, now), now)
	}
}

// probe asks a server for a sign of life, or its address.
func (g *Guard) probe(s *server.Server) (quarantine.Sign, error) {
	g.checkSlots <- struct{}{}
	defer func() { <-g.checkSlots }()
	abandonedChecksTotal.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), abandonedCheckTimeout)
	defer cancel()
	if g.checks.Probe != nil {
		return g.checks.Probe(ctx, s)
	}
	return CheckAddress(ctx, g.checks.Listens, s.Address)
}

// signOfRemoved returns the sign of a server that is not listed any more. One that leaves without a word
// before still answers for a while, and its address refuses connections afterwards.
func (g *Guard) signOfRemoved(s *server.Server) quarantine.Sign {
	switch sign, err := g.probe(s); {
	case err == nil && (sign == quarantine.Unanswered || sign == quarantine.Closed):
		return quarantine.Vacated
	default:
		return quarantine.Removed
	}
}

// CheckAddress returns what a check whether a process listens at an address shows of its server.
func CheckAddress(ctx context.Context, listens func(ctx context.Context, address string) (bool, error), address string) (quarantine.Sign, error) {
	switch ok, err := listens(ctx, address); {
	case errors.Is(err, liveness.ErrClosed):
		return quarantine.Closed, nil
	case err != nil:
		return quarantine.Unknown, err
	case ok:
		return quarantine.Accepted, nil
	default:
		return quarantine.Refused, nil
	}
}

// recordEnd records that a server that is watched was found to have ended unplanned.
func (g *Guard) recordEnd(s *server.Server, sign quarantine.Sign, now time.Time) {
	lost := s
	if g.checks.Incarnation != nil {
		lost = g.checks.Incarnation(s.ID, now)
	}
	if g.recordAbandoned(lost.Key().String(), sign, time.Time{}, now) {
		g.onCrash()
	}
}

// recordAbandoned records that a server was lost that may have had abandoned attempts, and reports
// whether it had. lostAt is zero if it is only known to be before now.
func (g *Guard) recordAbandoned(incarnation string, sign quarantine.Sign, lostAt, now time.Time) bool {
	g.recordLastAnswer(incarnation, now)
	crashes, ended := g.abandoned.Lost(g.checks.watched(incarnation), sign, lostAt, now)
	g.logWatchEnds(incarnation, ended, now)
	for i := range crashes {
		c := &crashes[i]
		c.Server = incarnation
		abandonedCrashesTotal.Inc()
		g.log.WithField("server", c.Server).WithField("parts", c.Parts).WithField("session", c.Session).WithField("digest", c.Request).
			WithField("lostAt", c.At).Info("server was lost after an attempt was abandoned")
	}
	if g.table.RecordCrashes(crashes, now).Blocks {
		g.logBlocks(now, "this router")
	}
	return len(crashes) > 0
}

// recordLastAnswer records when a server that is watched last answered this router, which may have been
// after its last check.
func (g *Guard) recordLastAnswer(incarnation string, now time.Time) {
	if _, ok := g.abandoned.NextCheck(incarnation); !ok || g.checks.Health == nil {
		return
	}
	id, started, _ := strings.Cut(incarnation, "/")
	s := server.Server{ID: id}
	s.Started, _ = strconv.ParseInt(started, 10, 64)
	if answeredAt, _ := g.checks.Health(&s, now); !answeredAt.IsZero() {
		g.logWatchEnds(incarnation, g.abandoned.Checked(incarnation, quarantine.Answered, answeredAt, now), now)
	}
}

// logWatchEnds logs and counts what ended the watch of attempts at a server, and how old that sign was.
func (g *Guard) logWatchEnds(incarnation string, ended []quarantine.WatchEnd, now time.Time) {
	for i := range ended {
		e := &ended[i]
		watchEndsTotal(e.Sign, e.Blamed).Inc()
		log := g.log.WithField("server", incarnation).WithField("session", e.Session).WithField("digest", e.Request).
			WithField("sign", string(e.Sign)).WithField("blamed", e.Blamed).WithField("brokenOff", e.BrokenOff).WithField("watchedMs", now.Sub(e.At).Milliseconds())
		if !e.SignAt.IsZero() {
			log = log.WithField("signAgeMs", now.Sub(e.SignAt).Milliseconds())
		}
		log.Info("watch of an abandoned attempt ended")
	}
}

// watchEndsTotal counts the watches of abandoned attempts by the sign that ended them.
func watchEndsTotal(sign quarantine.Sign, blamed bool) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("wisteriafield_abandoned_attempt_watches_total{sign=%q,blamed=\"%t\"}", sign, blamed))
}
