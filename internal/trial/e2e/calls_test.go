package e2e

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
)

// book sends a booking through a router.
func (h *harness) book(router int, key, body string) caller.Reply {
	reply, err := h.caller.Call(h.ctx, h.Routers[router].Host.CallerAddress, fleet.KeyScordia, key, http.MethodPost, "/banco/bookings", body)
	if err != nil {
		return caller.Reply{Code: "broken"}
	}
	return reply
}

// executions returns how many times the service executed a booking.
func (h *harness) executions(body string) int {
	res, err := http.Get("http://" + h.Services["banco-1"] + "/runs")
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	var runs map[string]int
	Expect(json.NewDecoder(res.Body).Decode(&runs)).To(Succeed())
	return runs[body]
}

var _ = Describe("A booking", func() {
	It("runs once when many routers get it at once, and all callers get its answer", func() {
		h := startFleet(3)
		key, body := newBookingKey(), `{"Sign":1}`
		replies := make([]caller.Reply, 9)
		var wg sync.WaitGroup
		for i := range replies {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				replies[i] = h.book(i%3, key, body)
			}()
		}
		wg.Wait()
		Expect(h.executions(body)).To(Equal(1))
		for _, r := range replies {
			Expect(r.Status).To(Equal(http.StatusCreated))
			Expect(r.Body).To(Equal(replies[0].Body))
		}
	})

	It("runs once when the store loses its answers after the write", func() {
		h := startFleet(3)
		for i := range 5 {
			key, body := newBookingKey(), `{"Sign":"lost`+string(rune('a'+i))+`"}`
			Expect(h.InjectFault(h.PlatformAddress, `{"LoseAnswers":1}`)).To(Succeed())
			Expect(h.book(0, key, body).Status).To(Equal(http.StatusCreated))
			Expect(h.book(1, key, body).Status).To(Equal(http.StatusCreated))
			Expect(h.executions(body)).To(Equal(1))
		}
	})

	It("is not run, and is answered with not_run, while the store is down", func() {
		h := startFleet(3)
		key, body := newBookingKey(), `{"Sign":"outage"}`
		Expect(h.InjectFault(h.PlatformAddress, `{"Outage":true}`)).To(Succeed())
		Expect(h.book(0, key, body).Code).To(Equal("not_run"))
		Expect(h.executions(body)).To(BeZero())
		Expect(h.InjectFault(h.PlatformAddress, `{"Outage":false}`)).To(Succeed())
		Expect(h.executions(body)).To(BeZero())
		Expect(h.book(1, key, body).Status).To(Equal(http.StatusCreated))
		Expect(h.executions(body)).To(Equal(1))
	})

	It("has an unknown outcome, and is not sent again, when the service's answer is lost", func() {
		h := startFleet(3)
		key, body := newBookingKey(), `{"Sign":"unknown"}`
		Expect(h.InjectFault(h.Services["banco-1"], `{"LoseAnswers":1}`)).To(Succeed())
		Expect(h.book(0, key, body).Code).To(Equal("unknown_outcome"))
		for i := range 3 {
			Expect(h.book(i, key, body).Code).To(Equal("unknown_outcome"))
		}
		Expect(h.executions(body)).To(Equal(1))
	})

	It("does not run twice when its router dies or pauses while it runs", func() {
		h := startFleet(3)
		Expect(h.InjectFault(h.Services["banco-1"], `{"DelayMillis":700}`)).To(Succeed())
		for i, disrupt := range []func(){h.Routers[0].Pause, h.Routers[0].Kill} {
			key, body := newBookingKey(), `{"Sign":"hurt`+string(rune('a'+i))+`"}`
			done := make(chan bool)
			go func() {
				defer GinkgoRecover()
				defer close(done)
				h.book(0, key, body)
			}()
			time.Sleep(300 * time.Millisecond)
			disrupt()
			Expect(h.book(1, key, body).Code).To(Equal("unknown_outcome"))
			h.Routers[0].Continue()
			<-done
			Expect(h.executions(body)).To(BeNumerically("<=", 1))
		}
	})

	It("is not run when no server of the service can be reached", func() {
		h := startFleet(3)
		key, body := newBookingKey(), `{"Sign":"unreachable"}`
		h.Process("banco-1").Kill()
		Expect(h.book(0, key, body).Code).To(Equal("not_run"))
		Expect(h.StartService("banco-1")).To(Succeed())
		Expect(h.book(1, key, body).Status).To(Equal(http.StatusCreated))
		Expect(h.executions(body)).To(Equal(1))
	})

	It("requires a recent idempotency key that no other booking has used", func() {
		h := startFleet(1)
		Expect(h.book(0, "", `{}`).Code).To(Equal("invalid_request"))
		Expect(h.book(0, "0190163d-8694-739b-aea5-966c26f8ad91", `{}`).Code).To(Equal("invalid_request"))
		key := newBookingKey()
		Expect(h.book(0, key, `{"Sign":1}`).Status).To(Equal(http.StatusCreated))
		Expect(h.book(0, key, `{"Sign":2}`).Code).To(Equal("idempotency_key_reused"))
	})
})
