// Package server defines backend servers, the requests that are sent to them and their
// answers, independently of the protocol that they speak.
package server

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/config/routes"
)

var (
	// ErrNotSent means that no byte of the request was sent or will be.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnectTimeout means that the connection attempt timed out. A lost packet
	// has the same effect as a dead server.
	ErrConnectTimeout = errors.New("connection attempt timed out")
	// ErrLost means that the server may have executed the request, but its answer is
	// lost.
	ErrLost = errors.New("answer was lost")
)

// Server is one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	Address string // IP:PORT
	Domain  string // failure domain
	Slots   int    // requests that it runs at a time
	Leaving bool   // draining: it takes no new requests
	Started int64  // Unix milliseconds, 0 if unknown
}

// Key returns the key of the incarnation. A server may restart under its old ID.
func (s *Server) Key() Key { return Key{s.ID, s.Started} }

// Key identifies one incarnation of a server.
type Key struct {
	ID      string
	Started int64
}

// String returns the key as text, which identifies the incarnation among routers.
func (k Key) String() string { return k.ID + "/" + strconv.FormatInt(k.Started, 10) }

// digestBytes is how much of its SHA-256 digest identifies a request.
const digestBytes = 16

// PromptPart is a part of a prompt, which several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request.
type Request struct {
	ID        string // attempt ID that the caller chose
	Method    string
	Target    string // path and query
	Host      string
	Header    http.Header // headers to forward
	Body      []byte
	Route     *routes.Route
	Service   string
	ArrivedAt time.Time
	Deadline  time.Time // when the caller stops waiting
	// AnswerDeadline is when an answer has to begin to leave; zero for the deadline.
	AnswerDeadline time.Time

	Organisation  string
	Priority      int
	ConfigVersion int64 // version of the configuration that the request was accepted under

	Model           string // of the engines; empty if the caller names none
	PromptTokens    int
	MaxOutputTokens int
	PromptParts     []PromptPart
	LastEventID     int // last event that the caller has received, 0 for none

	// Digest identifies a request without a prompt when it comes again: its method, path,
	// caller and body.
	Digest string
}

// SetDigest sets the digest of a request that is complete otherwise. It has a colon, which
// the IDs of prompt parts have not.
func (r *Request) SetDigest() {
	h := sha256.New()
	for _, field := range []string{r.Method, r.Target, r.Organisation} {
		_, _ = io.WriteString(h, field)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	r.Digest = encodeDigest(h)
}

func encodeDigest(h hash.Hash) string {
	return "sha256:" + hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// ResumeKey identifies a request with a prompt when its caller reconnects: it covers all that
// the answer depends on. SetDigest must have been called before. The key is empty if there is
// no prompt.
func (r *Request) ResumeKey() string {
	if len(r.PromptParts) == 0 {
		return ""
	}
	h := sha256.New()
	for _, field := range []string{r.Digest, r.Host, r.Model} {
		_, _ = io.WriteString(h, field)
		_, _ = h.Write([]byte{0})
	}
	_, _ = fmt.Fprintf(h, "%d,%d", r.PromptTokens, r.MaxOutputTokens)
	for _, p := range r.PromptParts {
		_, _ = fmt.Fprintf(h, ",%s:%d", p.ID, p.Tokens)
	}
	return encodeDigest(h)
}

// SessionID returns the ID of the session: that of the last part of the prompt, which
// the session does not share with others. It is empty if there is no prompt.
func (r *Request) SessionID() string {
	if len(r.PromptParts) == 0 {
		return ""
	}
	return r.PromptParts[len(r.PromptParts)-1].ID
}

// AnswerBy returns when an answer has to begin to leave in order to reach the caller in time.
func (r *Request) AnswerBy() time.Time {
	if r.AnswerDeadline.IsZero() {
		return r.Deadline
	}
	return r.AnswerDeadline
}

// PartIDs returns the IDs of all parts of the prompt, in order.
func (r *Request) PartIDs() []string {
	ids := make([]string, len(r.PromptParts))
	for i, p := range r.PromptParts {
		ids[i] = p.ID
	}
	return ids
}

// SharedPartIDs returns the IDs of the parts of the prompt that other sessions may share:
// all but the last.
func (r *Request) SharedPartIDs() []string {
	ids := r.PartIDs()
	return ids[:max(len(ids)-1, 0)]
}

// KVBackup identifies a backup of an attempt's KV cache at an engine.
type KVBackup struct {
	Address string // of the backup engine
	ID      string // attempt ID, or the name that the engine gave to the backup
}

// Dispatch holds the parameters of one attempt.
type Dispatch struct {
	Request      *Request
	Server       *Server
	LastEventID  int       // last event that the caller has received, 0 for none
	BackupServer *Server   // engine that is to keep a backup of the attempt's KV cache; may be nil
	RestoreFrom  *KVBackup // backup to resume from; may be nil
	// MayRepeat takes a retry from the budget if the request is to be sent again to this server, since
	// a kept connection ended before the answer. It is nil for a request that runs at most
	// once, which gets a connection of its own.
	MayRepeat func() bool
}

// Answer is a server's answer to an attempt.
type Answer struct {
	Status         int
	Header         http.Header // headers to forward to the caller
	Body           io.ReadCloser
	Signed         bool    // the server signed the answer
	NotExecuted    bool    // the server states that it did not execute the request
	ActualServerID string  // ID of the server at the address, if it is not the expected one
	Mismatched     bool    // the answer is not one of this server to this request
	RateLimit      float64 // requests a second that the server accepts from all routers together
	Limited        bool    // the server named a RateLimit
	CloseDelimited bool    // the body ends where the connection is closed
	Leaving        bool    // the server drains: it takes no new requests
	// RetryAt is when a server that turned the request away accepts this router's requests
	// again; zero if it did not say.
	RetryAt time.Time
}

// Genuine reports whether the answer comes from the server that got the request, and not from another one
// at its address or from a proxy in front of it.
func (a *Answer) Genuine() bool {
	return !a.Mismatched && (a.Signed || a.NotExecuted && a.Status != http.StatusMisdirectedRequest)
}

// Unproven reports whether the status would tell a caller that its request was not executed
// and never will be, though the server does not state so.
func (a *Answer) Unproven() bool {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !a.NotExecuted
	}
	return false
}

// RunningAttempt is an attempt that an engine is running.
type RunningAttempt struct {
	ID     string
	Tokens int // in the KV cache
	Events int // sent so far
}

// Report is an engine's report of its state. It is some hundred ms old.
type Report struct {
	Started       int64 // Unix milliseconds
	Queued        int   // requests that wait
	Active        int   // requests that run; Attempts may lack those whose prompts are being prefilled
	KVUsedTokens  int   // tokens in the KV cache that cannot be evicted
	KVTotalTokens int   // capacity of the KV cache
	Attempts      []RunningAttempt
}
