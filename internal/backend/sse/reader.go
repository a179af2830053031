// Package sse reads server-sent events. It returns complete events only.
package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

var (
	// ErrTruncated means that a stream ended within an event.
	ErrTruncated = errors.New("stream ended within an event")
	// ErrMalformed means that a stream has bytes that are no event, such as the text of an
	// error or the head of another answer.
	ErrMalformed = errors.New("stream has bytes that are no event")
)

const maxEventBytes = 64 << 10 // events are some hundred bytes long

// Event is one event.
type Event struct {
	Raw []byte // the event as it was sent, with the blank line that ends it
	ID  int    // 0 if the event has none
	// Comment means that the event has no ID, name or data.
	Comment bool
}

// Reader reads events from a stream.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 2<<10)} }

// Next returns the next complete event. It returns io.EOF if the stream ended
// between events, ErrTruncated if it ended within one, and ErrMalformed for lines without
// any field of an event or with an ID that is not a positive number. Blank lines before an
// event belong to it.
func (r *Reader) Next() (Event, error) {
	e := Event{Comment: true}
	malformed, hasLine, hasField := false, false, false
	lineStarts := true // the next slice is the start of a line, not the rest of a long one
	for {
		line, err := r.r.ReadSlice('\n')
		startsLine := lineStarts
		lineStarts = err == nil
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		e.Raw = append(e.Raw, line...)
		if err == io.EOF {
			switch {
			case len(e.Raw) == 0:
				return Event{}, io.EOF
			case len(bytes.TrimLeft(e.Raw, "\r\n")) == 0:
				return e, nil // the stream ends with blank lines
			}
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, fmt.Errorf("read event: %w", err)
		}
		if len(e.Raw) > maxEventBytes {
			return Event{}, fmt.Errorf("event is larger than %d bytes: %w", maxEventBytes, ErrTruncated)
		}
		if !startsLine {
			continue
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if !hasLine || !bytes.HasSuffix(line, []byte("\n")) {
				continue
			}
			if malformed || !hasField {
				return Event{}, ErrMalformed
			}
			return e, nil
		}
		hasLine = true
		name, value, _ := bytes.Cut(text, []byte(":"))
		switch string(name) {
		case "id":
			n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			malformed = malformed || err != nil || n <= 0
			e.ID, e.Comment, hasField = n, false, true
		case "data", "event":
			e.Comment, hasField = false, true
		case "", "retry": // a comment has no name
			hasField = true
		}
	}
}
