package keeper

import (
	"math/rand/v2"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/admission"
)

// globalRandom makes the global random source an argument of the choosers.
type globalRandom struct{}

func (globalRandom) Float64() float64 { return rand.Float64() }

// newChooser returns the rule by which the policy chooses a server.
func newChooser(p document.Policy) admission.Chooser {
	switch p.Routing {
	case document.PowerOfTwo:
		return admission.PowerOfTwo{Random: globalRandom{}}
	case document.WeightedCost:
		return admission.Weighted{Random: globalRandom{}}
	default:
		return admission.LowestScore{}
	}
}
