package document

import (
	"encoding/hex"
	"net"
	"regexp"
	"slices"
	"strings"
	"time"

	"wisteriafield/internal/config/inifile"
)

const (
	defaultServiceTimeout = 5 * time.Second
	maxSlots              = 4096
)

// namePattern keeps names safe in paths, headers and event IDs.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// Validate returns the errors of a document that was not parsed from a file.
func (d *Document) Validate() error {
	f := &inifile.File{Name: "document"}
	d.validate(f)
	return f.Err()
}

func (d *Document) validate(f *inifile.File) {
	d.validatePolicy(f)
	d.validateModels(f)
	d.validateEngines(f)
	d.validateOrganisations(f)
	d.validateServices(f)
}

func (d *Document) validatePolicy(f *inifile.File) {
	p := d.Policy
	if !slices.Contains([]Routing{TwoHop, PowerOfTwo, WeightedCost}, p.Routing) {
		f.AddError("Policy", "Routing", "%q is wrong; expected TwoHop, PowerOfTwo or WeightedCost", p.Routing)
	}
	if p.Queueing != ByClass && p.Queueing != ArrivalOrder {
		f.AddError("Policy", "Queueing", "%q is wrong; expected ByClass or Arrival", p.Queueing)
	}
	if p.HedgeShare < 0 || p.HedgeShare > 1 {
		f.AddError("Policy", "HedgeShare", "%v is wrong; expected 0 to 1", p.HedgeShare)
	}
	if p.RetryShare < 0 || p.RetryShare > 1 {
		f.AddError("Policy", "RetryShare", "%v is wrong; expected 0 to 1", p.RetryShare)
	}
}

func (d *Document) validateModels(f *inifile.File) {
	for _, m := range d.Models {
		section := "Model " + m.Name
		validateName(f, section, m.Name)
		if m.Context < 1 {
			f.AddError(section, "Context", "%d is wrong; expected 1 or more tokens", m.Context)
		}
		if m.Replicas < 0 {
			f.AddError(section, "Replicas", "%d is wrong; expected 0 or more", m.Replicas)
		}
		allowedEngines := 0
		for _, e := range d.Engines {
			if slices.Contains(e.Models, m.Name) {
				allowedEngines++
			}
		}
		if allowedEngines == 0 || m.Replicas > allowedEngines {
			f.AddError(section, "Replicas", "%d engines may load it; expected at least %d", allowedEngines, max(m.Replicas, 1))
		}
	}
}

func (d *Document) validateEngines(f *inifile.File) {
	addresses := make(map[string]string)
	for _, e := range d.Engines {
		section := "Engine " + e.Name
		validateName(f, section, e.Name)
		validateAddress(f, section, "Address", e.Address)
		if other := addresses[e.Address]; other != "" && e.Address != "" {
			f.AddError(section, "Address", "%s is also the address of engine %s", e.Address, other)
		}
		addresses[e.Address] = e.Name
		if e.Slots < 1 || e.Slots > maxSlots {
			f.AddError(section, "Slots", "%d is wrong; expected 1 to %d", e.Slots, maxSlots)
		}
		if e.Speed <= 0 {
			f.AddError(section, "Speed", "%v is wrong; expected tokens a second above 0", e.Speed)
		}
		if e.Fencing != FencingEnforced && e.Fencing != FencingIgnored {
			f.AddError(section, "Fencing", "%q is wrong; expected Refuses or Ignores", e.Fencing)
		}
		if e.Environment != "trial" && e.Environment != "production" {
			f.AddError(section, "Environment", "%q is wrong; expected trial or production", e.Environment)
		}
		for _, m := range e.Models {
			if !slices.ContainsFunc(d.Models, func(o Model) bool { return o.Name == m }) {
				f.AddError(section, "Models", "no [Model %s] in this file", m)
			}
		}
	}
}

func (d *Document) validateOrganisations(f *inifile.File) {
	keyOwners := make(map[string]string)
	for _, o := range d.Organisations {
		section := "Organisation " + o.Name
		validateName(f, section, o.Name)
		if o.Weight <= 0 {
			f.AddError(section, "Weight", "%v is wrong; expected a number above 0", o.Weight)
		}
		if o.TokensPerSecond <= 0 {
			f.AddError(section, "TokensPerSecond", "%v is wrong; expected a number above 0", o.TokensPerSecond)
		}
		if o.InFlight < 1 {
			f.AddError(section, "InFlight", "%d is wrong; expected 1 or more", o.InFlight)
		}
		for _, key := range o.Keys {
			if raw, err := hex.DecodeString(key); err != nil || len(raw) != 32 {
				f.AddError(section, "Keys", "%q is wrong; expected the SHA-256 of a key, 64 hex digits", truncate(key))
			}
			if other := keyOwners[key]; other != "" {
				f.AddError(section, "Keys", "the same key belongs to organisation %s", other)
			}
			keyOwners[key] = o.Name
		}
	}
}

func (d *Document) validateServices(f *inifile.File) {
	for _, s := range d.Services {
		section := "Service " + s.Name
		validateName(f, section, s.Name)
		if s.Timeout <= 0 {
			f.AddError(section, "Timeout", "%v is wrong; expected a duration above 0", s.Timeout)
		}
		for _, server := range s.Servers {
			name, address, ok := strings.Cut(server, "=")
			if !ok || !namePattern.MatchString(name) {
				f.AddError(section, "Servers", "%q is wrong; expected NAME=IP:PORT", server)
				continue
			}
			validateAddress(f, section, "Servers", address)
		}
		for _, call := range s.Repeatable {
			method, path, ok := strings.Cut(call, " ")
			if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
				f.AddError(section, "Repeatable", "%q is wrong; expected METHOD /PATH", call)
			}
		}
	}
}

func validateName(f *inifile.File, section, name string) {
	if !namePattern.MatchString(name) {
		f.AddError(section, "", "name is wrong; expected lower case letters, digits, '.', '_' and '-', 64 at most")
	}
}

func validateAddress(f *inifile.File, section, key, address string) {
	if address == "" {
		return
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		f.AddError(section, key, "%q is wrong; expected IP:PORT", address)
	}
}

func truncate(s string) string {
	if len(s) > 12 {
		return s[:12] + "..."
	}
	return s
}
