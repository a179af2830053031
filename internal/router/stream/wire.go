package stream

import (
	"time"

	"wisteriafield/internal/decision/admission"
	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/router/keeper"
)

const (
	attemptsPath = "/peer/v1/attempts"
	followPath   = "/peer/v1/follow"
	cancelPath   = "/peer/v1/cancel"

	contentType = "application/x-ndjson"
)

// startBody is the body of a POST to attemptsPath. It holds a deadline as the time
// that is left, since the clocks of two hosts differ.
type startBody struct {
	Generation   string
	Attempt      string
	Organisation string
	Weight       float64
	Digest       string
	Class        admission.Class
	Model        string
	Version      string
	Adapter      string `json:",omitempty"`
	Prompt       string
	Segments     []generation.Segment `json:",omitempty"`
	MaxTokens    int
	LeftMillis   int64
	OnlyFree     bool             `json:",omitempty"`
	Servers      []string         `json:",omitempty"`
	Avoid        string           `json:",omitempty"`
	Replaces     *keeper.Replaced `json:",omitempty"`
}

// followBody is the body of a POST to followPath.
type followBody struct {
	Generation   string
	Organisation string
}

// cancelBody is the body of a POST to cancelPath.
type cancelBody struct {
	Attempt string
}

// eventLine is one line of a response: an event. The generation of a token is that
// of the request and is not repeated.
type eventLine struct {
	Kind        keeper.EventKind     `json:"K"`
	Attempt     string               `json:"A,omitempty"`
	Position    int                  `json:"P,omitempty"`
	Text        string               `json:"T,omitempty"`
	Segments    []generation.Segment `json:"Segments,omitempty"`
	Server      string               `json:"Server,omitempty"`
	Keeper      string               `json:"Keeper,omitempty"`
	Version     string               `json:"Version,omitempty"`
	Digest      string               `json:"Digest,omitempty"`
	Reason      string               `json:"Reason,omitempty"`
	Better      string               `json:"Better,omitempty"`
	WaitMillis  int64                `json:"WaitMillis,omitempty"`
	RetryMillis int64                `json:"RetryMillis,omitempty"`
	CrashedAt   int64                `json:"CrashedAt,omitempty"`
	Silent      bool                 `json:"Silent,omitempty"`
}

// newStartBody returns the body for a request.
func newStartBody(req keeper.Request, now time.Time) startBody {
	return startBody{
		Generation: req.Generation, Attempt: req.Attempt, Organisation: req.Organisation, Weight: req.Weight,
		Digest: req.Digest, Class: req.Class, Model: req.Model, Version: req.Version, Adapter: req.Adapter,
		Prompt: req.Prompt, Segments: req.Segments, MaxTokens: req.MaxTokens, LeftMillis: req.StartBy.Sub(now).Milliseconds(), OnlyFree: req.OnlyFree,
		Servers: req.Servers, Avoid: req.Avoid, Replaces: req.Replaces,
	}
}

// request returns the request that the body holds.
func (b startBody) request(now time.Time) keeper.Request {
	return keeper.Request{
		Generation: b.Generation, Attempt: b.Attempt, Organisation: b.Organisation, Weight: b.Weight,
		Digest: b.Digest, Class: b.Class, Model: b.Model, Version: b.Version, Adapter: b.Adapter,
		Prompt: b.Prompt, Segments: b.Segments, MaxTokens: b.MaxTokens,
		StartBy:  now.Add(time.Duration(b.LeftMillis) * time.Millisecond),
		OnlyFree: b.OnlyFree, Servers: b.Servers, Avoid: b.Avoid, Replaces: b.Replaces,
	}
}

// newEventLine returns the line for an event.
func newEventLine(e keeper.Event) eventLine {
	line := eventLine{
		Kind: e.Kind, Attempt: e.Attempt, Segments: e.Segments, Server: e.Server, Keeper: e.Keeper, Version: e.Version, Digest: e.Digest, Reason: e.Reason,
		Better: e.BetterKeeper, WaitMillis: e.ExpectedWait.Milliseconds(), RetryMillis: e.RetryAfter.Milliseconds(), CrashedAt: e.CrashedAt, Silent: e.Silent,
	}
	if e.Kind == keeper.Token {
		line.Attempt, line.Position, line.Text = e.Token.Attempt, e.Token.Position, e.Token.Text
	}
	return line
}

// event returns the event that the line holds.
func (l eventLine) event(generationID string) keeper.Event {
	e := keeper.Event{
		Kind: l.Kind, Attempt: l.Attempt, Segments: l.Segments, Server: l.Server, Keeper: l.Keeper, Version: l.Version, Digest: l.Digest, Reason: l.Reason,
		BetterKeeper: l.Better, ExpectedWait: time.Duration(l.WaitMillis) * time.Millisecond, RetryAfter: time.Duration(l.RetryMillis) * time.Millisecond, CrashedAt: l.CrashedAt, Silent: l.Silent,
	}
	if l.Kind == keeper.Token {
		e.Token = generation.Token{Generation: generationID, Attempt: l.Attempt, Position: l.Position, Text: l.Text}
	}
	return e
}
