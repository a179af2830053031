// Command fleet runs the system and its stand-ins on loopback. "demo" demonstrates the
// guarantees of the system, "up" keeps it running, "soak" injects random faults for a
// long time.
package main

import (
	"os"

	"wisteriafield/internal/trial/demo"
)

func main() { os.Exit(demo.Run(os.Args[1:])) }
