// Package directory finds the running generation for an organisation's
// idempotency key, so that a retry at another entry joins it. The record is held
// in the memory of the router that owns the key; if it is lost, a new generation
// starts.
package directory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/members"
)

const (
	methodFindOrRegister = "Directory.Open"
	methodUpdate         = "Directory.Moved"

	callTimeout = 250 * time.Millisecond
	recordTTL   = 20 * time.Minute
	maxRecords  = 200_000
)

// Record says where a generation runs.
type Record struct {
	Generation string
	Digest     string
	Entry      string // router that holds the caller's connection
	Keeper     string // empty until the first attempt has started
}

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Directory holds the records of the keys that this router owns, and is a client
// of the other routers for theirs.
type Directory struct {
	members *members.Members
	peers   Caller
	local   *control.Server

	mu      sync.Mutex
	records map[string]storedRecord
}

// storedRecord is a record with its expiry.
type storedRecord struct {
	Record
	expiresAt time.Time
}

// recordRequest carries the parameters of both methods.
type recordRequest struct {
	Key    string
	Record Record
}

// New returns an empty directory and registers its methods at local.
func New(m *members.Members, peers Caller, local *control.Server) *Directory {
	d := &Directory{members: m, peers: peers, local: local, records: make(map[string]storedRecord)}
	local.Handle(methodFindOrRegister, d.handleFindOrRegister)
	local.Handle(methodUpdate, d.handleUpdate)
	return d
}

// FindOrRegister registers a generation for a key unless one is registered, and
// returns the registered record. If the key's owner is unreachable, it returns r.
func (d *Directory) FindOrRegister(ctx context.Context, key string, r Record) Record {
	var found Record
	if err := d.call(ctx, key, methodFindOrRegister, recordRequest{key, r}, &found); err != nil {
		return r
	}
	return found
}

// Update replaces the record of a key, after its generation got another keeper or entry.
func (d *Directory) Update(ctx context.Context, key string, r Record) {
	var ok bool
	_ = d.call(ctx, key, methodUpdate, recordRequest{key, r}, &ok)
}

// Len returns the number of records that this router holds.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.records)
}

// DeleteExpired deletes the records that have expired.
func (d *Directory) DeleteExpired(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, r := range d.records {
		if now.After(r.expiresAt) {
			delete(d.records, key)
		}
	}
}

// call calls a method at the owner of the key, which may be this router.
func (d *Directory) call(ctx context.Context, key, method string, params, result any) error {
	now := time.Now()
	owner := d.members.Owner(key, now)
	if owner == d.members.Self().Name {
		return d.local.Call(ctx, method, params, result)
	}
	h, ok := d.members.Host(owner)
	if !ok {
		return control.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.peers.Call(ctx, h.PeerAddress, method, params, result)
	if errors.Is(err, control.ErrUnreachable) {
		d.members.RecordFailure(owner, now)
	}
	return err
}

func (d *Directory) handleFindOrRegister(_ context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[recordRequest](params)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if r, ok := d.records[req.Key]; ok && now.Before(r.expiresAt) {
		return r.Record, nil
	}
	if len(d.records) < maxRecords {
		d.records[req.Key] = storedRecord{req.Record, now.Add(recordTTL)}
	}
	return req.Record, nil
}

func (d *Directory) handleUpdate(_ context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[recordRequest](params)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.records[req.Key]; !ok && len(d.records) >= maxRecords {
		return false, nil
	}
	d.records[req.Key] = storedRecord{req.Record, time.Now().Add(recordTTL)}
	return true, nil
}
