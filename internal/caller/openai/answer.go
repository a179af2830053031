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

// writeTimeout is how long a caller may take to read what is sent at once.
const writeTimeout = 30 * time.Second

// writeComplete waits for the complete answer and sends it in one reply.
func (c *call) writeComplete(w http.ResponseWriter, r *http.Request) {
	var texts []string
	for {
		tokens, reason, refusal := c.waitForTokens(r.Context(), len(texts))
		if refusal != nil {
			if r.Context().Err() == nil {
				refusal.Write(w)
			}
			return
		}
		for _, t := range tokens {
			texts = append(texts, t.Text)
		}
		if reason != "" && len(texts) == c.generation.Replica.State().TokenCount {
			c.encodeComplete(w, texts, reason)
			return
		}
	}
}

// encodeComplete writes the reply that holds the complete answer.
func (c *call) encodeComplete(w http.ResponseWriter, texts []string, reason string) {
	out := c.newReply("chat.completion")
	text := strings.Join(texts, "")
	completion := choice{FinishReason: &reason}
	if c.parsed.chat {
		completion.Message = &content{Role: "assistant", Content: text}
	} else {
		completion.Text = &text
	}
	out.Choices = []choice{completion}
	out.Usage = c.usage(len(texts))
	w.Header().Set("Content-Type", "application/json")
	LimitWriting(w)
	_ = json.NewEncoder(w).Encode(out)
}

// LimitWriting bounds the writing of an answer, or of its next part: the memory of an answer counts
// until it is written. net/http lifts the bound before the connection's next request.
func LimitWriting(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeStream sends the answer token by token. The status is not written before the
// first token, so that a refusal can still set it.
func (c *call) writeStream(w http.ResponseWriter, r *http.Request) {
	position := 0
	if c.lastEvent != nil {
		position = c.lastEvent.Position
	}
	out := newEventWriter(w)
	for {
		tokens, reason, refusal := c.waitForTokens(r.Context(), position)
		if refusal != nil {
			if r.Context().Err() == nil {
				out.writeRefusal(refusal)
			}
			return
		}
		for _, t := range tokens {
			out.writeEvent(c.generation.EventID(t), c.newChunk(t))
			position = t.Position
		}
		if reason != "" && position >= c.generation.Replica.State().TokenCount {
			c.writeFinish(out, reason, position)
			return
		}
		if out.flush() != nil {
			return
		}
	}
}

// writeFinish sends the chunk with the finish reason, the usage if the caller asked
// for it, and the end of the stream.
func (c *call) writeFinish(out *eventWriter, reason string, count int) {
	finalChunk := c.newReply("chat.completion.chunk")
	empty := ""
	finalChoice := choice{FinishReason: &reason}
	if c.parsed.chat {
		finalChoice.Delta = &content{}
	} else {
		finalChoice.Text = &empty
	}
	finalChunk.Choices = []choice{finalChoice}
	out.writeEvent("", finalChunk)
	if c.parsed.includeUsage {
		usageChunk := c.newReply("chat.completion.chunk")
		usageChunk.Choices, usageChunk.Usage = []choice{}, c.usage(count)
		out.writeEvent("", usageChunk)
	}
	out.writeDone()
}

// newChunk returns the chunk of one token.
func (c *call) newChunk(t generation.Token) reply {
	out := c.newReply("chat.completion.chunk")
	tokenChoice := choice{}
	if c.parsed.chat {
		tokenChoice.Delta = &content{Content: t.Text}
		if t.Position == 1 {
			tokenChoice.Delta.Role = "assistant"
		}
	} else {
		tokenChoice.Text = &t.Text
	}
	out.Choices = []choice{tokenChoice}
	return out
}

// newReply returns a reply without choices. chatObject is its object type if the
// request is a chat.
func (c *call) newReply(chatObject string) reply {
	out := reply{ID: "chatcmpl-" + c.generation.ID, Object: chatObject, Created: c.created.Unix(), Model: c.parsed.model}
	if !c.parsed.chat {
		out.ID, out.Object = "cmpl-"+c.generation.ID, "text_completion"
	}
	return out
}

// usage counts the words of the prompt and the given tokens of the completion.
func (c *call) usage(completion int) *usage {
	prompt := len(strings.Fields(c.parsed.prompt))
	return &usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

// failure returns the refusal that says why the generation ended without a complete
// answer.
func (c *call) failure() *apierror.Error {
	f := c.generation.Failure()
	switch {
	case f == nil:
		return apierror.New(apierror.Interrupted, "the generation was cancelled")
	case f.NotRun && f.Code == resume.Quarantined:
		return apierror.NewRetryable(apierror.NotRun, "it crashed several servers and was not run", f.RetryAt)
	case f.NotRun:
		return apierror.NewRetryable(apierror.NotRun, "no server can start it in time", f.RetryAt)
	case f.Code == resume.TimedOut:
		return apierror.New(apierror.TimedOut, "the answer took too long")
	default:
		return apierror.NewRetryable(apierror.Interrupted, "the answer was lost and could not be resumed in time", f.RetryAt)
	}
}
