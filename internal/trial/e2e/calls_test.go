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

// book books through a router.
func (w *world) book(router int, key, body string) caller.Reply {
	reply, err := w.caller.Call(w.ctx, w.Routers[router].Host.CallerAddress, fleet.KeyScordia, key, http.MethodPost, "/banco/bookings", body)
	if err != nil {
		return caller.Reply{Code: "broken"}
	}
	return reply
}

// runs returns how often a booking ran at the service.
func (w *world) runs(body string) int {
	res, err := http.Get("http://" + w.Services["banco-1"] + "/runs")
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	var runs map[string]int
	Expect(json.NewDecoder(res.Body).Decode(&runs)).To(Succeed())
	return runs[body]
}

var _ = Describe("A booking", func() {
	It("runs once when many routers get it at once, and all callers get its answer", func() {
		w := given(3)
		key, body := bookingKey(), `{"Sign":1}`
		replies := make([]caller.Reply, 9)
		var wg sync.WaitGroup
		for i := range replies {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				replies[i] = w.book(i%3, key, body)
			}()
		}
		wg.Wait()
		Expect(w.runs(body)).To(Equal(1))
		for _, r := range replies {
			Expect(r.Status).To(Equal(http.StatusCreated))
			Expect(r.Body).To(Equal(replies[0].Body))
		}
	})

	It("runs once when the store loses its answers after the write", func() {
		w := given(3)
		for i := range 5 {
			key, body := bookingKey(), `{"Sign":"lost`+string(rune('a'+i))+`"}`
			Expect(w.InjectFault(w.PlatformAddress, `{"LoseAnswers":1}`)).To(Succeed())
			Expect(w.book(0, key, body).Status).To(Equal(http.StatusCreated))
			Expect(w.book(1, key, body).Status).To(Equal(http.StatusCreated))
			Expect(w.runs(body)).To(Equal(1))
		}
	})

	It("is not run while the store is out, and says so truly", func() {
		w := given(3)
		key, body := bookingKey(), `{"Sign":"outage"}`
		Expect(w.InjectFault(w.PlatformAddress, `{"Outage":true}`)).To(Succeed())
		Expect(w.book(0, key, body).Code).To(Equal("not_run"))
		Expect(w.runs(body)).To(BeZero())
		Expect(w.InjectFault(w.PlatformAddress, `{"Outage":false}`)).To(Succeed())
		Expect(w.runs(body)).To(BeZero())
		Expect(w.book(1, key, body).Status).To(Equal(http.StatusCreated))
		Expect(w.runs(body)).To(Equal(1))
	})

	It("is unknown, and never sent again, when the service's answer is lost", func() {
		w := given(3)
		key, body := bookingKey(), `{"Sign":"unknown"}`
		Expect(w.InjectFault(w.Services["banco-1"], `{"LoseAnswers":1}`)).To(Succeed())
		Expect(w.book(0, key, body).Code).To(Equal("unknown_outcome"))
		for i := range 3 {
			Expect(w.book(i, key, body).Code).To(Equal("unknown_outcome"))
		}
		Expect(w.runs(body)).To(Equal(1))
	})

	It("does not run twice when its router dies or pauses while it runs", func() {
		w := given(3)
		Expect(w.InjectFault(w.Services["banco-1"], `{"DelayMillis":700}`)).To(Succeed())
		for i, hurt := range []func(){w.Routers[0].Pause, w.Routers[0].Kill} {
			key, body := bookingKey(), `{"Sign":"hurt`+string(rune('a'+i))+`"}`
			done := make(chan bool)
			go func() {
				defer GinkgoRecover()
				defer close(done)
				w.book(0, key, body)
			}()
			time.Sleep(300 * time.Millisecond)
			hurt()
			Expect(w.book(1, key, body).Code).To(Equal("unknown_outcome"))
			w.Routers[0].Continue()
			<-done
			Expect(w.runs(body)).To(BeNumerically("<=", 1))
		}
	})

	It("is not run when no server of the service can be reached", func() {
		w := given(3)
		key, body := bookingKey(), `{"Sign":"unreachable"}`
		w.Process("banco-1").Kill()
		Expect(w.book(0, key, body).Code).To(Equal("not_run"))
		Expect(w.StartService("banco-1")).To(Succeed())
		Expect(w.book(1, key, body).Status).To(Equal(http.StatusCreated))
		Expect(w.runs(body)).To(Equal(1))
	})

	It("needs a fresh key of its own", func() {
		w := given(1)
		Expect(w.book(0, "", `{}`).Code).To(Equal("invalid_request"))
		Expect(w.book(0, "0190163d-8694-739b-aea5-966c26f8ad91", `{}`).Code).To(Equal("invalid_request"))
		key := bookingKey()
		Expect(w.book(0, key, `{"Sign":1}`).Status).To(Equal(http.StatusCreated))
		Expect(w.book(0, key, `{"Sign":2}`).Code).To(Equal("idempotency_key_reused"))
	})
})
