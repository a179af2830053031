// Package kv speaks to the platform's key-value service: compare-and-swap,
// leases and watches over HTTP.
package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNotFound means the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means the key's revision is not the expected one.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable means the call did not take effect and won't.
	ErrUnavailable = errors.New("store unavailable")
	// ErrAmbiguous means a write may have taken effect, or may still do so.
	ErrAmbiguous = errors.New("store answer lost")
)

const (
	maxValue     = 1 << 20 // bytes
	watchWait    = 25 * time.Second
	watchTimeout = 30 * time.Second
)

// Value is a key's value at a revision.
type Value struct {
	Key      string
	Body     []byte
	Revision int64
}

// Calls counts the calls made, since the platform counts each.
type Calls struct {
	Reads   atomic.Int64
	Writes  atomic.Int64
	Watches atomic.Int64
}

// Client calls the service. It is safe for concurrent use.
type Client struct {
	Calls Calls

	base       string
	credential string
	timeout    time.Duration
	http       *http.Client
}

// Config says where the service is.
type Config struct {
	Address    string // IP:PORT
	Credential string
	Timeout    time.Duration // of a call other than a watch
}

// New returns a client.
func New(cfg Config) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	return &Client{
		base:       "http://" + cfg.Address,
		credential: cfg.Credential,
		timeout:    cfg.Timeout,
		http:       &http.Client{Transport: transport},
	}
}

// Get returns the value of a key.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	c.Calls.Reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.read(ctx, "/v1/kv/"+url.PathEscape(key), nil)
}

// Watch waits until the key's revision is above after and returns the value. It
// returns ErrNotFound if nothing changed within the service's waiting time.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Value, error) {
	c.Calls.Watches.Add(1)
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {watchWait.String()}}
	return c.read(ctx, "/v1/watch/"+url.PathEscape(key), query)
}

// List returns the values of all keys with a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Value, error) {
	c.Calls.Reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	res, err := c.do(ctx, http.MethodGet, "/v1/list", url.Values{"prefix": {prefix}}, nil)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var values []Value
	if err := json.NewDecoder(res.Body).Decode(&values); err != nil {
		return nil, fmt.Errorf("decode list: %w", ErrUnavailable)
	}
	return values, nil
}

// Put writes a key if its revision is the given one; 0 means that it must not
// exist. A lease, if not empty, deletes the key when it lapses.
func (c *Client) Put(ctx context.Context, key string, body []byte, revision int64, lease string) (int64, error) {
	if len(body) > maxValue {
		return 0, fmt.Errorf("value of %d bytes: %w", len(body), ErrUnavailable)
	}
	query := url.Values{"revision": {strconv.FormatInt(revision, 10)}}
	if lease != "" {
		query.Set("lease", lease)
	}
	var reply revisionReply
	err := c.write(ctx, http.MethodPut, "/v1/kv/"+url.PathEscape(key), query, body, &reply)
	return reply.Revision, err
}

// Delete removes a key if its revision is the given one.
func (c *Client) Delete(ctx context.Context, key string, revision int64) error {
	query := url.Values{"revision": {strconv.FormatInt(revision, 10)}}
	return c.write(ctx, http.MethodDelete, "/v1/kv/"+url.PathEscape(key), query, nil, nil)
}

// Grant starts a lease and returns its name.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var reply leaseReply
	query := url.Values{"ttl": {ttl.String()}}
	err := c.write(ctx, http.MethodPost, "/v1/leases", query, nil, &reply)
	return reply.Lease, err
}

// KeepAlive extends a lease. ErrNotFound means that it lapsed.
func (c *Client) KeepAlive(ctx context.Context, lease string) error {
	return c.write(ctx, http.MethodPost, "/v1/leases/"+url.PathEscape(lease), nil, nil, nil)
}

type revisionReply struct{ Revision int64 }

type leaseReply struct{ Lease string }

func (c *Client) read(ctx context.Context, path string, query url.Values) (Value, error) {
	res, err := c.do(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return Value{}, err
	}
	defer res.Body.Close()
	var v Value
	if err := json.NewDecoder(io.LimitReader(res.Body, 2*maxValue)).Decode(&v); err != nil {
		return Value{}, fmt.Errorf("decode value: %w", ErrUnavailable)
	}
	return v, nil
}

func (c *Client) write(ctx context.Context, method, path string, query url.Values, body []byte, reply any) error {
	c.Calls.Writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	res, err := c.do(ctx, method, path, query, body)
	if errors.Is(err, ErrUnavailable) {
		return fmt.Errorf("%s: %w", method, ErrAmbiguous)
	}
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(res.Body).Decode(reply); err != nil {
		return fmt.Errorf("decode reply: %w", ErrAmbiguous)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, error) {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.credential)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %v: %w", method, path, err, ErrUnavailable)
	}
	if res.StatusCode == http.StatusOK {
		return res, nil
	}
	res.Body.Close()
	switch res.StatusCode {
	case http.StatusNotFound, http.StatusNoContent:
		return nil, ErrNotFound
	case http.StatusConflict:
		return nil, ErrConflict
	default:
		return nil, fmt.Errorf("%s %s: status %d: %w", method, path, res.StatusCode, ErrUnavailable)
	}
}
