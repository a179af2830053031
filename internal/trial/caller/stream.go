// Package caller implements a caller for tests, demos and measurements. It checks that an
// answer holds every token exactly once, and reconnects as a browser does.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Request describes a chat completion.
type Request struct {
	Key            string // API key of the organisation
	IdempotencyKey string
	Model          string
	Prompt         string
	MaxTokens      int
	Batch          bool // batch class, which the "flex" service tier selects
}

// Answer is a streamed answer, or the part of it received so far.
type Answer struct {
	Texts       []string
	LastEventID string
	Finished    bool
	Status      int
	Code        string // error code of a refusal
	RetryAfter  string // Retry-After header of a refusal

	TimeToFirstToken time.Duration   // from the start of the request
	Gaps             []time.Duration // between tokens
	MaxGap           time.Duration
	Reconnections    int
}

// idleTimeout is how long a caller waits for the next token before it reconnects.
const idleTimeout = 10 * time.Second

// ErrInconsistent means that the tokens of an answer are not one contiguous generation.
var ErrInconsistent = errors.New("answer is not one contiguous generation")

// Caller sends requests to routers.
type Caller struct{ HTTP *http.Client }

// New returns a caller that keeps up to 256 idle connections per router.
func New() *Caller {
	return &Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

type chatBody struct {
	Model       string        `json:"model"`
	Messages    []chatMessage `json:"messages"`
	MaxTokens   int           `json:"max_tokens"`
	Stream      bool          `json:"stream"`
	ServiceTier string        `json:"service_tier,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chunk struct {
	Choices []chunkChoice `json:"choices"`
	Error   *wireError    `json:"error"`
}

type chunkChoice struct {
	Delta        chatMessage `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type wireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// StreamTokens is like Stream, but passes only the number of tokens received so far to
// onToken.
func (c *Caller) StreamTokens(ctx context.Context, routers []string, req Request, onToken func(n int)) (*Answer, error) {
	return c.Stream(ctx, routers, req, func(a *Answer) {
		if onToken != nil {
			onToken(len(a.Texts))
		}
	})
}

// Resume requests the part of an answer after the event lastID from one router. It does
// not reconnect.
func (c *Caller) Resume(ctx context.Context, router string, req Request, lastID string) (*Answer, error) {
	a := &Answer{LastEventID: lastID}
	err := c.streamOnce(ctx, router, req, a, func() {})
	return a, err
}

// Stream requests an answer until it is complete. After a broken connection it reconnects to
// the next router and resumes after the last event, if the request has an idempotency key.
// onToken may be nil.
func (c *Caller) Stream(ctx context.Context, routers []string, req Request, onToken func(a *Answer)) (*Answer, error) {
	a := &Answer{}
	start := time.Now()
	last := start
	for i := 0; ; i++ {
		err := c.streamOnce(ctx, routers[i%len(routers)], req, a, func() {
			now := time.Now()
			if len(a.Texts) == 1 {
				a.TimeToFirstToken = now.Sub(start)
			} else {
				gap := now.Sub(last)
				a.Gaps = append(a.Gaps, gap)
				a.MaxGap = max(a.MaxGap, gap)
			}
			last = now
			if onToken != nil {
				onToken(a)
			}
		})
		if a.Finished || a.Code != "" && !retryable(a) || ctx.Err() != nil {
			return a, err
		}
		if i >= 20 || req.IdempotencyKey == "" {
			return a, err
		}
		a.Code, a.Status = "", 0
		a.Reconnections++
		time.Sleep(min(time.Duration(i)*50*time.Millisecond, 500*time.Millisecond))
	}
}

// retryable reports whether the caller reconnects. It does after a broken connection, and
// after an interruption if it already has a part of the answer; any other refusal is final.
func retryable(a *Answer) bool { return a.Code == "" || a.Code == "interrupted" && a.LastEventID != "" }

// streamOnce adds to the answer what one connection to a router delivers.
func (c *Caller) streamOnce(ctx context.Context, router string, req Request, a *Answer, onToken func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(idleTimeout, cancel)
	defer idle.Stop()
	res, err := c.post(ctx, router, req, a.LastEventID, true)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return recordRefusal(res, a)
	}
	scanner := bufio.NewScanner(res.Body)
	scanner.Buffer(nil, 1<<20)
	id := ""
	for scanner.Scan() {
		idle.Reset(idleTimeout)
		line := scanner.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Finished = true
			return nil
		}
		if err := a.handleEvent(data, id, onToken); err != nil {
			return err
		}
	}
	return io.ErrUnexpectedEOF
}

