// Package sessions remembers where generations run, so that a caller whose router
// died can go on at another one from the memory that its run left behind. A
// record is kept by this router and by the homes of its session; the loss of all
// of them costs reading the prompt again.
package sessions

import (
	"sync"
	"time"
)

const (
	// keepFor is how long a record is kept: a generation takes some seconds, and
	// copies outlive it by few.
	keepFor = 30 * time.Second
	// mostRecords bounds the table; some 200 bytes each.
	mostRecords = 20_000
	sweepPeriod = 5 * time.Second
)

// Record says where a generation runs.
type Record struct {
	Session   string // what the request is about
	AttemptID string `json:"Run"` // ID of the attempt, as sent to the engine
	Server    string // address of the engine that runs it
	Backup    string // address of the engine that has a copy; may be empty
}

// Table holds records by session.
type Table struct {
	mu      sync.Mutex
	records map[string]kept
	sweptAt time.Time
}

type kept struct {
	record Record
	until  time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]kept)} }

// Put takes a record in; the newest of a session counts.
func (t *Table) Put(r Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.sweptAt) > sweepPeriod || len(t.records) >= mostRecords {
		t.sweep(now)
	}
	if len(t.records) < mostRecords {
		t.records[r.Session] = kept{r, now.Add(keepFor)}
	}
}

// Get returns the record of a session.
func (t *Table) Get(session string, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.records[session]
	return k.record, ok && now.Before(k.until)
}

// sweep drops old records. The caller holds mu.
func (t *Table) sweep(now time.Time) {
	t.sweptAt = now
	for session, k := range t.records {
		if !now.Before(k.until) {
			delete(t.records, session)
		}
	}
}
