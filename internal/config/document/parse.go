package document

import (
	"sort"

	"wisteriafield/internal/config/inifile"
)

// Parse parses and validates INI text. Its error is an inifile.ValidationErrors with
// every problem that was found.
func Parse(name string, text []byte) (*Document, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	d := &Document{Policy: DefaultPolicy()}
	f.CheckSections("Policy", "Model", "Engine", "Organisation", "Service")
	f.DecodeSection("Policy", &d.Policy)
	d.Models = decodeAll(f, "Model", newModel)
	d.Engines = decodeAll(f, "Engine", newEngine)
	d.Organisations = decodeAll(f, "Organisation", newOrganisation)
	d.Services = decodeAll(f, "Service", newService)
	d.validate(f)
	return d, f.Err()
}

func decodeAll[T any](f *inifile.File, kind string, newItem func(name string) T) []T {
	names := f.NamesOfKind(kind)
	sort.Strings(names)
	items := make([]T, 0, len(names))
	for _, name := range names {
		item := newItem(name)
		f.DecodeSection(kind+" "+name, &item)
		items = append(items, item)
	}
	return items
}

func newModel(name string) Model {
	return Model{Name: name, Context: 8192, Size: 1 << 30}
}

func newEngine(name string) Engine {
	return Engine{Name: name, Fencing: FencingIgnored, Environment: "production"}
}

func newOrganisation(name string) Organisation {
	return Organisation{Name: name, Weight: 1, TokensPerSecond: 1000, InFlight: 100}
}

func newService(name string) Service {
	return Service{Name: name, Timeout: defaultServiceTimeout}
}