// handleEvent adds the token of one event to the answer, or its error code.
func (a *Answer) handleEvent(data, id string, onToken func()) error {
	var ch chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil {
		return fmt.Errorf("decode chunk: %w", err)
	}
	if ch.Error != nil {
		a.Code = ch.Error.Code
		return errors.New(ch.Error.Code)
	}
	if len(ch.Choices) == 0 || ch.Choices[0].Delta.Content == "" {
		return nil
	}
	a.Texts = append(a.Texts, ch.Choices[0].Delta.Content)
	a.LastEventID = id
	onToken()
	return nil
}

func (c *Caller) post(ctx context.Context, router string, req Request, lastID string, stream bool) (*http.Response, error) {
	body := chatBody{Model: req.Model, Messages: []chatMessage{{"user", req.Prompt}}, MaxTokens: req.MaxTokens, Stream: stream}
	if req.Batch {
		body.ServiceTier = "flex"
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+"/v1/chat/completions", bytes.NewReader(encoded))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+req.Key)
	r.Header.Set("Content-Type", "application/json")
	if req.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", req.IdempotencyKey)
	}
	if lastID != "" {
		r.Header.Set("Last-Event-ID", lastID)
	}
	return c.HTTP.Do(r)
}

// recordRefusal copies the status and the error code of a refusal to the answer.
func recordRefusal(res *http.Response, a *Answer) error {
	a.Status = res.StatusCode
	a.RetryAfter = res.Header.Get("Retry-After")
	var body struct {
		Error wireError `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(res.Body, 1<<16)).Decode(&body)
	a.Code = body.Error.Code
	if a.Code == "" {
		a.Code = strconv.Itoa(res.StatusCode)
	}
	return errors.New(a.Code)
}

// Check returns an error unless the answer is complete: it has the wanted number of tokens
// and they are contiguous.
func (a *Answer) Check(want int) error {
	if len(a.Texts) != want {
		return fmt.Errorf("%d tokens, want %d: %w", len(a.Texts), want, ErrInconsistent)
	}
	return a.CheckContiguous()
}

// CheckContiguous returns an error unless the tokens received so far have consecutive
// positions from 1, belong to one generation, and never return to an attempt that another
// one has replaced.
func (a *Answer) CheckContiguous() error {
	var generation, attempt string
	replaced := make(map[string]bool)
	for i, text := range a.Texts {
		fields := strings.Split(strings.TrimSpace(text), ".")
		if len(fields) != 3 || fields[0] != strconv.Itoa(i+1) {
			return fmt.Errorf("token %d is %q: %w", i+1, text, ErrInconsistent)
		}
		if generation == "" {
			generation = fields[1]
		}
		if fields[1] != generation || replaced[fields[2]] {
			return fmt.Errorf("token %d is %q after generation %s: %w", i+1, text, generation, ErrInconsistent)
		}
		if attempt != "" && attempt != fields[2] {
			replaced[attempt] = true
		}
		attempt = fields[2]
	}
	return nil
}

// Attempts returns the number of attempts that contributed tokens to the answer.
func (a *Answer) Attempts() int {
	seen := make(map[string]bool)
	for _, text := range a.Texts {
		if f := strings.Split(strings.TrimSpace(text), "."); len(f) == 3 {
			seen[f[2]] = true
		}
	}
	return len(seen)
}
