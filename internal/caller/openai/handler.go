// Package openai serves generations to callers through an HTTP API compatible with
// the published OpenAI API.
package openai

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/answerbody"
	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/generation"
	"wisteriafield/internal/router/entry"
	"wisteriafield/internal/router/limits"
)

const maxKeyBytes = 128 // bytes of an Idempotency-Key

// Deps holds the dependencies of a Handler.
type Deps struct {
	View          func() *document.View
	Entry         *entry.Entry
	Limits        *limits.Limiter
	ServedVersion func(model string) (version string, ok bool) // the version that new requests get
	Bodies        Bodies
}

// Handler serves the API.
type Handler struct{ deps Deps }

// New returns a handler.
func New(deps Deps) *Handler { return &Handler{deps: deps} }

// Register adds the API's routes to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/completions", h.serve(parseCompletion))
	mux.HandleFunc("POST /v1/chat/completions", h.serve(parseChat))
	mux.HandleFunc("GET /v1/models", h.models)
}

// parseFunc parses the body of one kind of request.
type parseFunc func(body []byte) (*parsedRequest, *apierror.Error)

func (h *Handler) serve(parse parseFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call, refusal := h.admit(w, r, parse)
		if refusal != nil {
			refusal.Write(w)
			return
		}
		defer call.body.Release() // its text is a part of the request
		defer func() { h.deps.Limits.Release(call.organisation, call.unusedTokens()) }()
		g, err := h.deps.Entry.Open(r.Context(), call.request, call.lastEvent)
		if err != nil {
			refusalOf(err).Write(w)
			return
		}
		call.generation = g
		g.Replica.Attach()
		defer func() { g.Replica.Detach(time.Now()) }()
		if call.parsed.stream {
			call.writeStream(w, r)
			return
		}
		call.writeComplete(w, r)
	}
}

// call is the state of one request while it is served.
type call struct {
	organisation *document.Organisation
	parsed       *parsedRequest
	request      entry.Request
	lastEvent    *generation.EventID
	body         *answerbody.Body
	generation   *entry.Generation
	created      time.Time
}

// unusedTokens returns how many of the tokens acquired from the organisation's limit
// the answer did not use.
func (c *call) unusedTokens() float64 {
	if c.generation == nil {
		return float64(c.request.MaxTokens)
	}
	return float64(c.request.MaxTokens - c.generation.Replica.State().TokenCount)
}

// admit checks the key, the body, the model and the organisation's limits.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, parse parseFunc) (*call, *apierror.Error) {
	view := h.deps.View()
	if view == nil {
		return nil, apierror.NewRetryable(apierror.NotRun, "no configuration yet", time.Now().Add(time.Second))
	}
	o, refusal := Authenticate(view, r)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := h.deps.Bodies.Read(w, r)
	if refusal != nil {
		return nil, refusal
	}
	c, refusal := h.check(o, view, r, parse, body.Bytes())
	if refusal != nil {
		body.Release()
		return nil, refusal
	}
	c.body = body
	verdict := h.deps.Limits.Acquire(r.Context(), o, float64(c.request.MaxTokens))
	if !verdict.Allowed {
		body.Release()
		return nil, apierror.NewRetryable(apierror.RateLimited, "limit of the organisation: "+verdict.Cause, verdict.RetryAt)
	}
	return c, nil
}

// check parses a body and checks the request against the document.
func (h *Handler) check(o *document.Organisation, view *document.View, r *http.Request, parse parseFunc, body []byte) (*call, *apierror.Error) {
	p, refusal := parse(body)
	if refusal != nil {
		return nil, refusal
	}
	c := &call{organisation: o, parsed: p, created: time.Now()}
	if refusal := h.resolve(c, view, r, body); refusal != nil {
		return nil, refusal
	}
	return c, nil
}

