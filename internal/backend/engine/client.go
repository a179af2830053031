// Package engine is a client of the model engines' HTTP protocol.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/resetconn"
	"wisteriafield/internal/base/validanswer"
	"wisteriafield/internal/base/wholebody"
)

var (
	// ErrRefused means that the engine refused the request: it did not start the
	// attempt or carry out the order.
	ErrRefused = errors.New("engine refused the request")
	// ErrModelNotServed means that the engine does not serve the model or the
	// version.
	ErrModelNotServed = errors.New("engine does not serve the model")
	// ErrUnknownAttempt means that the engine does not run the attempt.
	ErrUnknownAttempt = errors.New("engine does not run the attempt")
	// ErrFenced means that the engine has seen a higher fencing number than the order's.
	ErrFenced = errors.New("fencing number of the order is too low")
)

const (
	dialTimeout   = 300 * time.Millisecond
	headerTimeout = 500 * time.Millisecond
	callTimeout   = 300 * time.Millisecond
	orderTimeout  = time.Minute

	maxHeaderBytes = 64 << 10
	maxReplyBytes  = 1 << 20
)

// Client calls engines. Every call opens its own connection, since an open one may
// have become silent and never recover.
type Client struct {
	http            *http.Client
	orderCredential string
}

// New returns a client that authenticates its orders with the credential.
func New(credential string) *Client {
	return &Client{
		orderCredential: credential,
		http: &http.Client{Transport: validanswer.Transport{Transport: &http.Transport{
			DisableKeepAlives:      true,
			DisableCompression:     true,
			ResponseHeaderTimeout:  headerTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DialContext:            resetconn.Dialer(&net.Dialer{Timeout: dialTimeout}),
		}}},
	}
}

// Generate starts an attempt and returns the stream of its tokens.
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

// Cancel cancels an attempt.
func (c *Client) Cancel(ctx context.Context, address, generation, attempt string) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	res, err := c.post(ctx, address, "/v1/cancel", "", Request{Generation: generation, Attempt: attempt})
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	defer res.Body.Close()
	if _, err := wholebody.Read(res.Body, maxReplyBytes); err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	return nil
}

// AttemptProgress returns the progress of an attempt. It serves as a probe of the
// engine when the attempt's connection is silent.
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
	if err := c.getExisting(ctx, address, "/v1/load", &l); err != nil {
		return l, fmt.Errorf("load report: %w", err)
	}
	return l, nil
}

// State returns the models and adapters that the engine serves.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var s State
	if err := c.getExisting(ctx, address, "/v1/state", &s); err != nil {
		return s, fmt.Errorf("state: %w", err)
	}
	return s, nil
}

// SendOrder sends the engine its desired state.
func (c *Client) SendOrder(ctx context.Context, address string, o Order) error {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	client := &http.Client{Transport: validanswer.Transport{Transport: &http.Transport{
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext:            resetconn.Dialer(&net.Dialer{}),
	}}}
	req, err := newPost(ctx, address, "/v1/order", c.orderCredential, o)
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	defer res.Body.Close()
	if _, err := wholebody.Read(res.Body, maxReplyBytes); err != nil {
		return fmt.Errorf("order: status %d: %w", res.StatusCode, err)
	}
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

// getExisting gets a reply that every engine has.
func (c *Client) getExisting(ctx context.Context, address, path string, reply any) error {
	status, err := c.get(ctx, address, path, reply)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %w", status, ErrRefused)
	}
	return err
}

func (c *Client) get(ctx context.Context, address, path string, reply any) (int, error) {
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
	data, err := wholebody.Read(res.Body, maxReplyBytes)
	if err != nil {
		return 0, fmt.Errorf("status %d: %w", res.StatusCode, err)
	}
	if res.StatusCode == http.StatusNotFound {
		return res.StatusCode, nil
	}
	if res.StatusCode != http.StatusOK {
		return res.StatusCode, fmt.Errorf("status %d: %w", res.StatusCode, ErrRefused)
	}
	return res.StatusCode, json.Unmarshal(data, reply)
}
