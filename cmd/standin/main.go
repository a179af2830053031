// Command standin runs one stand-in for an external system: the platform, a model engine,
// a service or the weight store.
package main

import (
	"os"

	"wisteriafield/internal/standin/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:])) }
