// Package enginespeed learns how fast one engine generates and prefills while nothing
// disturbs it, from the answers of the attempts that it runs. It uses no clock and no network.
package enginespeed

import (
	"slices"
	"time"

	"wisteriafield/internal/base/ewma"
)

const (
	// tokenSamples is the number of the newest samples of the token time that count. At one
	// sample per four events, a single stream of 30 events per second replaces them in 3 s.
	tokenSamples = 21
	// minTokenSamples is how many samples make the token time known. A prompt that is prefilled
	// when the first streams begin disturbs two samples of each.
	minTokenSamples = 8
	// tokenQuantile is the part of the samples that may be too short, as after a stall of the
	// link, whose events then arrive together. The others may be too long: a prompt that is
	// prefilled stretches one or two samples of every stream on the engine.
	tokenQuantile = 0.25
	// disturbedFactor times the token time is longer than what slows an engine as a whole, but a
	// prefill stretches the steps of the streams beside it to 5 to 8 times. Such samples count
	// only after maxDisturbed in a row: two prompts in a row stretch some 16 of four streams.
	disturbedFactor = 3
	maxDisturbed    = 24
	// typicalFallWeight and typicalRiseWeight are the weights of a shorter and of a longer token
	// time in its long-term mean. A disturbance only ever stretches it.
	typicalFallWeight = 0.1
	typicalRiseWeight = 0.002
	// prefillSamples is the number of the newest samples of the prefill rate that count.
	prefillSamples = 7
	// prefillQuantile is the part of the samples that may be too high, as for a prompt that the
	// engine has cached. The others may be too low, since other prompts may have come first.
	prefillQuantile = 0.3
)

// Speed is the undisturbed speed of an engine. Fields that are 0 are not known.
type Speed struct {
	TokenTime          time.Duration // of one output token of one stream
	PrefillTokensPerMs float64       // prompt tokens, from dispatch to the first event
}

// OrElse returns the speed with what is not known replaced by another speed.
func (s Speed) OrElse(other Speed) Speed {
	if s.TokenTime == 0 {
		s.TokenTime = other.TokenTime
	}
	if s.PrefillTokensPerMs == 0 {
		s.PrefillTokensPerMs = other.PrefillTokensPerMs
	}
	return s
}

// Median returns the median of the known speeds, for engines whose speed is not known.
func Median(speeds []Speed) Speed {
	var tokenTimes []time.Duration
	var rates []float64
	for _, s := range speeds {
		if s.TokenTime > 0 {
			tokenTimes = append(tokenTimes, s.TokenTime)
		}
		if s.PrefillTokensPerMs > 0 {
			rates = append(rates, s.PrefillTokensPerMs)
		}
	}
	return Speed{TokenTime: quantile(tokenTimes, 0.5), PrefillTokensPerMs: quantile(rates, 0.5)}
}

// Tracker learns the speed of one engine. The zero value knows nothing. It is not safe for
// concurrent use.
type Tracker struct {
	tokenTimes []time.Duration // the newest samples, oldest first
	prefills   []prefill       // the newest samples, oldest first
	tokenTime  time.Duration   // from the samples, 0 if there are too few
	typical    time.Duration   // long-term mean of tokenTime
	disturbed  int             // samples in a row that were left out
}

// prefill is a sample of the prefill rate. What slows an engine slows its prefill and its steps
// alike, so the rate is adjusted by how the token time has changed since.
type prefill struct {
	tokensPerMs float64
	tokenTime   time.Duration // then or soon after, the shortest; 0 if not known yet
	age         int           // samples of the token time since, at most tokenSamples
}

// settle updates the token time of a sample until what disturbed the streams at its time no longer
// counts. Otherwise it would seem later that the engine had been slow then, and its rate would be
// overestimated by the same factor.
func (p *prefill) settle(tokenTime time.Duration) {
	if p.tokenTime == 0 || p.age < tokenSamples && tokenTime < p.tokenTime {
		p.tokenTime = tokenTime
	}
	p.age = min(p.age+1, tokenSamples)
}

// RecordFirstEvent records the first event of an attempt, whose prompt was not cached, and how
// long after the dispatch it arrived. Alone means that no other prompt was known to wait or to
// be prefilled at the dispatch. Otherwise the rate is a lower bound.
func (t *Tracker) RecordFirstEvent(promptTokens int, took time.Duration, alone bool) {
	if promptTokens <= 0 || took <= 0 {
		return
	}
	rate := float64(promptTokens) * float64(time.Millisecond) / float64(took)
	if !alone && (len(t.prefills) == 0 || rate <= t.prefillRate()) {
		return
	}
	t.prefills = appendNewest(t.prefills, prefill{tokensPerMs: rate, tokenTime: t.tokenTime}, prefillSamples)
}

// RecordEvents records events of one attempt with tokens output tokens in all, and the time from
// the event before them to the last one. Several events, so that a delay on the way of one of
// them counts little.
func (t *Tracker) RecordEvents(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	sample := took / time.Duration(tokens)
	if t.tokenTime == 0 || sample < disturbedFactor*t.tokenTime {
		t.disturbed = 0
	} else if t.disturbed++; t.disturbed <= maxDisturbed {
		return
	} else if t.disturbed == maxDisturbed+1 {
		t.tokenTimes = nil
	}
	t.tokenTimes = appendNewest(t.tokenTimes, sample, tokenSamples)
	if len(t.tokenTimes) < minTokenSamples {
		return
	}
	t.tokenTime = quantile(t.tokenTimes, tokenQuantile)
	for i := range t.prefills {
		t.prefills[i].settle(t.tokenTime)
	}
	if len(t.tokenTimes) < tokenSamples {
		return
	}
	weight := typicalRiseWeight
	if t.tokenTime < t.typical {
		weight = typicalFallWeight
	}
	t.typical = ewma.Blend(t.typical, t.tokenTime, weight)
}

// Speed returns the speed as far as it is known.
func (t *Tracker) Speed() Speed {
	return Speed{TokenTime: t.tokenTime, PrefillTokensPerMs: t.prefillRate()}
}

func (t *Tracker) prefillRate() float64 {
	rates := make([]float64, len(t.prefills))
	for i, p := range t.prefills {
		rates[i] = p.tokensPerMs
		if p.tokenTime > 0 && t.tokenTime > 0 {
			rates[i] *= float64(p.tokenTime) / float64(t.tokenTime)
		}
	}
	return quantile(rates, 1-prefillQuantile)
}

// Restarted returns what is expected of the engine after it has restarted. It is the long-term
// speed: the engine may have been lost while prompts disturbed it, and while it seems slow it
// gets no streams that would show otherwise.
func (t *Tracker) Restarted() Tracker {
	next := Tracker{prefills: slices.Clone(t.prefills), tokenTime: t.typical, typical: t.typical}
	if t.typical > 0 {
		next.tokenTimes = []time.Duration{t.typical}
	}
	return next
}

// appendNewest appends a sample and drops the oldest ones beyond n.
func appendNewest[T any](samples []T, sample T, n int) []T {
	if len(samples) == n {
		samples = slices.Delete(samples, 0, 1)
	}
	return append(samples, sample)
}

// quantile returns the value below which a part q of the values lies, 0 if there are none.
func quantile[T int | float64 | time.Duration](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
