// Package server describes backend servers, the requests that are sent to them
// and what came of it, whatever protocol they speak.
package server

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/config/routes"
)

var (
	// ErrNotSent means that no byte of the request left and none will.
	ErrNotSent = errors.New("request was not sent")
	// ErrConnectTimeout means that nothing answered the connection in time; a lost
	// packet does the same as a dead server.
	ErrConnectTimeout = errors.New("connection was not answered")
	// ErrLost means that the request may have run and its answer is lost.
	ErrLost = errors.New("answer was lost")
)

// Server is one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	Address string // IP:PORT
	Domain  string // failure domain
	Slots   int
	Leaving bool
	Started int64 // Unix milliseconds, 0 if unknown
}

// Key names an incarnation: a server may start again under its old id.
func (s *Server) Key() Key { return Key{s.ID, s.Started} }

// Key identifies one incarnation of a server.
type Key struct {
	ID      string
	Started int64
}

// PromptPart is a piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request.
type Request struct {
	ID        string // of this attempt of the caller
	Method    string
	Target    string // path and query
	Host      string
	Header    http.Header // what passes on
	Body      []byte
	Route     *routes.Route
	Service   string
	ArrivedAt time.Time
	Deadline  time.Time // when the caller leaves

	Organisation  string
	Priority      int
	ConfigVersion int64 // of the configuration that let it in

	PromptTokens    int
	MaxOutputTokens int // at most
	PromptParts     []PromptPart
	LastEventID     int // the last event that the caller has, 0 for none
}

// SessionID names what a request is about: its prompt's own part.
func (r *Request) SessionID() string {
	if len(r.PromptParts) == 0 {
		return ""
	}
	return r.PromptParts[len(r.PromptParts)-1].ID
}

// KVBackup is a run's memory, kept at a server.
type KVBackup struct {
	Address string // of the server that has it
	ID      string // id under which the run was sent
}

// Dispatch is one sending of a request to a server.
type Dispatch struct {
	Request      *Request
	Server       *Server
	LastEventID  int       // the last event that the caller has, 0 for none
	BackupServer *Server   // keeps a copy of the run's memory; may be nil
	RestoreFrom  *KVBackup // the memory to go on from; may be nil
}

// Answer is what a server said.
type Answer struct {
	Status         int
	Header         http.Header // what passes on to the caller
	Body           io.ReadCloser
	Signed         bool   // the server vouches for the answer
	NotExecuted    bool   // the server says that it did not run the request
	ActualServerID string // set if another server has the address
	Mismatched     bool   // the answer belongs to another request
	CloseDelimited bool   // the body ends with the connection
}

// RunningAttempt is a request that an engine works on.
type RunningAttempt struct {
	ID     string
	Tokens int // in memory
	Events int
}

// Report is an engine's state, some hundred ms old.
type Report struct {
	Started       int64 // Unix milliseconds
	Queued        int
	Active        int
	KVUsedTokens  int // tokens that cannot yield
	KVTotalTokens int // tokens
	Attempts      []RunningAttempt
}
