// Command standin runs one stand-in for an outside system: the platform, a model
// engine, a plain service or the weight store.
package main

import (
	"os"

	"wisteriafield/internal/standin/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:])) }
