// Package wholebody reads the bodies of HTTP answers.
package wholebody

import (
	"fmt"
	"io"
)

// Read reads a body to its end, which is where net/http reports that the body is incomplete.
// A body of more than limit bytes is an error.
func Read(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("body has more than %d bytes", limit)
	}
	return data, nil
}
