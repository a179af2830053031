package document

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"wisteriafield/internal/decision/storehistory"
)

// View indexes a document for lookups and has the position and digest of its manifest.
// It is immutable: a router replaces its pointer to the view when the document changes.
type View struct {
	*Document
	storehistory.Position
	Digest string

	organisationsByKeyHash map[string]*Organisation
	organisationsByName    map[string]*Organisation
	modelsByName           map[string]*Model
	enginesByName          map[string]*Engine
	servicesByName         map[string]*Service
}

// NewView indexes a document.
func NewView(d *Document, position storehistory.Position, digest string) *View {
	v := &View{
		Document: d, Position: position, Digest: digest,
		organisationsByKeyHash: make(map[string]*Organisation),
		organisationsByName:    make(map[string]*Organisation),
		modelsByName:           make(map[string]*Model),
		enginesByName:          make(map[string]*Engine),
		servicesByName:         make(map[string]*Service),
	}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		v.organisationsByName[o.Name] = o
		for _, key := range o.Keys {
			v.organisationsByKeyHash[key] = o
		}
	}
	for i := range d.Models {
		v.modelsByName[d.Models[i].Name] = &d.Models[i]
	}
	for i := range d.Engines {
		v.enginesByName[d.Engines[i].Name] = &d.Engines[i]
	}
	for i := range d.Services {
		v.servicesByName[d.Services[i].Name] = &d.Services[i]
	}
	return v
}

// HashKey returns the SHA-256 of a caller's key in hex, the form in which a document
// stores keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// OrganisationByKey returns the organisation that a caller's key belongs to, or nil.
func (v *View) OrganisationByKey(key string) *Organisation {
	return v.organisationsByKeyHash[HashKey(key)]
}

// Organisation returns an organisation by name, or nil.
func (v *View) Organisation(name string) *Organisation { return v.organisationsByName[name] }

// Model returns a model by name, or nil.
func (v *View) Model(name string) *Model { return v.modelsByName[name] }

// Engine returns an engine by name, or nil.
func (v *View) Engine(name string) *Engine { return v.enginesByName[name] }

// Service returns a service by name, or nil.
func (v *View) Service(name string) *Service { return v.servicesByName[name] }

// Allows reports whether a list of allowed names contains the name. An empty list
// allows every name.
func Allows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// IsIdempotent reports whether a call of the service may be executed more than once.
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
