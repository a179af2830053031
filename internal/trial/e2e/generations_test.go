package e2e

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
)

func keeperName(a *caller.Answer) string {
	name, _, _ := strings.Cut(a.LastEventID, "/")
	return name
}

var _ = Describe("A draft", func() {
	const tokens = 150

	It("survives the death of engines", func() {
		w := given(3)
		w.streams(12, tokens, func(*caller.Answer) {
			w.Process(w.Engines[0].Name).Kill()
			w.Process(w.Engines[2].Name).Kill()
		})
	})

	It("survives an engine that pauses and comes back", func() {
		w := given(3)
		w.streams(12, tokens, func(*caller.Answer) {
			w.Process(w.Engines[0].Name).Pause()
			time.Sleep(2 * time.Second)
			w.Process(w.Engines[0].Name).Continue()
		})
	})

	It("survives engine connections that go silent for good", func() {
		w := given(3)
		w.streams(12, tokens, func(*caller.Answer) {
			for _, e := range w.Engines {
				Expect(w.InjectFault(e.Address, `{"Silence":true}`)).To(Succeed())
			}
		})
	})

	It("survives the death of its keeper", func() {
		w := given(4)
		w.streams(12, tokens, func(first *caller.Answer) { w.keeperOf(first).Kill() })
	})

	It("survives a keeper that pauses until it is over, and its late tokens", func() {
		w := given(4)
		var k *fleet.Router
		answers := w.streams(12, tokens, func(first *caller.Answer) {
			k = w.keeperOf(first)
			k.Pause()
		})
		Expect(answers[0].Attempts()).To(BeNumerically(">", 1))
		k.Continue()
		w.streams(4, 30, func(*caller.Answer) {})
	})

	It("survives a keeper that pauses and comes back meanwhile", func() {
		w := given(4)
		w.streams(12, tokens, func(first *caller.Answer) {
			k := w.keeperOf(first)
			k.Pause()
			time.Sleep(1500 * time.Millisecond)
			k.Continue()
		})
	})

	It("survives the death of its entry, and the caller goes on elsewhere", func() {
		w := given(4)
		answers := w.streams(12, tokens, func(*caller.Answer) { w.Routers[0].Kill() })
		Expect(answers[0].Reconnections).To(BeNumerically(">", 0))
	})

	It("survives the death of its entry and an engine together", func() {
		w := given(4)
		w.streams(12, tokens, func(*caller.Answer) {
			w.Routers[0].Kill()
			w.Process(w.Engines[0].Name).Kill()
		})
	})

	It("survives router connections that go silent for good", func() {
		w := given(4)
		w.streams(12, tokens, func(*caller.Answer) {
			for _, r := range w.Routers {
				r.PeerLink.Silence()
			}
		})
	})

	It("survives a router that is cut off from its peers", func() {
		w := given(4)
		w.streams(12, tokens, func(first *caller.Answer) { w.keeperOf(first).PeerLink.Cut() })
	})

	It("goes on through an outage of the platform", func() {
		w := given(3)
		w.streams(12, tokens, func(*caller.Answer) {
			Expect(w.InjectFault(w.PlatformAddress, `{"Outage":true}`)).To(Succeed())
			w.Process(w.Engines[1].Name).Kill()
		})
	})

	It("is joined, not repeated, by a retry at another router", func() {
		w := given(3)
		req := draft(tokens)
		var second *caller.Answer
		var secondErr error
		joined := make(chan bool)
		first, err := w.caller.Stream(w.ctx, w.CallerAddresses()[:1], req, func(a *caller.Answer) {
			if len(a.Texts) == 20 {
				go func() {
					defer GinkgoRecover()
					second, secondErr = w.caller.Stream(w.ctx, w.CallerAddresses()[1:2], req, nil)
					close(joined)
				}()
			}
		})
		Expect(err).NotTo(HaveOccurred())
		<-joined
		Expect(secondErr).NotTo(HaveOccurred())
		Expect(first.Check(tokens)).To(Succeed())
		Expect(second.Texts).To(Equal(first.Texts))
	})

	It("is not shown to another organisation, nor mixed with another generation", func() {
		w := given(3)
		req := draft(30)
		whole, err := w.caller.Stream(w.ctx, w.CallerAddresses()[:1], req, nil)
		Expect(err).NotTo(HaveOccurred())
		stranger := req
		stranger.Key = fleet.KeyScordia
		Expect(w.resumeAt(stranger, whole.LastEventID)).To(Equal("generation_gone"))
		parts := strings.Split(whole.LastEventID, "/")
		forged := strings.Join([]string{parts[0], parts[1], "another-attempt", parts[3]}, "/")
		Expect(w.resumeAt(req, forged)).To(Equal("wrong_generation"))
	})

	It("is cut by no graceful stop, of its entry or of its keeper", func() {
		w := given(4)
		answers := w.streams(12, tokens, func(first *caller.Answer) {
			go w.Routers[0].Stop(time.Minute)
			if k := w.keeperOf(first); k != w.Routers[0] {
				go k.Stop(time.Minute)
			}
		})
		for _, a := range answers {
			Expect(a.Attempts()).To(Equal(1))
			Expect(a.Reconnections).To(BeZero())
		}
	})
})

// resumeAt asks for what comes after an event and returns the refusal's code.
func (w *world) resumeAt(req caller.Request, lastID string) string {
	a, _ := w.caller.Resume(w.ctx, w.CallerAddresses()[1], req, lastID)
	return a.Code
}
