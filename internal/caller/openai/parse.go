package openai

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/admission"
)

const (
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 20
)

// parsed is what both kinds of request come down to.
type parsed struct {
	chat         bool
	model        string
	prompt       string
	maxTokens    int
	stream       bool
	includeUsage bool
	batch        bool
}

// common holds the fields that both kinds share.
type common struct {
	Model         string         `json:"model"`
	MaxTokens     *int           `json:"max_tokens"`
	MaxCompletion *int           `json:"max_completion_tokens"`
	N             *int           `json:"n"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	ServiceTier   string         `json:"service_tier"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type completionBody struct {
	common
	Prompt json.RawMessage `json:"prompt"`
}

type chatBody struct {
	common
	Messages []message `json:"messages"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

var errText = errors.New("expected text")

func parseCompletion(body []byte) (*parsed, *apierror.Error) {
	var b completionBody
	if refusal := decode(body, &b); refusal != nil {
		return nil, refusal
	}
	prompt, err := textOf(b.Prompt)
	if err != nil {
		return nil, apierror.New(apierror.BadRequest, "prompt must be a string")
	}
	return b.parsed(false, prompt)
}

func parseChat(body []byte) (*parsed, *apierror.Error) {
	var b chatBody
	if refusal := decode(body, &b); refusal != nil {
		return nil, refusal
	}
	if len(b.Messages) == 0 {
		return nil, apierror.New(apierror.BadRequest, "messages must not be empty")
	}
	var prompt strings.Builder
	for i, m := range b.Messages {
		text, err := textOf(m.Content)
		if err != nil || m.Role == "" {
			return nil, apierror.New(apierror.BadRequest, fmt.Sprintf("messages[%d] needs a role and text", i))
		}
		prompt.WriteString(m.Role + ": " + text + "\n")
	}
	return b.parsed(true, prompt.String())
}

func decode(body []byte, into any) *apierror.Error {
	if !utf8.Valid(body) {
		return apierror.New(apierror.BadRequest, "body is not UTF-8")
	}
	if err := json.Unmarshal(body, into); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return apierror.New(apierror.BadRequest, fmt.Sprintf("%s must not be of type %s", wrong.Field, wrong.Value))
		}
		return apierror.New(apierror.BadRequest, "body is not JSON")
	}
	return nil
}

func (b *common) parsed(chat bool, prompt string) (*parsed, *apierror.Error) {
	p := &parsed{chat: chat, model: b.Model, prompt: prompt, maxTokens: defaultMaxTokens, stream: b.Stream, batch: b.ServiceTier == "flex"}
	if b.Model == "" {
		return nil, apierror.New(apierror.BadRequest, "model is missing")
	}
	if b.N != nil && *b.N != 1 {
		return nil, apierror.New(apierror.BadRequest, "n must be 1")
	}
	if b.MaxTokens != nil {
		p.maxTokens = *b.MaxTokens
	}
	if b.MaxCompletion != nil {
		p.maxTokens = *b.MaxCompletion
	}
	if p.maxTokens < 1 || p.maxTokens > maxMaxTokens {
		return nil, apierror.New(apierror.BadRequest, "max_tokens is out of bounds")
	}
	p.includeUsage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	return p, nil
}

// textOf reads a string or a list of text parts.
func textOf(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && len(raw) > 0 && raw[0] == '"' {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil || len(parts) == 0 {
		return "", errText
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errText
		}
		text += p.Text
	}
	return text, nil
}

// classOf returns the class of a request and how long it may wait.
func classOf(p *parsed, policy *document.Policy) (admission.Class, time.Duration) {
	switch {
	case p.batch:
		return admission.Batch, policy.BatchWait
	case p.maxTokens <= policy.InteractiveTokens:
		return admission.Interactive, policy.InteractiveWait
	default:
		return admission.Draft, policy.DraftWait
	}
}

func contains(list []string, one string) bool {
	for _, s := range list {
		if s == one {
			return true
		}
	}
	return false
}
