package e2e

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A store that is restored from an older copy", func() {
	It("costs no second run of a booking and no configuration in effect", func() {
		h := startFleet(3)
		Expect(h.PostPlatform("/v1/copy")).To(Succeed())
		key, body := newBookingKey(), `{"Sign":"restored"}`
		Expect(h.book(0, key, body).Status).To(Equal(http.StatusCreated))
		h.applyAndPromote("a1")
		for _, r := range h.Routers {
			Eventually(func() int64 { return h.Revision(r) }, configTimeout, 50*time.Millisecond).Should(BeEquivalentTo(2))
		}
		Expect(h.PostPlatform("/v1/restore")).To(Succeed())
		for i := range h.Routers {
			h.book(i, key, body)
		}
		Expect(h.executions(body)).To(Equal(1))
		Eventually(func() error {
			_, err := h.command("status")
			return err
		}, 2*configTimeout, 200*time.Millisecond).Should(Succeed())
		for _, r := range h.Routers {
			Expect(h.Revision(r)).To(BeEquivalentTo(2))
		}
		h.applyAndPromote("a2")
		for _, r := range h.Routers {
			Eventually(func() int64 { return h.Revision(r) }, configTimeout, 50*time.Millisecond).Should(BeEquivalentTo(3))
		}
		Eventually(func() int { return h.book(1, key, body).Status }, configTimeout, 200*time.Millisecond).Should(Equal(http.StatusCreated))
		Expect(h.executions(body)).To(Equal(1))
	})
})
