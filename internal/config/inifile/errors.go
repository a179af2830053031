// Package inifile decodes INI files into structs and reports every validation error
// with its file, section and key and with what was expected.
package inifile

import (
	"fmt"
	"strings"
)

// ValidationError is one problem in a file.
type ValidationError struct {
	File    string
	Section string
	Key     string
	Problem string
}

// Error returns the error in one line.
func (f ValidationError) Error() string {
	if f.Section == "" {
		return fmt.Sprintf("%s: %s", f.File, f.Problem)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", f.File, f.Section, f.Problem)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", f.File, f.Section, f.Key, f.Problem)
}

// ValidationErrors is the list of all problems in a file.
type ValidationErrors []ValidationError

// Error returns one error per line.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}
