// Package quarantine keeps requests away from backend servers that they crash. It tells
// the decision what this router sees of servers, and logs what it decides.
package quarantine

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/decision/quarantine"
)

// EarlyEvents is the number of events of a stream before which the loss of its server may
// be the request's doing.
const EarlyEvents = 8

var (
	crashesTotal = metrics.GetOrCreateCounter("wisteriafield_early_crashes_total")
	refusedTotal = metrics.GetOrCreateCounter("wisteriafield_quarantined_requests_total")
	sparedTotal  = metrics.GetOrCreateCounter("wisteriafield_last_servers_spared_total")
)

// Guard is shared by all parts of a router that send requests to backend servers.
type Guard struct {
	table *quarantine.Table
	// onCrash is called when this router saw a crash that peers should know of.
	onCrash    func()
	abandoned  *quarantine.Abandoned
	checks     Checks
	checkSlots chan struct{} // has a value for each check in progress
	log        *logrus.Entry
}

// New returns a guard that knows no crashes. Routers hear each other's news within the
// contact time.
func New(contactTime time.Duration, onCrash func(), log *logrus.Entry) *Guard {
	return &Guard{table: quarantine.New(time.Now(), contactTime), onCrash: onCrash, abandoned: quarantine.NewAbandoned(), log: log}
}

// suspectsOf returns what may be to blame if a request crashes its server. A prompt says
// more than the digest, which does not cover it.
func suspectsOf(req *server.Request) quarantine.Suspects {
	if len(req.PromptParts) == 0 {
		return quarantine.Suspects{Request: req.Digest}
	}
	return quarantine.Suspects{Parts: req.SharedPartIDs(), Session: req.SessionID()}
}

// Refuses reports whether a request must not be sent to a server, and until when.
func (g *Guard) Refuses(req *server.Request) (until time.Time, refused bool) {
	block, refused := g.table.Blocked(suspectsOf(req), time.Now())
	if refused {
		refusedTotal.Inc()
		key := "promptPart"
		if block.Suspect == req.Digest {
			key = "digest"
		}
		g.log.WithField("id", req.ID).WithField(key, block.Suspect).WithField("crashes", block.Crashes).
			WithField("until", block.Until).Info("request not sent: it crashes servers")
	}
	return block.Until, refused
}

// SparesLastServer reports whether a request must not be sent to the last usable server of
// its service, because it may have crashed the others.
func (g *Guard) SparesLastServer(req *server.Request, usable func() []string) bool {
	if !g.table.SparesLastServer(suspectsOf(req), usable, time.Now()) {
		return false
	}
	sparedTotal.Inc()
	g.log.WithField("id", req.ID).Info("request not sent to the last server: it may have crashed the others")
	return true
}

// ServerLost records that the answer to an attempt was lost after the given number of events
// had arrived, and that the server is lost too.
func (g *Guard) ServerLost(req *server.Request, s *server.Server, events int) {
	if events < EarlyEvents {
		g.recordCrash(req, s, events, false)
	}
}

// ServerLostUnanswered records that a server was lost before it answered an attempt, which
// may have waited there.
func (g *Guard) ServerLostUnanswered(req *server.Request, s *server.Server) {
	g.recordCrash(req, s, 0, true)
}

func (g *Guard) recordCrash(req *server.Request, s *server.Server, events int, unanswered bool) {
	now := time.Now()
	crashesTotal.Inc()
	crash := quarantine.Crash{Suspects: suspectsOf(req), Server: s.Key().String(), At: now, Unanswered: unanswered}
	g.log.WithField("id", req.ID).WithField("server", s.ID).WithField("parts", crash.Parts).WithField("digest", crash.Request).
		WithField("events", events).WithField("answered", !unanswered).Info("server was lost at the start of an answer")
	if g.table.RecordCrash(crash, now).Blocks {
		g.logBlocks(now, "this router")
	}
	g.recordAbandoned(crash.Server, quarantine.Seen, now, now)
	g.onCrash()
}

// ServerAnswered records that a server has sent the given number of events of an attempt.
func (g *Guard) ServerAnswered(req *server.Request, events int) {
	if events == EarlyEvents {
		g.recordSurvival(req)
	}
}

// ServerFinished records that a server has answered an attempt completely.
func (g *Guard) ServerFinished(req *server.Request) { g.recordSurvival(req) }

func (g *Guard) recordSurvival(req *server.Request) {
	now := time.Now()
	if g.table.RecordSurvival(suspectsOf(req), now).Blocks {
		g.logBlocks(now, "this router")
	}
}

// Report returns what peers are told, with at most n crashes. With all, older ones that
// still matter are among them.
func (g *Guard) Report(n int, all bool, now time.Time) quarantine.Report {
	return g.table.Report(n, all, now)
}

// Merge records what a peer told, and reports whether other peers should know at once.
func (g *Guard) Merge(r quarantine.Report, peer string, now time.Time) (urgent bool) {
	change := g.table.Merge(r, now)
	if change.Blocks {
		g.logBlocks(now, peer)
	}
	for _, c := range r.Crashes {
		if g.recordAbandoned(c.Server, quarantine.Seen, c.At, now) {
			g.onCrash()
		}
	}
	return change.Any()
}

// Blocks returns the blocks in force.
func (g *Guard) Blocks(now time.Time) []quarantine.Block { return g.table.Blocks(now) }

func (g *Guard) logBlocks(now time.Time, source string) {
	blocks := g.table.Blocks(now)
	suspects := make([]string, len(blocks))
	for i, b := range blocks {
		suspects[i] = b.Suspect
	}
	g.log.WithField("source", source).WithField("blocked", suspects).Info("blocks of requests that crash servers changed")
}
