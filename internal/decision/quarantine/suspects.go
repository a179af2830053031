package quarantine

import (
	"slices"
	"strings"
)

// Suspects are what may be to blame for the loss of a server that ran a request.
type Suspects struct {
	Request string   // digest of a request without a prompt: its path, its caller and its body
	Parts   []string // of the prompt, in order, but for the last one
	Session string   // the last part of the prompt, which no other session has
}

// all returns the suspects, the most general first.
func (s *Suspects) all() []string {
	all := make([]string, 0, len(s.Parts)+2)
	if s.Request != "" {
		all = append(all, s.Request)
	}
	all = append(all, s.Parts...)
	if s.Session != "" {
		all = append(all, s.Session)
	}
	return all
}

// clone returns a copy that does not keep the request's headers in memory.
func (s Suspects) clone() Suspects {
	c := Suspects{Request: strings.Clone(s.Request), Session: strings.Clone(s.Session)}
	for _, p := range s.Parts {
		c.Parts = append(c.Parts, strings.Clone(p))
	}
	return c
}

// owns reports whether a suspect is not shared with other sessions.
func (s *Suspects) owns(suspect string) bool { return suspect == s.Session || suspect == s.Request }

// origin identifies the session, or the request if it has none.
func (s *Suspects) origin() string {
	if s.Session != "" {
		return s.Session
	}
	return s.Request
}

// bounded returns the suspects with at most the last maxParts shared parts.
func (s Suspects) bounded() Suspects {
	s.Parts = slices.DeleteFunc(slices.Clone(s.Parts[max(len(s.Parts)-maxParts, 0):]), func(p string) bool {
		return p == "" || len(p) > maxIDBytes
	})
	return s
}
