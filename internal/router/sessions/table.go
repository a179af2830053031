// Package sessions keeps session records: where the last attempt of a streamed
// request runs and which engine has the backup of its KV cache. If a router fails,
// the router that the caller reconnects to resumes the stream from that backup. A
// record is kept by the router that ran the attempt and by its record owners, a few
// other routers that package gossip picks. If all of them are lost, the
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

// Record says where the last attempt of a request runs. Requests of a session have the same
// prompt, but each continues only from its own KV cache.
type Record struct {
	// Request is the ResumeKey of the request. Earlier releases put the session's ID there,
	// which equals no key.
	Request   string `json:"Session"`
	AttemptID string `json:"Run"` // as sent to the engine
	Server    string // address of the engine that runs the attempt
	Backup    string // address of the backup engine; empty without a backup
}

// Table holds records by request.
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

// Put stores a record, in place of an earlier one of its request. A full table drops
// records of new requests.
func (t *Table) Put(r Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.sweptAt) > sweepInterval || len(t.records) >= maxRecords {
		t.sweep(now)
	}
	if _, ok := t.records[r.Request]; ok || len(t.records) < maxRecords {
		t.records[r.Request] = entry{r, now.Add(recordTTL)}
	}
}

// Get returns the record of a request, and false if there is none or it has expired.
func (t *Table) Get(request string, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.records[request]
	return e.record, ok && now.Before(e.expiresAt)
}

// sweep removes expired records. The caller holds mu.
func (t *Table) sweep(now time.Time) {
	t.sweptAt = now
	for request, e := range t.records {
		if !now.Before(e.expiresAt) {
			delete(t.records, request)
		}
	}
}
