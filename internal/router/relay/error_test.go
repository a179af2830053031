package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/server"
)

// Callers take these statuses as a promise that their request has not run and never will.
func TestAServersStatusIsNoPromiseUnlessItStatesThatItDidNotRun(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.route.Resumable, h.route.MaxAttempts = false, 1
				h.setFirstEngine(engineFaults{answer: &server.Answer{Status: status, Signed: true}, answerBody: "too many"})
				res, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(BeFalse())
				h.Expect(res.Code).To(Equal(http.StatusBadGateway))
				h.Expect(h.engines.dispatched()).To(HaveLen(1))
			})
		})
	}
}

// A stream had begun and broke off, and the next engine answered with something else than the
// rest of it. Callers found its text in the middle of their stream, or a stream that ended as
// if it were complete.
func TestNoByteOfAnErrorIsPassedOnInABegunStream(t *testing.T) {
	ok := func(contentType string) *server.Answer {
		return &server.Answer{Status: http.StatusOK, Signed: true, Header: http.Header{"Content-Type": {contentType}}}
	}
	const head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	for _, c := range []struct {
		name   string
		answer *server.Answer
		body   string
	}{
		{"500", &server.Answer{Status: http.StatusInternalServerError, Signed: true}, "broken"},
		{"503 without a statement", &server.Answer{Status: http.StatusServiceUnavailable, Signed: true}, "full"},
		{"404", &server.Answer{Status: http.StatusNotFound, Signed: true}, "no such model"},
		{"410 with events", &server.Answer{Status: http.StatusGone, Signed: true}, eventText(8, 20)},
		{"400 that did not run", &server.Answer{Status: http.StatusBadRequest, NotExecuted: true}, "no ID"},
		{"206 without a signature", &server.Answer{Status: http.StatusPartialContent}, eventText(8, 20)},
		{"204", &server.Answer{Status: http.StatusNoContent, Signed: true}, ""},
		{"307", &server.Answer{Status: http.StatusTemporaryRedirect, Signed: true}, ""},
		{"200 without a signature", &server.Answer{Status: http.StatusOK}, eventText(8, 20)},
		{"200 of another request", &server.Answer{Status: http.StatusOK, Signed: true, Mismatched: true}, eventText(8, 20)},
		{"200 with an error's text", ok(""), "overloaded"},
		{"200 with an error's text and blank lines", ok(""), "overloaded\n\n"},
		{"200 with the head of another answer", ok(""), head + "\n\n"},
		{"200 with the head of another answer after events", ok(""), eventText(8, 9) + head + "\n\n"},
		{"200 with JSON", ok("application/json"), "{\"error\":\"full\"}\n\n"},
		{"200 with events as JSON", ok("application/json"), eventText(8, 20)},
		{"200 with an error as an event", ok(""), "event: error\ndata: full\n\n"},
		{"200 with a comment", ok(""), ": full\n\n"},
		{"200 with an ID of no event", ok(""), "id: -1\ndata: full\n\n"},
		{"200 with an ID that is no number", ok(""), "id: 99999999999999999999\ndata: full\n\n"},
		{"200 with two IDs", ok(""), "id: x\nid: 8\ndata: full\n\n"},
		{"200 with a later event", ok(""), eventText(9, 20)},
		{"200 with a part of an event", ok(""), "id: 8\ndata: ev"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.setFirstEngine(engineFaults{breakAfter: 7})
				for _, id := range []string{"i-1", "i-2"} {
					h.engines.faults[id] = engineFaults{answer: c.answer, answerBody: c.body}
				}
				res, cut := h.serve(h.newRequest(0))
				h.Expect(strings.HasPrefix(eventText(1, 20), res.Body.String())).To(BeTrue(), res.Body.String())
				h.Expect(res.Code).To(Equal(http.StatusOK))
				h.Expect(cut || res.Body.String() == eventText(1, 20)).To(BeTrue(), "an incomplete stream looks complete")
			})
		})
	}
}

func TestASuccessWithoutASignatureIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusCreated, http.StatusNoContent, http.StatusPartialContent} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.setFirstEngine(engineFaults{answer: &server.Answer{Status: status}, answerBody: eventText(1, 20)})
				res, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(BeFalse())
				h.Expect(res.Code).To(Equal(http.StatusOK))
				h.Expect(res.Body.String()).To(Equal(eventText(1, 20)))
				h.Expect(h.engines.dispatched()).To(HaveLen(2))
			})
		})
	}
}

// What follows the last ID would be missing or come twice.
func TestAStreamIsResumedOnlyAfterAnEventWithAnID(t *testing.T) {
	for _, c := range []struct {
		name, last string
		resumed    bool
	}{
		{"event", "", true},
		{"comment", ": alive\n\n", true},
		{"retry time", "retry: 500\n\n", true},
		{"blank lines", "\n\n", true},
		{"event without an ID", "data: a\n\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				answer := &server.Answer{Status: http.StatusOK, Signed: true}
				h.setFirstEngine(engineFaults{answer: answer, answerBody: eventText(1, 7) + c.last + "id: 8\nda"})
				res, cut := h.serve(h.newRequest(0))
				h.Expect(cut).To(Equal(!c.resumed))
				want := eventText(1, 7) + c.last
				if c.resumed {
					want = eventText(1, 20)
					h.Expect(strings.ReplaceAll(res.Body.String(), c.last, "")).To(Equal(strings.ReplaceAll(want, c.last, "")))
					return
				}
				h.Expect(res.Body.String()).To(Equal(want))
			})
		})
	}
}
