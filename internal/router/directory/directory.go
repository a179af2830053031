// Package directory finds the running generation of an organisation's key, so
// that a retry at another entry joins it. The record lives in the memory of one
// router, chosen by the key; if it is gone, a new generation begins.
package directory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"wisteriafield/internal/router/control"
	"wisteriafield/internal/router/members"
)

const (
	methodOpen  = "Directory.Open"
	methodMoved = "Directory.Moved"

	callTimeout = 250 * time.Millisecond
	keepFor     = 20 * time.Minute
	maxRecords  = 200_000
)

// Record says where a generation runs.
type Record struct {
	Generation string
	Digest     string
	Entry      string
	Keeper     string // empty until the first attempt started
}

// Caller calls other routers.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Directory is both a client of other routers' records and the home of some.
type Directory struct {
	members *members.Members
	peers   Caller
	local   *control.Server

	mu      sync.Mutex
	records map[string]kept
}

type kept struct {
	Record
	until time.Time
}

type openRequest struct {
	Key    string
	Record Record
}

// New returns an empty directory.
func New(m *members.Members, peers Caller, local *control.Server) *Directory {
	d := &Directory{members: m, peers: peers, local: local, records: make(map[string]kept)}
	local.Handle(methodOpen, d.onOpen)
	local.Handle(methodMoved, d.onMoved)
	return d
}

// FindOrRegister registers a generation for a key unless one is registered, and returns
// the one that is. If the home is out of reach it returns the given one.
func (d *Directory) FindOrRegister(ctx context.Context, key string, r Record) Record {
	var found Record
	if err := d.call(ctx, key, methodOpen, openRequest{key, r}, &found); err != nil {
		return r
	}
	return found
}

// Update records where a generation runs now.
func (d *Directory) Update(ctx context.Context, key string, r Record) {
	var ok bool
	_ = d.call(ctx, key, methodMoved, openRequest{key, r}, &ok)
}

// Len returns the number of records kept here.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.records)
}

// DeleteExpired drops old records.
func (d *Directory) DeleteExpired(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, r := range d.records {
		if now.After(r.until) {
			delete(d.records, key)
		}
	}
}

func (d *Directory) call(ctx context.Context, key, method string, params, result any) error {
	now := time.Now()
	home := d.members.Owner(key, now)
	if home == d.members.Self().Name {
		return d.local.Call(ctx, method, params, result)
	}
	h, ok := d.members.Host(home)
	if !ok {
		return control.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.peers.Call(ctx, h.PeerAddress, method, params, result)
	if err != nil {
		d.members.RecordFailure(home, now)
	}
	return err
}

func (d *Directory) onOpen(_ context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[openRequest](params)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if r, ok := d.records[req.Key]; ok && now.Before(r.until) {
		return r.Record, nil
	}
	if len(d.records) < maxRecords {
		d.records[req.Key] = kept{req.Record, now.Add(keepFor)}
	}
	return req.Record, nil
}

func (d *Directory) onMoved(_ context.Context, params json.RawMessage) (any, error) {
	req, err := control.DecodeParams[openRequest](params)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records[req.Key] = kept{req.Record, time.Now().Add(keepFor)}
	return true, nil
}
