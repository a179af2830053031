// Package jsonwalk splits JSON objects and arrays into the texts of their members, nested as
// deeply as they may be. encoding/json decodes a document as a whole or not at all, and none
// that is nested more than 10,000 deep.
package jsonwalk

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// EachField calls f for each field of a JSON object, The value is the text of the
// field's value.
func EachField(data []byte, f func(name string, value []byte) error) error {
	return walk(data, '{', f)
}

// EachElement calls f for each element of a JSON array.
func EachElement(data []byte, f func(element []byte) error) error {
	return walk(data, '[', func(_ string, element []byte) error { return f(element) })
}

// walk calls f for each member of a JSON object or array that begins with the delimiter.
func walk(data []byte, start json.Delim, f func(name string, value []byte) error) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber() // a number may be too large for a float
	token, err := d.Token()
	if err != nil {
		return fmt.Errorf("read JSON: %w", err)
	}
	if token != start {
		return errors.Errorf("JSON begins with %v, not with %v", token, start)
	}
	for d.More() {
		name := ""
		if start == '{' {
			token, err := d.Token()
			if err != nil {
				return fmt.Errorf("read field: %w", err)
			}
			name, _ = token.(string)
		}
		from := d.InputOffset()
		if err := skipValue(d); err != nil {
			return fmt.Errorf("read value of %q: %w", name, err)
		}
		if err := f(name, bytes.TrimLeft(data[from:d.InputOffset()], " \t\r\n,:")); err != nil {
			return fmt.Errorf("decode %q: %w", name, err)
		}
	}
	if _, err := d.Token(); err != nil {
		return fmt.Errorf("read end of JSON: %w", err)
	}
	return nil
}

// skipValue reads the next value without recursion.
func skipValue(d *json.Decoder) error {
	for depth := 0; ; {
		token, err := d.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}
