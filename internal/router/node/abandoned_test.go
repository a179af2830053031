package node_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/standin/engine"
	"wisteriafield/internal/standin/faults"
	"wisteriafield/internal/trial/caller"
)

// Guards against a generation that crashes one engine after the other and is never suspected, as
// its callers leave before each crash.
func TestAGenerationWhoseCallersLeaveBeforeItCrashesEnginesIsRefused(t *testing.T) {
	b := newBuilder(t)
	crashes := b.deadlyEngines(9, saysDeadly)
	n, address := b.router("catania-1", 32700)
	b.publishConfiguration()
	b.awaitPlan(n)
	time.Sleep(informedTime)
	for range 6 {
		ctx, cancel := context.WithTimeout(context.Background(), prefillTime/3)
		_, _ = caller.New().StreamTokens(ctx, []string{address}, caller.Request{Key: "key", Model: "redattore", MaxTokens: 20, Prompt: "deadly"}, nil)
		cancel()
		time.Sleep(time.Second)
	}
	b.g.Expect(crashes.Load()).To(BeNumerically("<=", 4))
	b.expectRefused(b.ask(address, "deadly"))
	b.g.Expect(b.ask(address, "sound").Check(20)).To(Succeed())
}

// Guards against a generation that is never suspected since each engine that it crashes was left as
// silent before.
func TestAGenerationThatCrashesEnginesAfterTheyFellSilentIsRefused(t *testing.T) {
	b := newBuilder(t)
	crashes := b.silentEngines(9, 1500*time.Millisecond)
	n, address := b.router("catania-1", 32710)
	b.publishConfiguration()
	b.awaitPlan(n)
	time.Sleep(informedTime)
	for range 3 {
		started := time.Now()
		a := b.ask(address, "deadly")
		t.Log(a.Code, crashes.Load(), time.Since(started))
		time.Sleep(time.Second)
	}
	b.g.Expect(crashes.Load()).To(BeNumerically("<=", 5))
	b.expectRefused(b.ask(address, "deadly"))
}

// silentEngines starts engines that fall silent when they run a deadly request, and end so long
// after. It returns how many have.
func (b *builder) silentEngines(count int, lifetime time.Duration) *atomic.Int32 {
	var crashes atomic.Int32
	for i := range count {
		name := fmt.Sprintf("redattore-%d", i+1)
		e := engine.New(engine.Config{Name: name, Slots: 4, Speed: 500, Models: map[string]string{"redattore": "1"}})
		var s *faults.Server
		s, err := faults.Start("127.0.0.1:0", &e.Faults, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			if r.URL.Path == "/v1/generate" && saysDeadly(body) {
				e.Faults.Pause()
				time.AfterFunc(lifetime, func() {
					crashes.Add(1)
					s.Kill()
				})
			}
			e.Handler().ServeHTTP(w, r)
		}))
		b.g.Expect(err).NotTo(HaveOccurred())
		b.stops = append(b.stops, func() { s.Kill() })
		b.engines = append(b.engines, fmt.Sprintf("[Engine %s]\nAddress = %s\nDomain = catania\nRegion = sicilia\nSlots = 4\nSpeed = 500\nModels = redattore\n", name, s.Address))
	}
	return &crashes
}
