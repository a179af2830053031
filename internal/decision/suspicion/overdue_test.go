package suspicion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/suspicion"
)

func TestASilenceOfASoundEngineCostsAnAttemptOnlyIfAnotherEngineIsSooner(t *testing.T) {
	for name, c := range map[string]struct {
		overdue suspicion.Overdue
		want    suspicion.Decision
	}{
		"another engine is free":                       {suspicion.Overdue{Unheard: 900 * time.Millisecond, Redo: 200 * time.Millisecond, Alternative: true}, suspicion.Retry},
		"no other engine":                              {suspicion.Overdue{Unheard: 900 * time.Millisecond, Redo: 200 * time.Millisecond}, suspicion.Keep},
		"another engine is free, long prompt":          {suspicion.Overdue{Unheard: 900 * time.Millisecond, Redo: 4 * time.Second, Alternative: true}, suspicion.Keep},
		"another engine is not sooner":                 {suspicion.Overdue{Unheard: 1500 * time.Millisecond, Redo: 500 * time.Millisecond, Alternative: true}, suspicion.Keep},
		"unsound, no other engine":                     {suspicion.Overdue{Unheard: 2 * time.Second, Redo: 200 * time.Millisecond}, suspicion.Retry},
		"unsound, another engine is free, long prompt": {suspicion.Overdue{Unheard: 2 * time.Second, Redo: 4 * time.Second, Alternative: true}, suspicion.Retry},
	} {
		NewWithT(t).Expect(c.overdue.Decide()).To(Equal(c.want), name)
	}
}
