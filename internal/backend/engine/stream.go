package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

const maxLineBytes = 64 << 10

// Stream reads the lines of one attempt's answer.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

func newStream(body io.ReadCloser) *Stream {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	return &Stream{body: body, scanner: s}
}

// Next returns the next line. It returns io.ErrUnexpectedEOF if the stream ends before
// the line that is marked as the last.
func (s *Stream) Next() (Line, error) {
	if !s.scanner.Scan() {
		if err := s.scanner.Err(); err != nil {
			return Line{}, fmt.Errorf("read: %w", err)
		}
		return Line{}, io.ErrUnexpectedEOF
	}
	var l Line
	if err := json.Unmarshal(s.scanner.Bytes(), &l); err != nil {
		return Line{}, fmt.Errorf("decode: %w", err)
	}
	return l, nil
}

// Close closes the stream. The engine cancels the attempt if it is still running.
func (s *Stream) Close() { _ = s.body.Close() }
