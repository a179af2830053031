package control_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"wisteriafield/internal/router/control"
)

const upgradeAnswer = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: wisteriafield-control\r\n\r\n"

// serveCutAnswers upgrades connections and answers their calls, and ends each connection
// after the number of bytes that left returns.
func serveCutAnswers(t *testing.T, left func() int, reset bool) (address string) {
	return serveAnswers(t, upgradeAnswer, left, reset)
}

// serveAnswers is serveCutAnswers with another answer to the upgrade.
func serveAnswers(t *testing.T, upgradeAnswer string, left func() int, reset bool) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	serve := func(conn *net.TCPConn) {
		defer conn.Close()
		r, n := bufio.NewReader(conn), left()
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, upgradeAnswer[:min(n, len(upgradeAnswer))])
		if n >= len(upgradeAnswer) {
			var call struct {
				ID json.RawMessage `json:"id"`
			}
			if err := json.NewDecoder(r).Decode(&call); err != nil {
				return
			}
			text := cutAnswer(string(call.ID))
			_, _ = io.WriteString(conn, text[:min(n-len(upgradeAnswer), len(text))])
		}
		if reset {
			_ = conn.SetLinger(0)
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

func cutAnswer(id string) string { return fmt.Sprintf(`{"jsonrpc":"2.0","result":71,"id":%s}`, id) }

func TestAPeersAnswerThatEndsAtAnyByteIsNoSuccess(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset=%v", reset), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var n atomic.Int64
			address := serveCutAnswers(t, func() int { return int(n.Load()) }, reset)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			whole := len(upgradeAnswer) + len(cutAnswer("0"))
			for ; int(n.Load()) < whole; n.Add(1) {
				var reply int
				err := control.NewClient("").Call(ctx, address, "Wait", 0, &reply)
				g.Expect(errors.Is(err, control.ErrUnreachable)).To(BeTrue(), "%v after %d bytes", err, n.Load())
			}
			if !reset {
				var reply int
				g.Expect(control.NewClient("").Call(ctx, address, "Wait", 0, &reply)).To(Succeed())
				g.Expect(reply).To(Equal(71))
			}
		})
	}
}

func TestACallThatEndsAtAnyByteIsNotHandled(t *testing.T) {
	g := NewWithT(t)
	s := control.NewServer()
	var handled atomic.Int64
	s.Handle("Wait", func(context.Context, json.RawMessage) (any, error) {
		handled.Add(1)
		return nil, nil
	})
	mux := http.NewServeMux()
	s.Register(mux)
	ts := httptest.NewServer(mux)
	defer ts.Close()
	const head = "POST /peer/v1/control HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: wisteriafield-control\r\nContent-Length: 0\r\n\r\n"
	const call = `{"jsonrpc":"2.0","id":0,"method":"Wait","params":71}`
	// The call follows the answer to the upgrade, as it does for the client.
	send := func(head, call string) string {
		conn, err := net.Dial("tcp", strings.TrimPrefix(ts.URL, "http://"))
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = io.WriteString(conn, head)
		g.Expect(err).NotTo(HaveOccurred())
		if call != "" {
			_, err = io.ReadFull(conn, make([]byte, len(upgradeAnswer)))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(conn, call)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		answer, err := io.ReadAll(conn)
		g.Expect(err).NotTo(HaveOccurred(), "%q, %q", head, call)
		return string(answer)
	}
	for n := range head {
		g.Expect(send(head[:n], "")).NotTo(ContainSubstring(" 101 "), "after %q", head[:n])
	}
	for n := range call {
		send(head, call[:n])
	}
	g.Expect(handled.Load()).To(BeZero())
	send(head, call)
	g.Eventually(handled.Load).Should(BeEquivalentTo(1))
}
