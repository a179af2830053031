// Package apierror defines the refusals that callers get, in the error format of
// the OpenAI API.
package apierror

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Code identifies the kind of a refusal. The values are part of the API.
type Code string

const (
	// NotRun means that the request did not run and will not.
	NotRun Code = "not_run"
	// UnknownOutcome means that the call may have run.
	UnknownOutcome Code = "unknown_outcome"
	// RateLimited means that the organisation's limit is used up; the request did not
	// run.
	RateLimited Code = "rate_limit_exceeded"
	// ModelNotFound means that no such model exists for the organisation.
	ModelNotFound Code = "model_not_found"
	// ServiceNotFound means that no such service exists for the organisation.
	ServiceNotFound Code = "service_not_found"
	// BadRequest means that the request is malformed.
	BadRequest Code = "invalid_request"
	// RequestTooLarge means that the body is too large.
	RequestTooLarge Code = "request_too_large"
	// Unauthenticated means that the key is missing or wrong.
	Unauthenticated Code = "invalid_api_key"
	// WrongGeneration means that the position belongs to another generation.
	WrongGeneration Code = "wrong_generation"
	// GenerationGone means that no replica of the generation is left.
	GenerationGone Code = "generation_gone"
	// KeyReused means that the idempotency key was used for a different request.
	KeyReused Code = "idempotency_key_reused"
	// Interrupted means that the answer was lost and can't be resumed.
	Interrupted Code = "interrupted"
	// TimedOut means that the answer took too long.
	TimedOut Code = "timed_out"
	// NotFound means that the path does not exist.
	NotFound Code = "not_found"
)

var statusByCode = map[Code]int{
	NotRun:          http.StatusServiceUnavailable,
	UnknownOutcome:  http.StatusBadGateway,
	RateLimited:     http.StatusTooManyRequests,
	ModelNotFound:   http.StatusNotFound,
	ServiceNotFound: http.StatusNotFound,
	BadRequest:      http.StatusBadRequest,
	RequestTooLarge: http.StatusRequestEntityTooLarge,
	Unauthenticated: http.StatusUnauthorized,
	WrongGeneration: http.StatusConflict,
	GenerationGone:  http.StatusGone,
	KeyReused:       http.StatusUnprocessableEntity,
	Interrupted:     http.StatusBadGateway,
	TimedOut:        http.StatusGatewayTimeout,
	NotFound:        http.StatusNotFound,
}

// Error is a refusal of a request.
type Error struct {
	Code    Code
	Message string
	RetryAt time.Time // zero for none
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// New returns a refusal.
func New(code Code, message string) *Error { return &Error{Code: code, Message: message} }

// NewRetryable returns a refusal that tells the caller when to retry.
func NewRetryable(code Code, message string, at time.Time) *Error {
	return &Error{Code: code, Message: message, RetryAt: at}
}

type wireError struct {
	Error wireBody `json:"error"`
}

type wireBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    Code    `json:"code"`
	Param   *string `json:"param"`
}

// Write sends the refusal as the HTTP response.
func (e *Error) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if !e.RetryAt.IsZero() {
		seconds := math.Ceil(time.Until(e.RetryAt).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(max(seconds, 1))))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(e.JSON())
}

// Status returns the HTTP status of the code.
func (e *Error) Status() int { return statusByCode[e.Code] }

// JSON returns the body of the response.
func (e *Error) JSON() []byte {
	body, _ := json.Marshal(wireError{wireBody{Message: e.Message, Type: e.errorType(), Code: e.Code}})
	return body
}

func (e *Error) errorType() string {
	if e.Status() >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}
