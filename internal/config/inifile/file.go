package inifile

import (
	"fmt"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// noChildDelimiter replaces the library's delimiter of child sections, a dot: section
// names are flat here and may contain dots.
const noChildDelimiter = "\x00"

// File is a parsed file. It collects validation errors while it is decoded.
type File struct {
	Name   string
	Errors ValidationErrors

	ini         *ini.File
	invalidKeys map[string]bool // section and key, separated by NUL, of values that could not be decoded
}

// Parse parses INI text. A syntax error is returned alone, as nothing can be decoded.
func Parse(name string, text []byte) (*File, error) {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowNonUniqueSections:     true,
		ChildSectionDelimiter:      noChildDelimiter,
		SkipUnrecognizableLines:    false,
		IgnoreInlineComment:        true,
		UnescapeValueDoubleQuotes:  true,
		AllowDuplicateShadowValues: true,
	}, text)
	if err != nil {
		return nil, ValidationErrors{{File: name, Problem: fmt.Sprintf("invalid INI syntax: %v", err)}}
	}
	return &File{Name: name, ini: f, invalidKeys: make(map[string]bool)}, nil
}

// Err returns the errors found so far, sorted by section and key, or nil.
func (f *File) Err() error {
	if len(f.Errors) == 0 {
		return nil
	}
	sort.SliceStable(f.Errors, func(i, j int) bool {
		return f.Errors[i].Section+"\x00"+f.Errors[i].Key < f.Errors[j].Section+"\x00"+f.Errors[j].Key
	})
	return f.Errors
}

// AddError adds an error, unless the key's value could not be decoded: that error was
// added already.
func (f *File) AddError(section, key, format string, args ...any) {
	if f.invalidKeys[section+"\x00"+key] {
		return
	}
	f.Errors = append(f.Errors, ValidationError{File: f.Name, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// DropErrors removes the errors of some keys of a section.
func (f *File) DropErrors(section string, keys ...string) {
	var kept ValidationErrors
	for _, e := range f.Errors {
		if e.Section != section || !contains(keys, e.Key) {
			kept = append(kept, e)
		}
	}
	f.Errors = kept
}

// addInvalidKey adds an error for a key whose value could not be decoded.
func (f *File) addInvalidKey(section, key, format string, args ...any) {
	f.AddError(section, key, format, args...)
	f.invalidKeys[section+"\x00"+key] = true
}

// CheckSections adds an error for every section whose kind is not listed, for every
// section that appears more than once and for every key outside a section. A section is
// named "Kind" or "Kind name".
func (f *File) CheckSections(kinds ...string) {
	seen := make(map[string]bool)
	for _, s := range f.ini.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			for _, k := range s.Keys() {
				f.AddError("", k.Name(), "key %q is outside any section", k.Name())
			}
			continue
		}
		if seen[name] {
			f.AddError(name, "", "section appears more than once")
		}
		seen[name] = true
		kind, _, _ := strings.Cut(name, " ")
		if !contains(kinds, kind) {
			f.AddError(name, "", "unknown section; expected one of %s", strings.Join(kinds, ", "))
		}
	}
}

// DecodeSection decodes a section into target, a pointer to a struct. It does nothing if
// the file has no such section.
func (f *File) DecodeSection(section string, target any) {
	if s := f.findSection(section); s != nil {
		f.decode(s, target)
	}
}

// HasSection reports whether the file has the section.
func (f *File) HasSection(section string) bool { return f.findSection(section) != nil }

// NamesOfKind returns the names of all sections "kind name". It adds an error for a
// section of the kind that has no name.
func (f *File) NamesOfKind(kind string) []string {
	var names []string
	for _, s := range f.ini.Sections() {
		k, name, ok := strings.Cut(s.Name(), " ")
		if k != kind {
			continue
		}
		if !ok || strings.TrimSpace(name) == "" {
			f.AddError(s.Name(), "", "needs a name, as in [%s NAME]", kind)
			continue
		}
		if !contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func (f *File) findSection(name string) *ini.Section {
	for _, s := range f.ini.Sections() {
		if s.Name() == name {
			return s
		}
	}
	return nil
}

func contains(list []string, item string) bool {
	for _, s := range list {
		if s == item {
			return true
		}
	}
	return false
}
