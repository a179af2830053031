package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wisteriafield/internal/backend/answerbody"
	"wisteriafield/internal/backend/registry"
	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/backend/sse"
	"wisteriafield/internal/decision/suspicion"
)

// outcome is how an attempt ended.
type outcome string

const (
	finished outcome = "Finished" // the caller has the complete stream
	answered outcome = "Answered" // the server answered with an error for the caller
	refused  outcome = "Refused"  // the server did not execute the request
	notSent  outcome = "NotSent"  // the request did not leave this router
	lost     outcome = "Lost"     // the server may have executed it, the answer is incomplete
)

// result is the result of one attempt.
type result struct {
	outcome      outcome
	reason       string
	answer       *bufferedAnswer    // of outcome answered
	sentAt       time.Time          // when the attempt began
	backup       *registry.Entry    // has the backup of the lost attempt
	replacement  *replacementBackup // made if the first backup was lost during the attempt
	began        bool               // the engine began to answer
	events       int                // forwarded to the caller by this attempt
	unresponsive bool               // the engine did not answer the last probes
	silent       bool               // the connection did not end
	doubted      bool               // the engine does not have the attempt, or its events don't arrive
	goesOn       bool               // until another engine accepts the stream
	erred        bool               // the engine answered with an error instead of the rest of the stream
	brokeOff     bool               // there was no complete answer, or none of the engine itself
	replaced     bool               // another incarnation has the address

	callerDisconnected bool
	callerSlow         bool // the engine cut off an answer that the caller did not read
	unanswered         bool // the connection attempt timed out; a packet may have been lost
}

// bufferedAnswer is a server's error answer, read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   *answerbody.Body
}

const maxErrorBytes = 1 << 20 // of a buffered error answer

// timeouts returns the timeouts after which the stream's server is probed, and after
// which the attempt counts as lost.
func (s *stream) timeouts() suspicion.Timeouts {
	if s.service.Engine == nil {
		return suspicion.ServiceTimeouts()
	}
	return s.relay.timeouts
}

// eventTokens returns the number of tokens of one event, 0 for a service that has no
// engines.
func (s *stream) eventTokens() int {
	if s.service.Engine == nil {
		return 0
	}
	return s.service.Engine.TokensPerEvent
}

// forwardEvent forwards one event to the caller, unless the caller has it already. It
// returns false and the attempt's result if the attempt cannot go on.
func (s *stream) forwardEvent(event sse.Event, answer *server.Answer, flush bool) (result, bool) {
	if event.ID > 0 {
		if event.ID <= s.lastEventID {
			return result{}, true // the caller has it
		}
		if event.ID != s.lastEventID+1 {
			return result{outcome: lost, reason: "event missing"}, false
		}
	}
	if !s.headersSent && !s.answerTimer.Stop() {
		return result{outcome: lost, reason: "time is up", callerDisconnected: true}, false
	}
	s.sendHeaders(answer)
	if _, err := s.w.Write(event.Raw); err != nil {
		return result{outcome: lost, reason: "caller left", callerDisconnected: true}, false
	}
	s.unflushed = true
	if event.ID > 0 {
		s.lastEventID = event.ID
	}
	if !event.Comment {
		s.unresumable = event.ID == 0
	}
	if flush && s.flush() != nil {
		return result{outcome: lost, reason: "caller left", callerDisconnected: true}, false
	}
	return result{}, true
}

// flush sends the caller what was written.
func (s *stream) flush() error {
	s.unflushed = false
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return fmt.Errorf("flush answer: %w", err)
	}
	return nil
}

// continues reports whether an answer may continue the one that the caller has.
func (s *stream) continues(a *server.Answer) bool {
	return !s.headersSent || mediaType(a) == s.contentType
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(a *server.Answer) string {
	name, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// classifyReadError returns the result of an attempt by the error that ended its
// stream; io.EOF is the regular end. Where the body ends with its connection, an engine that
// died between two events looks like one that has finished, so it is probed.
func (s *stream) classifyReadError(ctx context.Context, err error, answer *server.Answer, target, backup *registry.Entry) result {
	switch {
	case errors.Is(err, server.ErrNotSent):
		return result{outcome: notSent, reason: err.Error(), unanswered: errors.Is(err, server.ErrConnectTimeout)}
	case err != io.EOF || answer == nil || !s.headersSent && s.req.LastEventID == 0:
		return result{outcome: lost, reason: err.Error(), backup: backup, brokeOff: true}
	case answer.CloseDelimited && s.service.Engine != nil && !s.relay.answersProbes(ctx, target):
		return result{outcome: lost, reason: "engine closed the connection and is gone", backup: backup, brokeOff: true}
	default:
		s.sendHeaders(answer) // a caller who has all events gets none
		return result{outcome: finished}
	}
}

// classifyAnswer returns the result of an attempt that was not answered with a valid
// stream.
func (s *stream) classifyAnswer(a *server.Answer, backup *registry.Entry, cancel context.CancelFunc) result {
	defer a.Body.Close()
	if a.NotExecuted {
		return result{outcome: refused, reason: http.StatusText(a.Status), replaced: a.ActualServerID != "" || a.Status == http.StatusMisdirectedRequest}
	}
	if s.headersSent {
		// The caller has a part of the stream already, and no error may be sent into it.
		return result{outcome: lost, reason: "answered in mid-stream: " + http.StatusText(a.Status), erred: true, brokeOff: !a.Genuine()}
	}
	if a.Status == http.StatusOK || a.Status < http.StatusMultipleChoices && !a.Signed || a.Mismatched || a.Unproven() || a.Status >= http.StatusInternalServerError && s.countedAttempts()+1 < s.req.Route.MaxAttempts {
		return result{outcome: lost, reason: "no valid answer: " + http.StatusText(a.Status), brokeOff: !a.Genuine()}
	}
	body, err := answerbody.Read(a.Body, maxErrorBytes, s.relay.cfg.Memory, cancel)
	if err != nil {
		return result{outcome: lost, reason: err.Error(), backup: backup}
	}
	return result{outcome: answered, answer: &bufferedAnswer{a.Status, a.Header, body}, brokeOff: !a.Genuine()}
}

// forwardError forwards a server's own error to the caller, who has no headers yet.
func (s *stream) forwardError(a *bufferedAnswer) {
	for name, values := range a.header {
		s.w.Header()[name] = values
	}
	s.w.WriteHeader(a.status)
	_, _ = a.body.WriteTo(s.w)
}
