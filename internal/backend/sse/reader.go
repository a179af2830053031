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

// ErrTruncated means that a stream ended within an event.
var ErrTruncated = errors.New("stream ended within an event")

const maxEventBytes = 1 << 20 // events are some hundred bytes long

// Event is one event.
type Event struct {
	Raw []byte // the event as it was sent, with the blank line that ends it
	ID  int    // 0 if the event has no numeric ID
}

// Reader reads events from a stream.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 2<<10)} }

// Next returns the next complete event. It returns io.EOF if the stream ended
// between events, and ErrTruncated if it ended within one.
func (r *Reader) Next() (Event, error) {
	var e Event
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
			if len(e.Raw) > 0 {
				return Event{}, ErrTruncated
			}
			return Event{}, io.EOF
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
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(line) > 0 && line[len(line)-1] == '\n' {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.Atoi(string(bytes.TrimSpace(id))); err == nil {
				e.ID = n
			}
		}
	}
}
