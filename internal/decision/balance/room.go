package balance

// EngineCost is the cost of an engine for an attempt, in ms.
func EngineCost(e Engine, prompt, output int) float64 { return engineCost(e, prompt, output) }

// HasRoom reports whether an engine has a slot and KV cache for an attempt.
func HasRoom(e Engine, prompt, output int) bool { return capacityCost(e, prompt, output) == 0 }

// RouterCost is the part of the cost of an engine that a router knows better than the engine's owner:
// stalls of its link, and its own lost attempts.
func RouterCost(e Engine) float64 {
	return errorCostMs*e.ErrorRate + stallCostMs*min(1, stallWeight*e.StallRate)
}