// resolve checks the request against the document and sets the fields of c that
// depend on it.
func (h *Handler) resolve(c *call, view *document.View, r *http.Request, body []byte) *apierror.Error {
	name, adapter, _ := strings.Cut(c.parsed.model, ":")
	m := view.Model(name)
	if m == nil || !document.Allows(c.organisation.Models, name) || adapter != "" && !contains(m.Adapters, adapter) {
		return apierror.New(apierror.ModelNotFound, "no such model")
	}
	version, ok := h.deps.ServedVersion(name)
	if !ok {
		version = m.Version
	}
	key := r.Header.Get("Idempotency-Key")
	if len(key) > maxKeyBytes {
		return apierror.New(apierror.BadRequest, "Idempotency-Key is too long")
	}
	if words := len(strings.Fields(c.parsed.prompt)); words+c.parsed.maxTokens > m.Context {
		return apierror.New(apierror.BadRequest, "prompt and max_tokens are longer than the model's context")
	}
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		id, err := generation.ParseEventID(last)
		if err != nil || key == "" {
			return apierror.New(apierror.BadRequest, "Last-Event-ID needs the id of an event and the Idempotency-Key of its request")
		}
		c.lastEvent = &id
	}
	digest := sha256.New()
	_, _ = io.WriteString(digest, r.URL.Path+"\n")
	_, _ = digest.Write(body)
	class, wait := classOf(c.parsed, &view.Policy)
	c.request = entry.Request{
		Organisation: c.organisation, Key: key, Digest: hex.EncodeToString(digest.Sum(nil)),
		Model: m, Version: version, Adapter: adapter,
		Prompt: c.parsed.prompt, MaxTokens: c.parsed.maxTokens, Class: class,
		StartBy: c.created.Add(wait), AnswerBy: c.created.Add(view.Policy.AnswerTimeout),
	}
	return nil
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	view := h.deps.View()
	if view == nil {
		apierror.NewRetryable(apierror.NotRun, "no configuration yet", time.Now().Add(time.Second)).Write(w)
		return
	}
	o, refusal := Authenticate(view, r)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range view.Models {
		if !document.Allows(o.Models, m.Name) {
			continue
		}
		list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model", OwnedBy: "wisteriafield"})
		for _, a := range m.Adapters {
			list.Data = append(list.Data, modelEntry{ID: m.Name + ":" + a, Object: "model", OwnedBy: "wisteriafield"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// Authenticate returns the organisation to which the request's key belongs.
func Authenticate(view *document.View, r *http.Request) (*document.Organisation, *apierror.Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, apierror.New(apierror.Unauthenticated, "Authorization: Bearer KEY is missing")
	}
	o := view.OrganisationByKey(key)
	if o == nil {
		return nil, apierror.New(apierror.Unauthenticated, "wrong key")
	}
	return o, nil
}

// refusalOf returns the refusal for an error of Entry.Open.
func refusalOf(err error) *apierror.Error {
	switch {
	case errors.Is(err, entry.ErrGone):
		return apierror.New(apierror.GenerationGone, "no copy of that generation is left; start again without Last-Event-ID")
	case errors.Is(err, entry.ErrWrongGeneration):
		return apierror.New(apierror.WrongGeneration, "Last-Event-ID is not part of this generation")
	case errors.Is(err, entry.ErrKeyReused):
		return apierror.New(apierror.KeyReused, "the key came with another request before")
	default:
		return apierror.NewRetryable(apierror.NotRun, "could not start", time.Now().Add(time.Second))
	}
}

// waitForTokens waits for tokens after a position. It returns them and the finish
// reason, which is empty until the answer ends, or a refusal.
func (c *call) waitForTokens(ctx context.Context, position int) ([]generation.Token, string, *apierror.Error) {
	tokens, state := c.generation.Replica.WaitForTokens(ctx, position)
	if len(tokens) > 0 || state.FinishReason != "" {
		return tokens, state.FinishReason, nil
	}
	return nil, "", c.failure()
}
