package service

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	routed "wisteriafield/internal/backend/server"
	backend "wisteriafield/internal/backend/service"
	"wisteriafield/internal/caller/apierror"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/answermemory"
	"wisteriafield/internal/decision/storehistory"
	"wisteriafield/internal/platform/hosts"
	"wisteriafield/internal/router/quarantine"
)

// deadlyService returns a handler, and a service whose servers end 60 ms after they got a
// call with "deadly" in it. They answer all others.
func deadlyService(t *testing.T, count int) (*Handler, *document.Service, *atomic.Int32) {
	var crashes atomic.Int32
	s := &document.Service{Name: uuid.NewString()} // retry budgets go by name
	for i := range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					call := make([]byte, 4096)
					n, _ := conn.Read(call)
					if !strings.Contains(string(call[:n]), "deadly") {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						return
					}
					time.Sleep(60 * time.Millisecond)
					crashes.Add(1)
					_ = ln.Close()
				}()
			}
		}()
		s.Servers = append(s.Servers, fmt.Sprintf("s%d=%s", i, ln.Addr()))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	guard := quarantine.New(0, func() {}, log.WithField("part", "quarantine"))
	guard.CheckServers(quarantine.Checks{Listens: quarantine.Listens, Incarnation: quarantine.Incarnation, Leaves: func(*routed.Server) bool { return false }})
	return New(Deps{Hosts: hosts.New(hosts.Config{}), NonIdempotent: &NonIdempotentRunner{}, AnswerMemory: answermemory.New(16 << 20), Quarantine: guard, Log: log.WithField("part", "service")}), s, &crashes
}

var scordia = &document.Organisation{Name: "scordia"}

func lookUp(h *Handler, o *document.Organisation, s *document.Service, target string) *httptest.ResponseRecorder {
	view := document.NewView(&document.Document{Policy: document.Policy{HedgeAfter: time.Minute}}, storehistory.Position{Revision: 1}, "")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w := httptest.NewRecorder()
	h.serveIdempotent(ctx, w, view, o, s, backend.Call{Method: http.MethodGet, Target: target, Header: make(http.Header)})
	return w
}

func TestALookupThatCrashesServersIsNotSentToAllOfThem(t *testing.T) {
	g := NewWithT(t)
	h, s, crashes := deadlyService(t, 8)
	w := lookUp(h, scordia, s, "/deadly")
	g.Expect(crashes.Load()).To(BeNumerically("<=", 3))
	g.Expect(w.Body.String()).To(ContainSubstring(string(apierror.UnknownOutcome)), "it may have run")
	w = lookUp(h, scordia, s, "/deadly")
	g.Expect(crashes.Load()).To(BeNumerically("<=", 3), "a caller that comes back crashes no more")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Body.String()).To(ContainSubstring(string(apierror.NotRun)))
	seconds, err := strconv.Atoi(w.Header().Get("Retry-After"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seconds).To(BeNumerically(">", 60), "until the end of the block")
	g.Expect(lookUp(h, scordia, s, "/sound").Code).To(Equal(http.StatusOK))
}

func TestABookingThatCrashesServersIsNotSentToAllOfThem(t *testing.T) {
	g := NewWithT(t)
	h, s, crashes := deadlyService(t, 8)
	send := func(target string) error {
		req := nonIdempotentRequest{Organisation: scordia.Name, Service: s, Call: backend.Call{Method: http.MethodPost, Target: target, Header: make(http.Header)}}
		_, err := h.sendNonIdempotent(t.Context(), req)
		return err
	}
	for range 3 {
		g.Expect(isNotSent(send("/deadly"))).To(BeFalse())
	}
	for range 3 {
		err := send("/deadly")
		g.Expect(isNotSent(err)).To(BeTrue(), "it was not run")
		until, blocked := blockedUntil(err)
		g.Expect(blocked).To(BeTrue())
		g.Expect(time.Until(until)).To(BeNumerically(">", time.Minute))
	}
	g.Expect(crashes.Load()).To(BeEquivalentTo(3))
	g.Expect(send("/sound")).To(Succeed())
}

func TestACallThatCrashedServersIsNotSentToTheLastOneOfItsService(t *testing.T) {
	g := NewWithT(t)
	h, s, crashes := deadlyService(t, 3)
	for range 3 {
		w := lookUp(h, scordia, s, "/deadly")
		g.Expect(w.Header().Get("Retry-After")).To(Equal("1"))
	}
	g.Expect(crashes.Load()).To(BeEquivalentTo(2))
	g.Expect(lookUp(h, scordia, s, "/sound").Code).To(Equal(http.StatusOK))
}

func TestALookupIsNotBlamedForServersThatOnlyBreakOff(t *testing.T) {
	g := NewWithT(t)
	h, s, _ := deadlyService(t, 0)
	for i := range 4 {
		s.Servers = append(s.Servers, fmt.Sprintf("gone%d=%s", i, closedAddress(t)), fmt.Sprintf("broken%d=%s", i, serveOnce(t, func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 4096))
			time.Sleep(60 * time.Millisecond)
			_ = conn.Close()
		})))
	}
	for range 2 {
		w := lookUp(h, scordia, s, "/free")
		g.Expect(w.Header().Get("Retry-After")).To(Equal("1"))
		g.Expect(w.Body.String()).To(ContainSubstring(string(apierror.UnknownOutcome)))
	}
}
