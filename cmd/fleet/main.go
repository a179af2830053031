// Command fleet runs the system with its stand-ins on loopback: "demo" shows what
// must hold, "up" leaves it running, "soak" breaks it at random for long.
package main

import (
	"os"

	"wisteriafield/internal/trial/demo"
)

func main() { os.Exit(demo.Run(os.Args[1:])) }
