// Package invariant checks at run time conditions that must always hold. A
// violation is counted and passed to a handler, which logs it in a router. The
// end-to-end tests and the soak test fail on any violation.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

var (
	violations = metrics.NewCounter("wisteriafield_invariants_broken_total")
	handler    atomic.Pointer[func(string)]
)

// OnViolation sets the handler that is called for each violation. Without a
// handler, violations are only counted.
func OnViolation(f func(message string)) { handler.Store(&f) }

// Check reports a violation if ok is false. It returns ok.
func Check(ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	violations.Inc()
	if f := handler.Load(); f != nil {
		(*f)(fmt.Sprintf(format, args...))
	}
	return false
}

// Violations returns the number of violations so far.
func Violations() uint64 { return violations.Get() }
