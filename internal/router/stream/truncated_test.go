package stream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/keeper"
	"wisteriafield/internal/router/stream"
	"wisteriafield/internal/trial/truncate"
)

func TestAKeepersStreamThatEndsAtAnyByteHasNoLastEvent(t *testing.T) {
	const last = `{"K":"Done","Reason":"stop"}`
	body := `{"K":"Started","A":"a"}` + "\n" + `{"K":"Token","A":"a","P":1,"T":"x"}` + "\n" + last + "\n"
	answers := truncate.Framings("200 OK", "", body)
	answers["connection"] = truncate.Unframed("200 OK", "", body)
	open := map[string]func(address string) (keeper.Stream, error){
		"start": func(address string) (keeper.Stream, error) {
			return stream.NewClient("").Start(address, keeper.Request{Generation: "g", Attempt: "a"})
		},
		"follow": func(address string) (keeper.Stream, error) {
			return stream.NewClient("").Follow(address, "g", "florist")
		},
	}
	for name, open := range open {
		for framing, answer := range answers {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				s := truncate.NewServer(t)
				s.Set(answer, truncate.Close)
				g.Expect(lastEvent(open(s.Address))).To(Equal(keeper.Done), "whole")
				s.EachPrefix(answer, func(prefix string, end truncate.End) {
					if len(prefix) < len(answer)-len("\n\r\n0;last=1\r\nSum: 1\r\n\r\n") {
						g.Expect(lastEvent(open(s.Address))).NotTo(Equal(keeper.Done), "%s after %q", end, prefix)
					}
				})
			})
		}
	}
}

// lastEvent returns the kind of the event that ends a stream, or none if it breaks off.
func lastEvent(events keeper.Stream, err error) keeper.EventKind {
	if err != nil {
		return ""
	}
	defer events.Close()
	for {
		event, err := events.Next()
		if err != nil || event.Kind == keeper.Done || event.Kind == keeper.Refused || event.Kind == keeper.Lost {
			return event.Kind
		}
	}
}

// fakeReplicas counts the streams that peers open on replicas.
type fakeReplicas struct{ opened atomic.Int64 }

func (f *fakeReplicas) Follow(string, string) (keeper.Stream, error) {
	f.opened.Add(1)
	return nil, keeper.ErrUnknownGeneration
}

func TestAPeersRequestThatEndsAtAnyByteIsNotHandled(t *testing.T) {
	const head, body = "POST /peer/v1/follow HTTP/1.1\r\nHost: h\r\n", `{"Generation":"g","Organisation":"florist"}`
	for framing, request := range map[string]string{
		"length": head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", body[:5], len(body)-5, body[5:]),
	} {
		t.Run(framing, func(t *testing.T) {
			g := NewWithT(t)
			replicas := &fakeReplicas{}
			mux := http.NewServeMux()
			stream.NewServer(nil, replicas).Register(mux)
			ts := httptest.NewServer(mux)
			defer ts.Close()
			send := func(text string) {
				conn, err := net.Dial("tcp", ts.Listener.Addr().String())
				g.Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_, err = io.WriteString(conn, text)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
				g.Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
				_, err = io.Copy(io.Discard, conn)
				g.Expect(err).NotTo(HaveOccurred())
			}
			for n := range request {
				send(request[:n])
				g.Expect(replicas.opened.Load()).To(BeZero(), "after %q", request[:n])
			}
			send(request)
			g.Expect(replicas.opened.Load()).To(BeEquivalentTo(1), "whole")
		})
	}
}
