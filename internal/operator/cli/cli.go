// Package cli implements the command line: the commands that run a router and the
// commands for operators.
package cli

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"wisteriafield/internal/config/inifile"
	"wisteriafield/internal/platform/publish"
	"wisteriafield/platform/kv"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1 // anything else
	exitUsage       = 2 // wrong flags
	exitInvalidFile = 3 // a file has errors
	exitRace        = 4 // another operator's change came first
	exitStore       = 5 // the store did not answer, or its answer was lost
	exitUnconfirmed = 6 // a router does not confirm the revision
)

const description = `Serves long model generations on engines that fail.

Exit codes: 0 done, 1 failed, 2 wrong flags, 3 faults in a file, 4 another
operator's change came first, 5 the store did not answer, 6 not confirmed by
all routers.

Examples:
  wisteriafield check production.ini
  wisteriafield apply --settings operator.ini --wait 8s production.ini
  wisteriafield promote --settings operator.ini --wait 8s
  wisteriafield status --settings operator.ini --json`

// errUnconfirmed means that not all routers confirm a revision.
var errUnconfirmed = errors.New("not confirmed by all routers")

// errStoreBehind means that routers run a configuration that the store does not have.
var errStoreBehind = errors.New("the store was restored from an older copy; the routers write what it lost again within seconds: wait and try again")

// output holds the writers of a command.
type output struct {
	out io.Writer
	err io.Writer
}

// Run parses and runs one command and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	o := output{stdout, stderr}
	parser := flags.NewNamedParser("wisteriafield", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	for _, c := range newCommands(o) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.commander); err != nil {
			fmt.Fprintln(stderr, err)
			return exitUsage
		}
	}
	_, err := parser.ParseArgs(args)
	return printError(err, o)
}

// command describes a command to the flags parser.
type command struct {
	name, short, long string
	commander         flags.Commander
}

func newCommands(o output) []command {
	return []command{
		{"router", "Run a router", "Runs a router on this host until SIGTERM, then drains it.\n\nExample: wisteriafield router --settings host.ini", &routerCommand{}},
		{"edge", "Run a router on the users' platform", "Runs a router with the platform's settings file until SIGTERM, then drains it.\n\nExample: wisteriafield edge --settings local.toml", &edgeCommand{}},
		{"check", "Check files", "Checks environment documents, or host settings with --host.\n\nExample: wisteriafield check production.ini", &checkCommand{output: o}},
		{"apply", "Apply a document to trial", "Writes a document as the next revision of trial.\n\nExample: wisteriafield apply --settings operator.ini --wait 8s env.ini", &applyCommand{changeCommand: changeCommand{output: o}}},
		{"promote", "Promote trial to production", "Writes exactly what is in effect in trial as the next revision of production.\n\nExample: wisteriafield promote --settings operator.ini --wait 8s", &promoteCommand{changeCommand: changeCommand{output: o}}},
		{"status", "Show revisions", "Shows the revision in effect on each router.\n\nExample: wisteriafield status --settings operator.ini --json", &statusCommand{output: o}},
		{"dump", "Dump a router's state", "Prints the whole state of a router.\n\nExample: wisteriafield dump --settings operator.ini catania-1", &dumpCommand{output: o}},
		{"version", "Print the version", "Prints the version.", &versionCommand{output: o}},
	}
}

// printError prints an error, if there is one, and returns the exit code.
func printError(err error, o output) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(o.out, usage.Message)
			return exitOK
		}
		fmt.Fprintln(o.err, usage.Message)
		return exitUsage
	}
	fmt.Fprintln(o.err, err)
	var validationErrors inifile.ValidationErrors
	var race *publish.RaceError
	switch {
	case errors.As(err, &validationErrors):
		return exitInvalidFile
	case errors.As(err, &race):
		return exitRace
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, kv.ErrAmbiguous), errors.Is(err, publish.ErrOutcomeUnknown), errors.Is(err, publish.ErrRestored), errors.Is(err, errStoreBehind):
		return exitStore
	case errors.Is(err, errUnconfirmed):
		return exitUnconfirmed
	default:
		return exitFailed
	}
}
