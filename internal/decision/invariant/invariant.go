// Package invariant asserts inside the program what must always hold. A break is
// counted and logged; tests make it fatal.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

var (
	broken  = metrics.NewCounter("wisteriafield_invariants_broken_total")
	handler atomic.Pointer[func(string)]
)

// OnViolation sets what happens at a break, beside the count.
func OnViolation(f func(message string)) { handler.Store(&f) }

// Check reports a break if ok is false. It returns ok.
func Check(ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	broken.Inc()
	if f := handler.Load(); f != nil {
		(*f)(fmt.Sprintf(format, args...))
	}
	return false
}

// Violations returns the number of breaks so far.
func Violations() uint64 { return broken.Get() }
