package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

const maxLine = 64 << 10 // bytes

// Stream reads the tokens of one attempt.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

func newStream(body io.ReadCloser) *Stream {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4<<10), maxLine)
	return &Stream{body: body, scanner: s}
}

// Next returns the next line. A stream that ends without a last line returns
// io.ErrUnexpectedEOF.
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

// Close ends the stream, and with it the attempt if it still runs.
func (s *Stream) Close() { _ = s.body.Close() }
