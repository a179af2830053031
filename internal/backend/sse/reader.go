// Package sse reads and writes server-sent events, whole events only.
package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// ErrTruncated means that a stream ended in the middle of an event.
var ErrTruncated = errors.New("stream ended within an event")

const maxEvent = 1 << 20 // bytes; events are some hundred bytes

// Event is one event as it was sent, with the blank line that ends it.
type Event struct {
	Raw []byte
	ID  int // 0 if it has none
}

// Reader reads events from a stream.
type Reader struct {
	r *bufio.Reader
}

// NewReader returns a reader.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 2<<10)} }

// Next returns the next whole event. It returns io.EOF if the stream ended
// between events, and ErrTruncated if it ended within one.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.r.ReadSlice('\n')
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
		if len(e.Raw) > maxEvent {
			return Event{}, fmt.Errorf("event over %d bytes: %w", maxEvent, ErrTruncated)
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
