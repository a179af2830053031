package http1

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	drainCheckInterval = 20 * time.Millisecond
	// QuietTime is above the time that a caller takes to connect again after an answer.
	QuietTime = 500 * time.Millisecond
)

// Schedule holds the moments of a drain.
type Schedule struct {
	LameDuckEnd time.Time // until then, idle connections are left open
	AcceptEnd   time.Time // from then on, no connections are accepted
	End         time.Time // of the drain, with connections left or not
}

// Drain waits until the connections have ended; answers tell callers to close them. After the
// lame duck, idle connections are closed, and once none was in use for QuietTime, or at the
// end of accepting, new ones are not accepted.
func (cs *Conns) Drain(s Schedule, log *logrus.Entry) {
	cs.stopping.Store(true)
	accepting := true
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if !now.Before(s.End) {
			if accepting { // the end of accepting was missed, as on a busy host
				cs.stopAccepting()
			}
			return
		}
		if now.Before(s.LameDuckEnd) {
			continue
		}
		cs.closeIdle(now)
		left := cs.Count()
		if accepting && (cs.quietFor(now) > QuietTime || now.After(s.AcceptEnd)) {
			cs.stopAccepting()
			accepting = false
			log.WithField("idle", left[Idle]).Info("router accepts no more connections")
		} else if !accepting && cs.ended() {
			return
		}
	}
}

// EndReading lets the reading of all requests fail, and waits until all connections have ended
// and callers have read their last answers, at most until a deadline.
func (cs *Conns) EndReading(deadline time.Time) {
	for {
		cs.each((*callerConn).failRead) // again: net/http may just have set a deadline of its own
		if cs.ended() || !time.Now().Before(deadline) {
			return
		}
		time.Sleep(drainCheckInterval)
	}
}
