package stream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/resetconn"
	"wisteriafield/internal/base/validanswer"
	"wisteriafield/internal/router/keeper"
)

var (
	// ErrUnreachable means that the keeper did not answer the request, or answered it
	// with an unexpected status.
	ErrUnreachable = errors.New("keeper unreachable")
	// ErrUnexpectedStatus means that the keeper answered the request with an unexpected status.
	ErrUnexpectedStatus = errors.New("unexpected status")
	// ErrSilent means that a keeper's stream stopped without a final event.
	ErrSilent = errors.New("keeper silent")
)

const (
	dialTimeout   = 300 * time.Millisecond
	headerTimeout = 500 * time.Millisecond
	followTimeout = 300 * time.Millisecond
	// silenceTimeout is how long a keeper may send nothing, not even a heartbeat.
	silenceTimeout = 500 * time.Millisecond
	cancelTimeout  = 500 * time.Millisecond
	maxLineBytes   = 64 << 20 // a Prefix event holds the whole answer so far
)

// Client calls the keepers of other routers.
type Client struct {
	http       *http.Client
	credential string
}

// NewClient returns a client with the credential for peers.
func NewClient(credential string) *Client {
	return &Client{
		credential: credential,
		http: &http.Client{Transport: validanswer.Transport{Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			DialContext:        resetconn.Dialer(&net.Dialer{Timeout: dialTimeout}),
		}}},
	}
}

// Start starts an attempt at a keeper.
func (c *Client) Start(address string, req keeper.Request) (keeper.Stream, error) {
	return c.open(address, attemptsPath, req.Generation, newStartBody(req, time.Now()), headerTimeout)
}

// Follow opens a stream on the replica that a router has of a generation.
func (c *Client) Follow(address, generationID, organisation string) (keeper.Stream, error) {
	return c.open(address, followPath, generationID, followBody{generationID, organisation}, followTimeout)
}

// Cancel stops an attempt at a keeper.
func (c *Client) Cancel(address, attempt string) error {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	res, err := c.post(ctx, address, cancelPath, cancelBody{attempt})
	if err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	return res.Body.Close()
}

// open posts a request and returns the stream of events in its response.
func (c *Client) open(address, path, generationID string, body any, timeout time.Duration) (keeper.Stream, error) {
	ctx, stop := context.WithCancel(context.Background())
	timer := time.AfterFunc(timeout, stop)
	res, err := c.post(ctx, address, path, body)
	timer.Stop()
	if err != nil {
		stop()
		return nil, fmt.Errorf("%v: %w", err, ErrUnreachable)
	}
	switch res.StatusCode {
	case http.StatusOK:
		return newRemoteStream(res.Body, generationID, stop), nil
	case http.StatusNotFound:
		stop()
		return nil, keeper.ErrUnknownGeneration
	default:
		stop()
		return nil, fmt.Errorf("%w %d: %w", ErrUnexpectedStatus, res.StatusCode, ErrUnreachable)
	}
}

func (c *Client) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.credential)
	req.Header.Set("Content-Type", "application/json")
	return c.http.Do(req)
}

// remoteStream is a Stream from a router on another host.
type remoteStream struct {
	body         io.ReadCloser
	scanner      *bufio.Scanner
	generation   string
	stop         context.CancelFunc
	closeOnce    sync.Once
	silenceTimer *time.Timer
}

func newRemoteStream(body io.ReadCloser, generationID string, stop context.CancelFunc) *remoteStream {
	r := &remoteStream{body: body, scanner: bufio.NewScanner(body), generation: generationID, stop: stop}
	r.scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	r.silenceTimer = time.AfterFunc(silenceTimeout, stop)
	return r
}

// Next returns the next event, or ErrSilent if there is none within silenceTimeout.
func (r *remoteStream) Next() (keeper.Event, error) {
	r.silenceTimer.Reset(silenceTimeout)
	if !r.scanner.Scan() {
		return keeper.Event{}, fmt.Errorf("read: %v: %w", r.scanner.Err(), ErrSilent)
	}
	var line eventLine
	if err := json.Unmarshal(r.scanner.Bytes(), &line); err != nil {
		return keeper.Event{}, fmt.Errorf("decode: %v: %w", err, ErrSilent)
	}
	return line.event(r.generation), nil
}

// Close closes the connection, which detaches the reader at the other end.
func (r *remoteStream) Close() {
	r.closeOnce.Do(func() {
		r.silenceTimer.Stop()
		r.stop()
		_ = r.body.Close()
	})
}
