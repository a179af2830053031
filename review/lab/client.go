package lab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// NewID returns a new attempt ID.
func NewID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), attempts.Add(1)) }

// Request is one attempt of a client.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query
	Body        string
	Deadline    time.Time
	Prefix      string // X-Prefix-Hash of a streamed request
	Usage       string // X-Token-Usage of a streamed request
	LastEventID int
}

// Send sends the request to a router and returns the answer's head.
func (q Request) Send(ctx context.Context, address string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+"/", strings.NewReader(q.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.URL.Path = q.Target
	req.Host = Host
	req.Header.Set("X-Attempt-Id", q.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(q.Deadline).Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+Key)
	if q.Prefix != "" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Prefix-Hash", q.Prefix)
		req.Header.Set("X-Token-Usage", q.Usage)
	}
	if q.LastEventID > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(q.LastEventID))
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return transport.RoundTrip(req)
}

// Event is an event of a stream.
type Event struct {
	ID   int
	Data string
}

// ReadEvents passes the events of a stream on until it ends. The error is io.EOF if it ended as
// complete.
func ReadEvents(body io.Reader, pass func(Event)) error {
	r := bufio.NewReader(body)
	var e Event
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return err
		}
		line = strings.TrimSpace(line)
		switch {
		case line == "" && e.ID > 0:
			pass(e)
			e = Event{}
		case strings.HasPrefix(line, "id:"):
			e.ID, _ = strconv.Atoi(strings.TrimSpace(line[3:]))
		case strings.HasPrefix(line, "data:"):
			e.Data = strings.TrimSpace(line[5:])
		}
	}
}
