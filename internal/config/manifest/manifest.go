// Package manifest splits a document into parts that are stored by digest and named by
// one manifest. A change is committed by a compare-and-swap of the manifest, and only
// the parts that it changed are transferred.
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
	"wisteriafield/internal/decision/storehistory"
)

// organisationParts is the number of parts that organisations are distributed over by
// the hash of their name.
const organisationParts = 256

// ErrDigestMismatch reports a part or a manifest whose content does not have the stated
// digest.
var ErrDigestMismatch = errors.New("digest mismatch")

// Manifest lists the parts of the document that is in effect in an environment.
type Manifest struct {
	Environment string
	Era         int64 `json:",omitempty"` // of the store when the manifest was committed
	Revision    int64 // only increases within an era; the first is 1
	Digest      string
	Parts       []Part
	Origin      string   // who wrote it, shown to an operator whose concurrent change was rejected
	Attempt     string   // unique ID of the write, to recognise it after its answer was lost
	History     []string // Attempt of each of the latest revisions, this one last
}

// maxHistory is the maximum length of History: for so many revisions, its own included, a
// write whose answer was lost can be recognised.
const maxHistory = 32

// Position orders the manifests of an environment: a store that was restored may have lost
// the latest ones, whose revisions are used again.
func (m *Manifest) Position() storehistory.Position {
	return storehistory.Position{Era: m.Era, Revision: m.Revision}
}

// Next returns the manifest of the next revision, with other parts, committed in an era.
func (m *Manifest) Next(parts []Part, origin, attempt string, era int64) Manifest {
	history := append(append([]string(nil), m.History...), attempt)
	if len(history) > maxHistory {
		history = history[len(history)-maxHistory:]
	}
	return Manifest{
		Environment: m.Environment, Era: max(m.Era, era), Revision: m.Revision + 1, Digest: DigestOf(parts),
		Parts: parts, Origin: origin, Attempt: attempt, History: history,
	}
}

// IncludesAttempt reports whether the attempt wrote m or one of the revisions before it.
func (m *Manifest) IncludesAttempt(attempt string) bool {
	return slices.Contains(m.History, attempt)
}

// Part names one stored part of a document.
type Part struct {
	Name   string
	Digest string
}

// Supersedes reports whether a router at the position old must apply m. A router never goes
// back to an earlier one.
func (m *Manifest) Supersedes(old storehistory.Position) bool { return old.Before(m.Position()) }

// basePart is the content of the part "base".
type basePart struct {
	Policy   document.Policy
	Models   []document.Model
	Services []document.Service
}

// Split encodes a document as parts, sorted by name. The bodies are returned by digest.
func Split(d *document.Document) ([]Part, map[string][]byte, error) {
	contents := map[string]any{
		"base":    basePart{d.Policy, d.Models, d.Services},
		"engines": d.Engines,
	}
	organisations := make(map[string][]document.Organisation)
	for _, o := range d.Organisations {
		name := fmt.Sprintf("organisations-%03d", xxhash.Sum64String(o.Name)%organisationParts)
		organisations[name] = append(organisations[name], o)
	}
	for name, list := range organisations {
		contents[name] = list
	}
	var parts []Part
	bodies := make(map[string][]byte)
	for name, content := range contents {
		body, err := json.Marshal(content)
		if err != nil {
			return nil, nil, fmt.Errorf("encode part %s: %w", name, err)
		}
		digest := bodyDigest(body)
		parts = append(parts, Part{name, digest})
		bodies[digest] = body
	}
	sort.Slice(parts, func(i, j int) bool { return parts[i].Name < parts[j].Name })
	return parts, bodies, nil
}

// DigestOf returns the digest of a document, computed from the names and digests of its
// parts.
func DigestOf(parts []Part) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%s %s\n", p.Name, p.Digest)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Join decodes a document from its parts and verifies every digest.
func Join(m *Manifest, bodies map[string][]byte) (*document.Document, error) {
	if DigestOf(m.Parts) != m.Digest {
		return nil, fmt.Errorf("manifest %d: %w", m.Revision, ErrDigestMismatch)
	}
	d := &document.Document{}
	for _, p := range m.Parts {
		body := bodies[p.Digest]
		if bodyDigest(body) != p.Digest {
			return nil, fmt.Errorf("part %s: %w", p.Name, ErrDigestMismatch)
		}
		if err := decodePart(d, p.Name, body); err != nil {
			return nil, fmt.Errorf("decode part %s: %w", p.Name, err)
		}
	}
	sort.Slice(d.Organisations, func(i, j int) bool { return d.Organisations[i].Name < d.Organisations[j].Name })
	return d, nil
}

func decodePart(d *document.Document, name string, body []byte) error {
	switch name {
	case "base":
		var b basePart
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

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
