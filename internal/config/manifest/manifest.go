// Package manifest stores a document as parts under their digests and one
// manifest whose compare-and-swap is the commit. A change moves only the parts
// that changed.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"wisteriafield/internal/config/document"
)

// shards is how many parts hold the organisations.
const shards = 256

// ErrDigestMismatch reports a part or a document that is not what its digest says.
var ErrDigestMismatch = errors.New("digest differs")

// Manifest names the parts of the document that is in force.
type Manifest struct {
	Environment string
	Revision    int64 // only grows; 1 is the first
	Digest      string
	Parts       []Part
	Origin      string   // who wrote it, for the loser of a race
	Attempt     string   // unique, so that a lost answer can be recognised
	History     []string // attempts of the latest revisions, this one last
}

// maxHistory is how many revisions back a lost answer can be recognised.
const maxHistory = 32

// Next returns the manifest that follows m with other parts.
func (m *Manifest) Next(parts []Part, origin, attempt string) Manifest {
	history := append(append([]string(nil), m.History...), attempt)
	if len(history) > maxHistory {
		history = history[len(history)-maxHistory:]
	}
	return Manifest{
		Environment: m.Environment, Revision: m.Revision + 1, Digest: DigestOf(parts),
		Parts: parts, Origin: origin, Attempt: attempt, History: history,
	}
}

// IncludesAttempt reports whether attempt is m or one of the revisions before it.
func (m *Manifest) IncludesAttempt(attempt string) bool {
	return slices.Contains(m.History, attempt)
}

// Part is one stored piece of a document.
type Part struct {
	Name   string
	Digest string
}

// Supersedes reports whether a router that runs old must take m. Revisions never
// fall.
func (m *Manifest) Supersedes(old int64) bool { return m.Revision > old }

type base struct {
	Policy   document.Policy
	Models   []document.Model
	Services []document.Service
}

// Split cuts a document into parts. It returns the bodies by digest.
func Split(d *document.Document) ([]Part, map[string][]byte, error) {
	groups := map[string]any{
		"base":    base{d.Policy, d.Models, d.Services},
		"engines": d.Engines,
	}
	organisations := make(map[string][]document.Organisation)
	for _, o := range d.Organisations {
		name := fmt.Sprintf("organisations-%03d", xxhash.Sum64String(o.Name)%shards)
		organisations[name] = append(organisations[name], o)
	}
	for name, list := range organisations {
		groups[name] = list
	}
	var parts []Part
	bodies := make(map[string][]byte)
	for name, group := range groups {
		body, err := json.Marshal(group)
		if err != nil {
			return nil, nil, fmt.Errorf("encode part %s: %w", name, err)
		}
		digest := digestOf(body)
		parts = append(parts, Part{name, digest})
		bodies[digest] = body
	}
	sort.Slice(parts, func(i, j int) bool { return parts[i].Name < parts[j].Name })
	return parts, bodies, nil
}

// DigestOf returns the digest of a whole document from its parts.
func DigestOf(parts []Part) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%s %s\n", p.Name, p.Digest)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Join puts a document together and checks every digest on the way.
func Join(m *Manifest, bodies map[string][]byte) (*document.Document, error) {
	if DigestOf(m.Parts) != m.Digest {
		return nil, fmt.Errorf("manifest %d: %w", m.Revision, ErrDigestMismatch)
	}
	d := &document.Document{}
	for _, p := range m.Parts {
		body := bodies[p.Digest]
		if digestOf(body) != p.Digest {
			return nil, fmt.Errorf("part %s: %w", p.Name, ErrDigestMismatch)
		}
		if err := joinPart(d, p.Name, body); err != nil {
			return nil, fmt.Errorf("decode part %s: %w", p.Name, err)
		}
	}
	sort.Slice(d.Organisations, func(i, j int) bool { return d.Organisations[i].Name < d.Organisations[j].Name })
	return d, nil
}

func joinPart(d *document.Document, name string, body []byte) error {
	switch name {
	case "base":
		var b base
		if err := json.Unmarshal(body, &b); err != nil {
			return err
		}
		d.Policy, d.Models, d.Services = b.Policy, b.Models, b.Services
		return nil
	case "engines":
		return json.Unmarshal(body, &d.Engines)
	default:
		var list []document.Organisation
		if err := json.Unmarshal(body, &list); err != nil {
			return err
		}
		d.Organisations = append(d.Organisations, list...)
		return nil
	}
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
