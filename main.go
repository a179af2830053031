// Command wisteriafield runs a router between callers and backend servers, which resumes
// long model generations when engines fail. Its other commands check, apply and show the
// router's configuration.
package main

import (
	"os"

	"wisteriafield/internal/operator/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
