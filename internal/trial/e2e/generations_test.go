package e2e

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriafield/internal/trial/caller"
	"wisteriafield/internal/trial/fleet"
)

// keeperName returns the name of the router that was the keeper of an answer's
// last event.
func keeperName(a *caller.Answer) string {
	name, _, _ := strings.Cut(a.LastEventID, "/")
	return name
}

var _ = Describe("A draft", func() {
	const tokens = 150

	It("is completed when engines crash", func() {
		h := startFleet(3)
		h.streamDrafts(12, tokens, func(*caller.Answer) {
			h.Process(h.Engines[0].Name).Kill()
			h.Process(h.Engines[2].Name).Kill()
		})
	})

	It("survives an engine that pauses for a while", func() {
		h := startFleet(3)
		h.streamDrafts(12, tokens, func(*caller.Answer) {
			h.Process(h.Engines[0].Name).Pause()
			time.Sleep(2 * time.Second)
			h.Process(h.Engines[0].Name).Continue()
		})
	})

	It("survives engine connections that go silent permanently", func() {
		h := startFleet(3)
		h.streamDrafts(12, tokens, func(*caller.Answer) {
			for _, e := range h.Engines {
				Expect(h.InjectFault(e.Address, `{"Silence":true}`)).To(Succeed())
			}
		})
	})

	It("survives a crash of its keeper", func() {
		h := startFleet(4)
		h.streamDrafts(12, tokens, func(first *caller.Answer) { h.keeperOf(first).Kill() })
	})

	It("survives a keeper that pauses until the draft is complete and then sends its late tokens", func() {
		h := startFleet(4)
		var keeper *fleet.Router
		answers := h.streamDrafts(12, tokens, func(first *caller.Answer) {
			keeper = h.keeperOf(first)
			keeper.Pause()
		})
		Expect(answers[0].Attempts()).To(BeNumerically(">", 1))
		keeper.Continue()
		h.streamDrafts(4, 30, func(*caller.Answer) {})
	})

	It("survives a keeper that pauses for a while", func() {
		h := startFleet(4)
		h.streamDrafts(12, tokens, func(first *caller.Answer) {
			keeper := h.keeperOf(first)
			keeper.Pause()
			time.Sleep(1500 * time.Millisecond)
			keeper.Continue()
		})
	})

	It("survives a crash of its entry, and the caller resumes at another router", func() {
		h := startFleet(4)
		answers := h.streamDrafts(12, tokens, func(*caller.Answer) { h.Routers[0].Kill() })
		Expect(answers[0].Reconnections).To(BeNumerically(">", 0))
	})

	It("survives a simultaneous crash of its entry and an engine", func() {
		h := startFleet(4)
		h.streamDrafts(12, tokens, func(*caller.Answer) {
			h.Routers[0].Kill()
			h.Process(h.Engines[0].Name).Kill()
		})
	})

	It("survives router connections that go silent permanently", func() {
		h := startFleet(4)
		h.streamDrafts(12, tokens, func(*caller.Answer) {
			for _, r := range h.Routers {
				r.PeerLink.Silence()
			}
		})
	})

	It("survives a router that is cut off from its peers", func() {
		h := startFleet(4)
		h.streamDrafts(12, tokens, func(first *caller.Answer) { h.keeperOf(first).PeerLink.Cut() })
	})

	It("continues during an outage of the platform", func() {
		h := startFleet(3)
		h.streamDrafts(12, tokens, func(*caller.Answer) {
			Expect(h.InjectFault(h.PlatformAddress, `{"Outage":true}`)).To(Succeed())
			h.Process(h.Engines[1].Name).Kill()
		})
	})

	It("is joined, not started again, by a retry at another router", func() {
		h := startFleet(3)
		req := draftRequest(tokens)
		var second *caller.Answer
		var secondErr error
		joined := make(chan bool)
		first, err := h.caller.Stream(h.ctx, h.CallerAddresses()[:1], req, func(a *caller.Answer) {
			if len(a.Texts) == 20 {
				go func() {
					defer GinkgoRecover()
					second, secondErr = h.caller.Stream(h.ctx, h.CallerAddresses()[1:2], req, nil)
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

	It("cannot be resumed by another organisation, nor with an event ID of another attempt", func() {
		h := startFleet(3)
		req := draftRequest(30)
		complete, err := h.caller.Stream(h.ctx, h.CallerAddresses()[:1], req, nil)
		Expect(err).NotTo(HaveOccurred())
		otherOrganisation := req
		otherOrganisation.Key = fleet.KeyScordia
		Expect(h.resumeErrorCode(otherOrganisation, complete.LastEventID)).To(Equal("generation_gone"))
		fields := strings.Split(complete.LastEventID, "/")
		forgedID := strings.Join([]string{fields[0], fields[1], "another-attempt", fields[3]}, "/")
		Expect(h.resumeErrorCode(req, forgedID)).To(Equal("wrong_generation"))
	})

	It("is not cut by a graceful stop of its entry or its keeper", func() {
		h := startFleet(4)
		answers := h.streamDrafts(12, tokens, func(first *caller.Answer) {
			go h.Routers[0].Stop(time.Minute)
			if keeper := h.keeperOf(first); keeper != h.Routers[0] {
				go keeper.Stop(time.Minute)
			}
		})
		for _, a := range answers {
			Expect(a.Attempts()).To(Equal(1))
			Expect(a.Reconnections).To(BeZero())
		}
	})
})

// resumeErrorCode resumes an answer after an event and returns the code of the error.
func (h *harness) resumeErrorCode(req caller.Request, lastID string) string {
	a, _ := h.caller.Resume(h.ctx, h.CallerAddresses()[1], req, lastID)
	return a.Code
}
