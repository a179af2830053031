// Command wisteriafield serves long model generations on engines that fail.
package main

import (
	"os"

	"wisteriafield/internal/operator/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
