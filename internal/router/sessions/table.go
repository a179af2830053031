// Package sessions keeps session records: where the last attempt of a streamed
// request runs and which engine has the backup of its KV cache. If a router fails,
// the router that the caller reconnects to resumes the stream from that backup. A
// record is kept by the router that ran the attempt and by the record owners of its
// session, a few other routers that package gossip picks. If all of them are lost, the
// prompt is prefilled again unless the engine that has it cached is found.
package sessions

import (
	"sync"
	"time"
)

const (
	// recordTTL covers a generation, which takes some seconds, and its backup, which
	// outlives it by a few seconds.
	recordTTL     = 30 * time.Second
	maxRecords    = 20_000 // about 200 bytes each
	sweepInterval = 5 * time.Second
)

// Record says where the last attempt of a session runs.
type Record struct {
	Session   string // names the request's prompt: the ID of its unshared part
	AttemptID string `json:"Run"` // as sent to the engine
	Server    string // address of the engine that runs the attempt
	Backup    string // address of the backup engine; empty without a backup
}

// Table holds records by session.
type Table struct {
	mu      sync.Mutex
	records map[string]entry
	sweptAt time.Time
}

type entry struct {
	record    Record
	expiresAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]entry)} }

// Put stores a record, in place of an earlier one of its session. A full table drops
// records of new sessions.
func (t *Table) Put(r Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.sweptAt) > sweepInterval || len(t.records) >= maxRecords {
		t.sweep(now)
	}
	if _, ok := t.records[r.Session]; ok || len(t.records) < maxRecords {
		t.records[r.Session] = entry{r, now.Add(recordTTL)}
	}
}

// Get returns the record of a session, and false if there is none or it has expired.
func (t *Table) Get(session string, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.records[session]
	return e.record, ok && now.Before(e.expiresAt)
}

// sweep removes expired records. The caller holds mu.
func (t *Table) sweep(now time.Time) {
	t.sweptAt = now
	for session, e := range t.records {
		if !now.Before(e.expiresAt) {
			delete(t.records, session)
		}
	}
}
