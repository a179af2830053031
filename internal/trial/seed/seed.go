// Package seed gives property tests a fixed seed, so that every CI run generates the same
// cases. A seed on the command line takes precedence.
package seed

import "flag"

const defaultSeed = "20261204"

// SetDefault sets the seed unless the command line has one. Call it from TestMain.
func SetDefault() {
	flag.Parse()
	f := flag.Lookup("rapid.seed")
	if f == nil || f.Value.String() != "0" {
		return
	}
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}
