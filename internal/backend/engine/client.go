// Package engine speaks to model engines.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrRefused means that the engine did not start the attempt.
	ErrRefused = errors.New("engine refused")
	// ErrModelNotServed means that the engine lacks the model or the version.
	ErrModelNotServed = errors.New("engine does not carry the model")
	// ErrUnknownAttempt means that the engine does not run the attempt.
	ErrUnknownAttempt = errors.New("engine does not run the attempt")
	// ErrFenced means that an order's number is old.
	ErrFenced = errors.New("order number is old")
)

const (
	dialTimeout   = 300 * time.Millisecond
	headerTimeout = 500 * time.Millisecond
	callTimeout   = 300 * time.Millisecond
	orderTimeout  = time.Minute
)

// Client calls engines. Every call uses a connection of its own, since an open
// one may have gone silent for good.
type Client struct {
	http   *http.Client
	orders string
}

// New returns a client that sends orders with a credential.
func New(orderCredential string) *Client {
	return &Client{
		orders: orderCredential,
		http: &http.Client{Transport: &http.Transport{
			DisableKeepAlives:     true,
			DisableCompression:    true,
			ResponseHeaderTimeout: headerTimeout,
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
		}},
	}
}

// Generate starts an attempt and returns its tokens.
func (c *Client) Generate(ctx context.Context, address string, req Request) (*Stream, error) {
	res, err := c.post(ctx, address, "/v1/generate", "", req)
	if err != nil {
		return nil, fmt.Errorf("generate: %w", err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		return newStream(res.Body), nil
	case http.StatusNotFound, http.StatusConflict:
		res.Body.Close()
		return nil, ErrModelNotServed
	default:
		res.Body.Close()
		return nil, fmt.Errorf("generate: status %d: %w", res.StatusCode, ErrRefused)
	}
}

// Cancel stops an attempt.
func (c *Client) Cancel(ctx context.Context, address, generation, attempt string) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	res, err := c.post(ctx, address, "/v1/cancel", "", Request{Generation: generation, Attempt: attempt})
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	return res.Body.Close()
}

// AttemptProgress asks how far an attempt is. It is the probe for a silent connection.
func (c *Client) AttemptProgress(ctx context.Context, address, generation, attempt string) (Progress, error) {
	var p Progress
	query := url.Values{"generation": {generation}, "attempt": {attempt}}
	status, err := c.get(ctx, address, "/v1/attempt?"+query.Encode(), &p)
	if err != nil {
		return p, fmt.Errorf("probe: %w", err)
	}
	if status == http.StatusNotFound {
		return p, ErrUnknownAttempt
	}
	return p, nil
}

// Load returns the engine's latest load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	if _, err := c.get(ctx, address, "/v1/load", &l); err != nil {
		return l, fmt.Errorf("load report: %w", err)
	}
	return l, nil
}

// State returns what the engine carries.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var s State
	if _, err := c.get(ctx, address, "/v1/state", &s); err != nil {
		return s, fmt.Errorf("state: %w", err)
	}
	return s, nil
}

// SendOrder tells the engine its wanted end state.
func (c *Client) SendOrder(ctx context.Context, address string, o Order) error {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	slow := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := newPost(ctx, address, "/v1/order", c.orders, o)
	if err != nil {
		return err
	}
	res, err := slow.Do(req)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return ErrFenced
	default:
		return fmt.Errorf("order: status %d: %w", res.StatusCode, ErrRefused)
	}
}

func (c *Client) post(ctx context.Context, address, path, credential string, body any) (*http.Response, error) {
	req, err := newPost(ctx, address, path, credential, body)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}

func newPost(ctx context.Context, address, path, credential string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if credential != "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
	return req, nil
}

func (c *Client) get(ctx context.Context, address, path string, into any) (int, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return res.StatusCode, nil
	}
	if res.StatusCode != http.StatusOK {
		return res.StatusCode, fmt.Errorf("status %d: %w", res.StatusCode, ErrRefused)
	}
	return res.StatusCode, json.NewDecoder(io.LimitReader(res.Body, 1<<20)).Decode(into)
}
