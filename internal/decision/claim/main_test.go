package claim_test

import (
	"flag"
	"os"
	"testing"

	"wisteriafield/internal/trial/seed"
)

// Size of the random runs of claimModel: smaller ones seldom get to a second call.
const (
	modelSteps = "200"
	modelRuns  = "4000"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.steps": modelSteps, "rapid.checks": modelRuns} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	seed.SetDefault()
	os.Exit(m.Run())
}
