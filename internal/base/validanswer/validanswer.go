// Package validanswer decides whether the head of an HTTP answer is valid. All clients of
// servers, of the store and of peers ask it.
//
// net/http accepts any status of three digits, also 000 and 999, and any version of the form
// HTTP/x.y. Where a body ends without a length is decided by package resetconn.
package validanswer

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// ErrInvalid means that an answer has no valid status or version. It says nothing about
// whether its request was executed.
var ErrInvalid = errors.New("invalid answer")

var invalidTotal = metrics.NewCounter("wisteriafield_invalid_answers_total")

const maxStatus = 599

// Check returns ErrInvalid unless an answer has a version that this program speaks and a
// status from min to 599.
func Check(res *http.Response, min int) error {
	var err error
	switch {
	case res.ProtoMajor != 1 || res.ProtoMinor > 1:
		err = fmt.Errorf("version %.20q: %w", res.Proto, ErrInvalid)
	case res.StatusCode < min || res.StatusCode > maxStatus:
		err = fmt.Errorf("status %.20q: %w", res.Status, ErrInvalid)
	default:
		return nil
	}
	invalidTotal.Inc()
	return err
}

// Transport is an http.Transport that returns valid answers only. Its requests ask for no other
// protocol, so an answer of 101 is invalid too.
type Transport struct{ *http.Transport }

var _ http.RoundTripper = Transport{}

// RoundTrip sends a request and returns its answer, or ErrInvalid.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(res, http.StatusOK); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}
