package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Each request with such a part was sent to one engine after the other.
func TestPromptPartThatCrashesEnginesIsNotSentToAllOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.engines.deadlyPart = "deadly"
		for i := range 6 {
			h.serve(h.newRequestOf(fmt.Sprintf("own-%d", i), "system", "deadly"))
			time.Sleep(3 * time.Second)
			res, _ := h.serve(h.newRequestOf(fmt.Sprintf("sound-%d", i), "system"))
			h.Expect(res.Code).To(Equal(http.StatusOK), "a sound request with the same first part")
		}
		deadly := 0
		for _, d := range h.engines.dispatched() {
			if d.Request.PromptParts[1].ID == "deadly" {
				deadly++
			}
		}
		h.Expect(deadly).To(BeNumerically("<=", 5+3))
	})
}
