package balance

import (
	"time"

	"wisteriafield/internal/decision/enginespeed"
)

const (
	// typicalTokenTime is the time per output token of an engine while no speed is known.
	typicalTokenTime = 5 * time.Millisecond
	// queueWeight is what a waiting prompt costs in all: the wait of this caller, and half as
	// much for the prompts that arrive later behind a longer queue.
	queueWeight = 1.5
	// harmWeight is what a prompt costs each attempt on its engine, as a multiple of the time
	// that it takes to prefill. It holds up a generation for 0.8 of this time directly. While
	// that lasts longer, later prompts hold it up too. In simulations all weights from 1.2 to
	// 2.5 do as well if the speeds are exact. If they are wrong, the upper ones do better, since
	// the attempts are counted and not estimated.
	harmWeight = 2.0
	// noRoomFactor raises the cost of an engine without room above that of any other: the nine
	// attempts that fit in an engine's memory cost up to 70 s on a slow one.
	noRoomFactor = 10
)

// typicalSpeed counts for engines while no speed is known.
var typicalSpeed = enginespeed.Speed{TokenTime: typicalTokenTime, PrefillTokensPerMs: typicalPrefillTokensPerMs}

// FinishTime returns how long an attempt is expected to take on an engine: the prompts that
// wait there and its own are prefilled one after the other, then the output is generated. What
// arrives later is not known.
func FinishTime(e Engine, s enginespeed.Speed, prompt, output int) time.Duration {
	s = s.OrElse(typicalSpeed)
	prefill := float64(e.QueuedTokens+prompt) / s.PrefillTokensPerMs
	return time.Duration(prefill*float64(time.Millisecond)) + time.Duration(output)*s.TokenTime
}

// FinishCost returns the cost in ms of an attempt on an engine: its expected time, what it adds
// to that of the other attempts on the engine, and the risks. It is for loads that include the
// attempts of all routers. Unlike engineCost it tells how fast an engine is from how busy it is.
// Engines without room for the attempt cost more than any others.
func FinishCost(e Engine, s enginespeed.Speed, prompt, output int) float64 {
	s = s.OrElse(typicalSpeed)
	cost := FinishTime(e, s, prompt, output).Seconds() * 1000
	cost += (queueWeight - 1) * float64(e.QueuedTokens) / s.PrefillTokensPerMs
	cost += harmWeight * float64(e.Running) * float64(prompt) / s.PrefillTokensPerMs
	return cost + riskCost(e) + noRoomFactor*capacityCost(e, prompt, output)
}
