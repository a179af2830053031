package keeper

import (
	"math/rand/v2"

	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/admission"
)

type globalRandom struct{}

func (globalRandom) Float64() float64 { return rand.Float64() }

func chooserFor(p document.Policy) admission.Chooser {
	switch p.Routing {
	case document.PowerOfTwo:
		return admission.PowerOfTwo{Random: globalRandom{}}
	case document.WeightedCost:
		return admission.Weighted{Random: globalRandom{}}
	default:
		return admission.LowestScore{}
	}
}
