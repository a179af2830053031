package openai

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/decision/resume"
)

// writeTimeout is how long a caller may take to read what was sent.
const writeTimeout = 30 * time.Second

// whole answers when the answer is complete.
func (c *call) whole(w http.ResponseWriter, r *http.Request) {
	var texts []string
	for {
		tokens, reason, refusal := c.wait(r.Context(), len(texts))
		if refusal != nil {
			if r.Context().Err() == nil {
				refusal.Write(w)
			}
			return
		}
		for _, t := range tokens {
			texts = append(texts, t.Text)
		}
		if reason != "" && len(texts) == c.g.Replica.State().TokenCount {
			c.writeWhole(w, texts, reason)
			return
		}
	}
}

func (c *call) writeWhole(w http.ResponseWriter, texts []string, reason string) {
	out := c.reply("chat.completion")
	text := strings.Join(texts, "")
	one := choice{FinishReason: &reason}
	if c.parsed.chat {
		one.Message = &content{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	out.Choices = []choice{one}
	out.Usage = c.usage(len(texts))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// stream answers token by token. The status waits for the first token, so that
// a refusal can still be told by it.
func (c *call) stream(w http.ResponseWriter, r *http.Request) {
	position := 0
	if c.last != nil {
		position = c.last.Position
	}
	out := newEventWriter(w)
	for {
		tokens, reason, refusal := c.wait(r.Context(), position)
		if refusal != nil {
			if r.Context().Err() == nil {
				out.fail(refusal)
			}
			return
		}
		for _, t := range tokens {
			out.event(c.g.EventID(t), c.chunk(t))
			position = t.Position
		}
		if reason != "" && position >= c.g.Replica.State().TokenCount {
			c.finish(out, reason, position)
			return
		}
		if out.flush() != nil {
			return
		}
	}
}

func (c *call) finish(out *eventWriter, reason string, count int) {
	last := c.reply("chat.completion.chunk")
	empty := ""
	one := choice{FinishReason: &reason}
	if c.parsed.chat {
		one.Delta = &content{}
	} else {
		one.Text = &empty
	}
	last.Choices = []choice{one}
	out.event("", last)
	if c.parsed.includeUsage {
		u := c.reply("chat.completion.chunk")
		u.Choices, u.Usage = []choice{}, c.usage(count)
		out.event("", u)
	}
	out.done()
}

func (c *call) chunk(t generation.Token) reply {
	out := c.reply("chat.completion.chunk")
	one := choice{}
	if c.parsed.chat {
		one.Delta = &content{Content: t.Text}
		if t.Position == 1 {
			one.Delta.Role = "assistant"
		}
	} else {
		one.Text = &t.Text
	}
	out.Choices = []choice{one}
	return out
}

func (c *call) reply(chatObject string) reply {
	out := reply{ID: "chatcmpl-" + c.g.ID, Object: chatObject, Created: c.created.Unix(), Model: c.parsed.model}
	if !c.parsed.chat {
		out.ID, out.Object = "cmpl-"+c.g.ID, "text_completion"
	}
	return out
}

func (c *call) usage(completion int) *usage {
	prompt := len(strings.Fields(c.parsed.prompt))
	return &usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

// failure tells why the generation ended without its answer.
func (c *call) failure() *apierror.Error {
	f := c.g.Failure()
	switch {
	case f == nil:
		return apierror.New(apierror.Interrupted, "the generation was cancelled")
	case f.NotRun:
		return apierror.NewRetryable(apierror.NotRun, "no server can start it in time", f.RetryAt)
	case f.Code == resume.TimedOut:
		return apierror.New(apierror.TimedOut, "the answer took too long")
	default:
		return apierror.NewRetryable(apierror.Interrupted, "the answer was lost and could not be resumed in time", f.RetryAt)
	}
}
