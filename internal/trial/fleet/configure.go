package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"wisteriafield/internal/config/document"
)

// WriteDocument writes the environment document of the fleet and returns its path.
func (f *Fleet) WriteDocument() (string, error) {
	var text strings.Builder
	text.WriteString("[Policy]\nGrace = 5s\n" + f.ExtraPolicy + "\n\n[Model redattore]\nVersion = 1\n\n[Model costing-llm]\nVersion = 1\n\n")
	for _, e := range f.Engines {
		fencing := document.FencingIgnored
		if e.Fencing {
			fencing = document.FencingEnforced
		}
		fmt.Fprintf(&text, "[Engine %s]\nAddress = %s\nDomain = %s\nRegion = sicilia\nSlots = %d\nSpeed = %v\nModels = redattore, costing-llm\nFencing = %s\n\n",
			e.Name, e.Address, e.Domain, e.Slots, e.Speed, fencing)
	}
	fmt.Fprintf(&text, "[Organisation scordia]\nKeys = %s\nWeight = 2\nTokensPerSecond = 100000\nInFlight = 1000\n\n", document.HashKey(KeyScordia))
	fmt.Fprintf(&text, "[Organisation qalamdaan]\nKeys = %s\nTokensPerSecond = 100000\nInFlight = 1000\n\n", document.HashKey(KeyQalamdaan))
	fmt.Fprintf(&text, "[Service banco]\nServers = banco-1=%s\nRepeatable = GET /availability\n\n", f.Services["banco-1"])
	fmt.Fprintf(&text, "[Service grant-ledger]\nServers = grant-ledger-1=%s\nRepeatable = GET /availability, POST /rates\n", f.Services["grant-ledger-1"])
	text.WriteString(f.ExtraSections)
	path := filepath.Join(f.Dir, "environment.ini")
	return path, os.WriteFile(path, []byte(text.String()), 0o644)
}

// Configure checks the document, applies it to the trial environment, promotes it to
// production and waits until it is in effect. It passes the output of each command to
// report.
func (f *Fleet) Configure(ctx context.Context, report func(string)) error {
	path, err := f.WriteDocument()
	if err != nil {
		return err
	}
	for _, args := range [][]string{
		{"check", path},
		{"apply", "--settings", f.OperatorSettings(), "--wait", "10s", path},
		{"promote", "--settings", f.OperatorSettings(), "--wait", "10s"},
		{"status", "--settings", f.OperatorSettings()},
	} {
		out, err := f.RunCommand(ctx, args...)
		report("$ wisteriafield " + args[0] + "\n" + out)
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
	}
	return nil
}

// RunCommand runs an operator command and returns its output.
func (f *Fleet) RunCommand(ctx context.Context, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, filepath.Join(f.Bin, "wisteriafield"), args...).CombinedOutput()
	return strings.TrimSpace(string(out)), err
}
