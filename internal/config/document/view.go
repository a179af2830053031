package document

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// View is a document made ready for lookups, with the revision it came under.
// It is immutable; routers swap the pointer to it.
type View struct {
	*Document
	Revision int64
	Digest   string

	organisations map[string]*Organisation // by key hash
	byName        map[string]*Organisation
	models        map[string]*Model
	engines       map[string]*Engine
	services      map[string]*Service
}

// NewView indexes a document.
func NewView(d *Document, revision int64, digest string) *View {
	v := &View{
		Document: d, Revision: revision, Digest: digest,
		organisations: make(map[string]*Organisation),
		byName:        make(map[string]*Organisation),
		models:        make(map[string]*Model),
		engines:       make(map[string]*Engine),
		services:      make(map[string]*Service),
	}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		v.byName[o.Name] = o
		for _, key := range o.Keys {
			v.organisations[key] = o
		}
	}
	for i := range d.Models {
		v.models[d.Models[i].Name] = &d.Models[i]
	}
	for i := range d.Engines {
		v.engines[d.Engines[i].Name] = &d.Engines[i]
	}
	for i := range d.Services {
		v.services[d.Services[i].Name] = &d.Services[i]
	}
	return v
}

// HashKey returns the form in which a document stores a caller's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationByKey returns the organisation that a caller's key belongs to, or nil.
func (v *View) OrganisationByKey(key string) *Organisation { return v.organisations[HashKey(key)] }

// Organisation returns an organisation by name, or nil.
func (v *View) Organisation(name string) *Organisation { return v.byName[name] }

// Model returns a model by name, or nil.
func (v *View) Model(name string) *Model { return v.models[name] }

// Engine returns an engine by name, or nil.
func (v *View) Engine(name string) *Engine { return v.engines[name] }

// Service returns a service by name, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Allows reports whether the list holds name or is empty.
func Allows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// IsIdempotent reports whether a call of the service may be sent twice.
func (s *Service) IsIdempotent(method, path string) bool {
	for _, call := range s.Repeatable {
		m, pattern, _ := strings.Cut(call, " ")
		if m != method {
			continue
		}
		if prefix, ok := strings.CutSuffix(pattern, "*"); ok && strings.HasPrefix(path, prefix) {
			return true
		}
		if pattern == path {
			return true
		}
	}
	return false
}
