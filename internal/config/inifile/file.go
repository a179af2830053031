package inifile

import (
	"fmt"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// noDelimiter stands where the library wants a child section delimiter; section
// names here are flat and may hold dots.
const noDelimiter = "\x00"

// File is a parsed file that collects faults while it is decoded.
type File struct {
	Name   string
	Errors ValidationErrors

	ini    *ini.File
	broken map[string]bool // keys whose value could not be read
}

// Parse reads INI text. A syntax error is the only fault reported then.
func Parse(name string, text []byte) (*File, error) {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowNonUniqueSections:     true,
		ChildSectionDelimiter:      noDelimiter,
		SkipUnrecognizableLines:    false,
		IgnoreInlineComment:        true,
		UnescapeValueDoubleQuotes:  true,
		AllowDuplicateShadowValues: true,
	}, text)
	if err != nil {
		return nil, ValidationErrors{{File: name, Problem: fmt.Sprintf("not INI: %v", err)}}
	}
	return &File{Name: name, ini: f, broken: make(map[string]bool)}, nil
}

// Err returns the faults found so far, or nil.
func (f *File) Err() error {
	if len(f.Errors) == 0 {
		return nil
	}
	sort.SliceStable(f.Errors, func(i, j int) bool {
		return f.Errors[i].Section+"\x00"+f.Errors[i].Key < f.Errors[j].Section+"\x00"+f.Errors[j].Key
	})
	return f.Errors
}

// AddError reports a fault, unless the key's value could not even be read.
func (f *File) AddError(section, key, format string, args ...any) {
	if f.broken[section+"\x00"+key] {
		return
	}
	f.Errors = append(f.Errors, ValidationError{File: f.Name, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// DropErrors forgets the faults of some keys of a section.
func (f *File) DropErrors(section string, keys ...string) {
	var kept ValidationErrors
	for _, fault := range f.Errors {
		if fault.Section != section || !contains(keys, fault.Key) {
			kept = append(kept, fault)
		}
	}
	f.Errors = kept
}

// addBroken reports that a key's value could not be read.
func (f *File) addBroken(section, key, format string, args ...any) {
	f.AddError(section, key, format, args...)
	f.broken[section+"\x00"+key] = true
}

// CheckSections reports every section whose kind is not listed and every section that
// stands twice. A section is named "Kind" or "Kind name".
func (f *File) CheckSections(kinds ...string) {
	seen := make(map[string]bool)
	for _, s := range f.ini.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			for _, k := range s.Keys() {
				f.AddError("", k.Name(), "key %q stands before any section", k.Name())
			}
			continue
		}
		if seen[name] {
			f.AddError(name, "", "section stands twice")
		}
		seen[name] = true
		kind, _, _ := strings.Cut(name, " ")
		if !contains(kinds, kind) {
			f.AddError(name, "", "unknown section; expected one of %s", strings.Join(kinds, ", "))
		}
	}
}

// DecodeSection decodes the section without a name into target, a pointer to struct.
func (f *File) DecodeSection(kind string, target any) {
	if s := f.find(kind); s != nil {
		f.decode(s, target)
	}
}

// HasSection reports whether the section is there.
func (f *File) HasSection(section string) bool { return f.find(section) != nil }

// NamesOfKind returns the names of all sections "kind name".
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

func (f *File) find(name string) *ini.Section {
	for _, s := range f.ini.Sections() {
		if s.Name() == name {
			return s
		}
	}
	return nil
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}
