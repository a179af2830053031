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
func (e ValidationError) Error() string {
	if e.Section == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Problem)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", e.File, e.Section, e.Problem)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", e.File, e.Section, e.Key, e.Problem)
}

// ValidationErrors is the list of all problems in a file.
type ValidationErrors []ValidationError

// Error returns one error per line.
func (errs ValidationErrors) Error() string {
	lines := make([]string, len(errs))
	for i := range errs {
		lines[i] = errs[i].Error()
	}
	return strings.Join(lines, "\n")
}
