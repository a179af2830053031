package cli

import (
	"fmt"
	"runtime"
)

// Version is the version of the program.
const Version = "0.1.0"

type versionCommand struct{ output }

// Execute prints the versions of the program and of Go.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.out, "wisteriafield %s %s\n", Version, runtime.Version())
	return err
}
