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
	maxTokensLimit   = 1 << 20
)

// parsedRequest is a completion or chat request in the form that both kinds share.
type parsedRequest struct {
	chat         bool
	model        string
	prompt       string
	maxTokens    int
	stream       bool
	includeUsage bool
	batch        bool
}

// common holds the fields that both kinds of body share. Callers see the name of the
// type: encoding/json puts it into the field paths of its errors.
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

var errNotText = errors.New("expected text")

func parseCompletion(body []byte) (*parsedRequest, *apierror.Error) {
	var b completionBody
	if refusal := decode(body, &b); refusal != nil {
		return nil, refusal
	}
	prompt, err := textOf(b.Prompt)
	if err != nil {
		return nil, apierror.New(apierror.BadRequest, "prompt must be a string")
	}
	return b.validate(false, prompt)
}

func parseChat(body []byte) (*parsedRequest, *apierror.Error) {
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
	return b.validate(true, prompt.String())
}

// decode decodes a JSON body. The refusal names the field whose type is wrong.
func decode(body []byte, into any) *apierror.Error {
	if !utf8.Valid(body) {
		return apierror.New(apierror.BadRequest, "body is not UTF-8")
	}
	if err := json.Unmarshal(body, into); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return apierror.New(apierror.BadRequest, fmt.Sprintf("%s must not be of type %s", typeError.Field, typeError.Value))
		}
		return apierror.New(apierror.BadRequest, "body is not JSON")
	}
	return nil
}

// validate returns the request with the given prompt, or a refusal of the fields.
func (b *common) validate(chat bool, prompt string) (*parsedRequest, *apierror.Error) {
	p := &parsedRequest{chat: chat, model: b.Model, prompt: prompt, maxTokens: defaultMaxTokens, stream: b.Stream, batch: b.ServiceTier == "flex"}
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
	if p.maxTokens < 1 || p.maxTokens > maxTokensLimit {
		return nil, apierror.New(apierror.BadRequest, "max_tokens is out of bounds")
	}
	p.includeUsage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	return p, nil
}

// textOf decodes a JSON string or a list of text parts.
func textOf(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && len(raw) > 0 && raw[0] == '"' {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil || len(parts) == 0 {
		return "", errNotText
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errNotText
		}
		text += p.Text
	}
	return text, nil
}

// classOf returns the class of a request and how long it may wait for its start.
func classOf(p *parsedRequest, policy *document.Policy) (admission.Class, time.Duration) {
	switch {
	case p.batch:
		return admission.Batch, policy.BatchWait
	case p.maxTokens <= policy.InteractiveTokens:
		return admission.Interactive, policy.InteractiveWait
	default:
		return admission.Draft, policy.DraftWait
	}
}

func contains(list []string, value string) bool {
	for _, s := range list {
		if s == value {
			return true
		}
	}
	return false
}
