// Package caller is a caller for tests, demos and measurements. It checks that
// every token of an answer is there once, and reconnects as a browser would.
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

// Request is a chat completion to ask for.
type Request struct {
	Key            string // organisation's key
	IdempotencyKey string
	Model          string
	Prompt         string
	MaxTokens      int
	Batch          bool
}

// Answer is what came back.
type Answer struct {
	Texts       []string
	LastEventID string
	Finished    bool
	Status      int
	Code        string // of a refusal
	RetryAfter  string // Retry-After of a refusal

	TimeToFirstToken time.Duration   // to the first token
	Gaps             []time.Duration // between tokens
	MaxGap           time.Duration
	Reconnections    int // reconnections
}

// idleTimeout is how long a caller waits for the next token before it
// reconnects.
const idleTimeout = 10 * time.Second

// ErrInconsistent means that an answer's tokens are not one unbroken generation.
var ErrInconsistent = errors.New("answer is not one unbroken generation")

// Caller calls routers.
type Caller struct{ HTTP *http.Client }

// New returns a caller.
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

// StreamTokens is Watch for those that only need the number of tokens so far.
func (c *Caller) StreamTokens(ctx context.Context, routers []string, req Request, onToken func(n int)) (*Answer, error) {
	return c.Stream(ctx, routers, req, func(a *Answer) {
		if onToken != nil {
			onToken(len(a.Texts))
		}
	})
}

// Resume asks one router for what comes after an event.
func (c *Caller) Resume(ctx context.Context, router string, req Request, lastID string) (*Answer, error) {
	a := &Answer{LastEventID: lastID}
	err := c.once(ctx, router, req, a, func() {})
	return a, err
}

// Stream asks the routers in turn until the answer is whole: after a broken
// connection it goes on at the next router from the last event. onToken may be
// nil.
func (c *Caller) Stream(ctx context.Context, routers []string, req Request, onToken func(a *Answer)) (*Answer, error) {
	a := &Answer{}
	start := time.Now()
	last := start
	for i := 0; ; i++ {
		err := c.once(ctx, routers[i%len(routers)], req, a, func() {
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

// retryable tells a broken connection from a refusal. A caller with part of an
// answer goes on; one without takes the refusal.
func retryable(a *Answer) bool { return a.Code == "" || a.Code == "interrupted" && a.LastEventID != "" }

func (c *Caller) once(ctx context.Context, router string, req Request, a *Answer, onToken func()) error {
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
		return refused(res, a)
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
		if err := a.take(data, id, onToken); err != nil {
			return err
		}
	}
	return io.ErrUnexpectedEOF
}

func (a *Answer) take(data, id string, onToken func()) error {
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

func refused(res *http.Response, a *Answer) error {
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

// Check reports whether the answer is whole.
func (a *Answer) Check(want int) error {
	if len(a.Texts) != want {
		return fmt.Errorf("%d tokens, want %d: %w", len(a.Texts), want, ErrInconsistent)
	}
	return a.CheckContiguous()
}

// CheckContiguous reports whether the tokens so far have positions 1 and on, are of one
// generation, and never go back to an attempt that another one replaced.
func (a *Answer) CheckContiguous() error {
	var generation, attempt string
	left := make(map[string]bool)
	for i, text := range a.Texts {
		f := strings.Split(strings.TrimSpace(text), ".")
		if len(f) != 3 || f[0] != strconv.Itoa(i+1) {
			return fmt.Errorf("token %d is %q: %w", i+1, text, ErrInconsistent)
		}
		if generation == "" {
			generation = f[1]
		}
		if f[1] != generation || left[f[2]] {
			return fmt.Errorf("token %d is %q after generation %s: %w", i+1, text, generation, ErrInconsistent)
		}
		if attempt != "" && attempt != f[2] {
			left[attempt] = true
		}
		attempt = f[2]
	}
	return nil
}

// Attempts returns how many attempts made the answer.
func (a *Answer) Attempts() int {
	seen := make(map[string]bool)
	for _, text := range a.Texts {
		if f := strings.Split(strings.TrimSpace(text), "."); len(f) == 3 {
			seen[f[2]] = true
		}
	}
	return len(seen)
}
