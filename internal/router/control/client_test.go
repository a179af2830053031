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
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"wisteriafield/internal/router/control"
)

// servePeer starts a router with a method that answers after the delay in ms that its
// parameter names, and returns its address.
func servePeer(t *testing.T) string {
	s := control.NewServer()
	s.Handle("Wait", func(_ context.Context, params json.RawMessage) (any, error) {
		ms, err := control.DecodeParams[int](params)
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return ms, err
	})
	mux := http.NewServeMux()
	s.Register(mux)
	ts := httptest.NewServer(mux)
	t.Cleanup(ts.CloseClientConnections)
	return strings.TrimPrefix(ts.URL, "http://")
}

// A caller that left once closed the connection under all other calls to the peer.
func TestACancelledCallLeavesTheOthersAlone(t *testing.T) {
	g := NewWithT(t)
	address := servePeer(t)
	c := control.NewClient("")
	var reply int
	g.Expect(c.Call(context.Background(), address, "Wait", 0, &reply)).To(Succeed())
	other := make(chan error, 1)
	go func() {
		var reply int
		other <- c.Call(context.Background(), address, "Wait", 300, &reply)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	err := c.Call(ctx, address, "Wait", 200, &reply)
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue(), "%v", err)
	g.Expect(errors.Is(err, control.ErrUnreachable)).To(BeFalse(), "the peer did not fail")
	g.Expect(<-other).To(Succeed())
}

func TestACallWithoutAnAnswerInTimeClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	address := servePeer(t)
	c := control.NewClient("")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var reply int
	g.Expect(errors.Is(c.Call(ctx, address, "Wait", 400, &reply), control.ErrUnreachable)).To(BeTrue())
	g.Expect(c.Call(context.Background(), address, "Wait", 0, &reply)).To(Succeed())
}

// A peer that sends bytes without end, before or after the upgrade, must not take memory
// without bound.
func TestBytesWithoutEndFromAPeerEndTheCall(t *testing.T) {
	const upgraded = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: wisteriafield-control\r\n\r\n"
	for name, start := range map[string]string{
		"head":    "HTTP/1.1 101 Switching Protocols\r\nX-Filler: ",
		"message": upgraded + `{"jsonrpc":"2.0","id":0,"result":"`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer ln.Close()
			sent := make(chan int, 1)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, err = io.WriteString(conn, start)
				filler := []byte(strings.Repeat("x", 64<<10))
				total := 0
				for err == nil {
					var n int
					n, err = conn.Write(filler)
					total += n
				}
				sent <- total
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			started := time.Now()
			var reply string
			err = control.NewClient("").Call(ctx, ln.Addr().String(), "Wait", 0, &reply)
			g.Expect(errors.Is(err, control.ErrUnreachable)).To(BeTrue(), "%v", err)
			g.Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second), "the bound in bytes ends it")
			g.Eventually(sent, 5*time.Second).Should(Receive(BeNumerically("<", 32<<20)))
		})
	}
}

// A peer wrote an earlier answer once more on the connection, which all calls share.
func TestARepeatedAnswerIsNotTakenForTheNextCalls(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: wisteriafield-control\r\n\r\n")
		calls := json.NewDecoder(r)
		earlier := `{"jsonrpc":"2.0","id":999,"error":{"code":1,"message":"not run"}}`
		for {
			var call struct {
				ID     json.RawMessage `json:"id"`
				Params int             `json:"params"`
			}
			if err := calls.Decode(&call); err != nil {
				return
			}
			answer := fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"result":%d}`, call.ID, call.Params)
			_, _ = io.WriteString(conn, earlier+earlier+answer+answer)
			earlier = answer
		}
	}()
	c := control.NewClient("")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for n := range 20 {
		var reply int
		g.Expect(c.Call(ctx, ln.Addr().String(), "Echo", n, &reply)).To(Succeed())
		g.Expect(reply).To(Equal(n))
	}
}
