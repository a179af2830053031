package gossip

import (
	"time"

	"wisteriafield/internal/decision/quarantine"
)

// crashRecord is a crash in a message. Ages, not times, are sent, since the clocks of hosts
// differ.
type crashRecord struct {
	Server  string
	Session string   `json:",omitempty"`
	Parts   []string `json:",omitempty"`
	// WaitingParts is there instead of Parts if the server had sent nothing. Earlier releases
	// ignore it, since they would blame the parts as if it had.
	WaitingParts []string `json:",omitempty"`
	Request      string   `json:",omitempty"` // digest
	AgeMs        int64
	// Abandoned says that nobody waited for the answer. Earlier releases ignore it.
	Abandoned bool `json:",omitempty"`
}

// encodeCrashes returns the crashes of a report and the ages of its survivals.
func encodeCrashes(r quarantine.Report, now time.Time) (crashes []crashRecord, survived map[string]int64) {
	for _, c := range r.Crashes {
		record := crashRecord{Server: c.Server, Session: c.Session, Request: c.Request, AgeMs: now.Sub(c.At).Milliseconds(), Abandoned: c.Abandoned}
		if c.Unanswered {
			record.WaitingParts = c.Parts
		} else {
			record.Parts = c.Parts
		}
		crashes = append(crashes, record)
	}
	if len(r.Survived) > 0 {
		survived = make(map[string]int64, len(r.Survived))
	}
	for part, at := range r.Survived {
		survived[part] = now.Sub(at).Milliseconds()
	}
	return crashes, survived
}

// decodeCrashes returns the report in a message.
func decodeCrashes(m message, now time.Time) quarantine.Report {
	r := quarantine.Report{Survived: make(map[string]time.Time, len(m.Survived)), Blocked: m.Blocked}
	for _, c := range m.Crashes {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Suspects: quarantine.Suspects{Parts: append(c.Parts, c.WaitingParts...), Session: c.Session, Request: c.Request},
			Server:   c.Server, At: now.Add(-millis(c.AgeMs)), Unanswered: len(c.WaitingParts) > 0, Abandoned: c.Abandoned,
		})
	}
	for part, age := range m.Survived {
		r.Survived[part] = now.Add(-millis(age))
	}
	return r
}

// maxAge bounds the ages in messages; nothing as old counts.
const maxAge = 24 * time.Hour

// millis returns n milliseconds, at most maxAge either way.
func millis(n int64) time.Duration {
	limit := maxAge.Milliseconds()
	return time.Duration(max(-limit, min(n, limit))) * time.Millisecond
}
