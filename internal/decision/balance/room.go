package balance

// EngineCost is the cost of an engine for an attempt, in ms.
func EngineCost(e Engine, prompt, output int) float64 { return engineCost(e, prompt, output) }

// HasRoom reports whether an engine has a slot and KV cache for an attempt.
func HasRoom(e Engine, prompt, output int) bool { return capacityCost(e, prompt, output) == 0 }
