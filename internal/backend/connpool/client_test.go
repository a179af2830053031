package connpool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"wisteriafield/internal/backend/connpool"
	"wisteriafield/internal/backend/server"
)

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// fake is a server whose connections are handled by their number, from 1.
type fake struct {
	address string
	opened  atomic.Int64
}

func newFake(t *testing.T, handle func(n int64, conn net.Conn, r *bufio.Reader)) *fake {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	f := &fake{address: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n := f.opened.Add(1)
			t.Cleanup(func() { _ = conn.Close() })
			go handle(n, conn, bufio.NewReader(conn))
		}
	}()
	return f
}

// readRequest reads a request and reports whether one came.
func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// always answers each request on each connection with the same text.
func always(text string) func(int64, net.Conn, *bufio.Reader) {
	return func(_ int64, conn net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(conn, text)
		}
	}
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func newClient(fakes ...*fake) *connpool.Client {
	c := connpool.New(&net.Dialer{Timeout: time.Second}, discardLog())
	setServers(c, 1, fakes...)
	return c
}

func setServers(c *connpool.Client, started int64, fakes ...*fake) {
	var list []server.Server
	for _, f := range fakes {
		list = append(list, server.Server{ID: f.address, Service: "s", Address: f.address, Started: started})
	}
	c.SetServers(list, func(string) int { return 4 })
}

func call(c *connpool.Client, f *fake, timeout time.Duration, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	res, err := c.Do(ctx, connpool.Call{Address: f.address, Class: "report", NewRequest: func() (*http.Request, error) {
		return http.NewRequest(http.MethodPost, "http://"+f.address+"/", strings.NewReader(body))
	}})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return string(text), err
}

// Guards against a connection that is kept though more, or nothing more, may come on it, and
// against a new connection for each call.
func TestOnlyConnectionsWithACompleteExchangeAreKept(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		kept         bool
	}{
		{"length", answer, true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"informational answer first", "HTTP/1.1 103 Hints\r\n\r\n" + answer, true},
		{"long idle time", "HTTP/1.1 200 OK\r\nKeep-Alive: max=5, timeout=9\r\nContent-Length: 2\r\n\r\nok", true},
		{"no idle time", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false},
		{"announced end", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
		{"old protocol", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok", false},
		{"extra bytes", answer + "x", false},
		{"two answers", answer + answer, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFake(t, always(c.answer))
			client := newClient(f)
			for range 5 {
				g.Expect(call(client, f, 5*time.Second, "")).To(Equal("ok"))
			}
			// A pause of this process may open another one beside a kept connection.
			g.Expect(f.opened.Load() < 5).To(Equal(c.kept))
		})
	}
}

// endingAfter answers a number of requests on each connection, and ends it with the next one.
func endingAfter(answers func(n int64) int) func(int64, net.Conn, *bufio.Reader) {
	return func(n int64, conn net.Conn, r *bufio.Reader) {
		for i := 0; readRequest(r) && i < answers(n); i++ {
			_, _ = io.WriteString(conn, answer)
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// A server that drops an idle connection with the next request looked like a lost one.
func TestIdleRaceIsRepeatedOnANewConnection(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, endingAfter(func(int64) int { return 1 }))
	client := newClient(f)
	for range 3 {
		g.Expect(call(client, f, 5*time.Second, "")).To(Equal("ok"))
	}
}

// Guards against a call that kills servers being sent to one again and again.
func TestACallIsNotRepeatedTwice(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, endingAfter(func(n int64) int { return int(2 - n) }))
	client := newClient(f)
	g.Expect(call(client, f, 5*time.Second, "")).To(Equal("ok"))
	_, err := call(client, f, 5*time.Second, "")
	g.Expect(err).To(HaveOccurred())
	g.Expect(f.opened.Load()).To(BeEquivalentTo(2))
}

// silentAfterFirst answers one request on the first connection, and all on others.
func silentAfterFirst(n int64, conn net.Conn, r *bufio.Reader) {
	for i := 0; readRequest(r); i++ {
		if n > 1 || i == 0 {
			_, _ = io.WriteString(conn, answer)
		}
	}
}

// Probes wait for 25 ms at least: a silent connection made a live engine look dead, and each
// further one had to be found by its own call.
func TestASilentConnectionCostsNoCallAndDropsAllOlderOnes(t *testing.T) {
	g := NewWithT(t)
	f, other := newFake(t, silentAfterFirst), newFake(t, always(answer))
	client := newClient(f, other)
	g.Expect(call(client, f, 5*time.Second, "")).To(Equal("ok"))
	g.Expect(call(client, other, 5*time.Second, "")).To(Equal("ok"))
	g.Expect(call(client, f, 5*time.Second, "")).To(Equal("ok"))
	g.Eventually(func() int64 {
		g.Expect(call(client, other, 5*time.Second, "")).To(Equal("ok"))
		return other.opened.Load()
	}).Should(BeNumerically(">=", 2))
	for range 5 {
		g.Expect(call(client, f, 5*time.Second, "")).To(Equal("ok"))
	}
	g.Expect(f.opened.Load()).To(BeNumerically("<", 6), "the newer connection is kept")
}

// A call of less than 40 ms ended before a new connection was tried, and its end broke off the
// wait that shows whether the kept connection is silent.
func TestASilentConnectionCostsNoShortCall(t *testing.T) {
	g := NewWithT(t)
	for range 10 { // a busy machine may take longer
		f, other := newFake(t, silentAfterFirst), newFake(t, always(answer))
		client := newClient(f, other)
		g.Expect(call(client, f, 5*time.Second, "")).To(Equal("ok"))
		g.Expect(call(client, other, 5*time.Second, "")).To(Equal("ok"))
		if _, err := call(client, f, 36*time.Millisecond, ""); err != nil {
			continue
		}
		g.Eventually(func() int64 {
			g.Expect(call(client, other, 5*time.Second, "")).To(Equal("ok"))
			return other.opened.Load()
		}).Should(BeNumerically(">=", 2))
		return
	}
	t.Fatal("no short call was answered")
}

// A second answer that arrived while the connection was idle was read as that to the next call.
func TestALateSecondAnswerReachesNoCall(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(n int64, conn net.Conn, r *bufio.Reader) {
		text := strings.Replace(answer, "ok", "c"+string(rune('0'+n)), 1)
		for readRequest(r) {
			_, _ = io.WriteString(conn, text)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, text)
		}
	})
	client := newClient(f)
	for _, want := range []string{"c1", "c2", "c3"} {
		g.Expect(call(client, f, 5*time.Second, "")).To(Equal(want))
		time.Sleep(60 * time.Millisecond)
	}
}

// The rest of a request was read as the next one after an answer that did not wait for it.
func TestAConnectionWithAnEarlyAnswerIsNotKept(t *testing.T) {
	g := NewWithT(t)
	answered, ended := make(chan struct{}), make(chan struct{})
	f := newFake(t, func(_ int64, conn net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(conn, answer)
		<-answered
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	client := newClient(f)
	g.Expect(call(client, f, 5*time.Second, strings.Repeat("x", 16<<20))).To(Equal("ok"))
	close(answered)
	g.Eventually(ended).Should(BeClosed())
}

// A call for a restarted server went to its predecessor's connection.
func TestConnectionsOfAReplacedIncarnationAreClosed(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{}, 1)
	f := newFake(t, func(n int64, conn net.Conn, r *bufio.Reader) {
		always(answer)(n, conn, r)
		closed <- struct{}{}
	})
	client := newClient(f)
	g.Expect(call(client, f, 5*time.Second, "")).To(Equal("ok"))
	setServers(client, 2, f)
	g.Eventually(closed).Should(Receive())
	g.Expect(call(client, f, 5*time.Second, "")).To(Equal("ok"))
	g.Expect(f.opened.Load()).To(BeEquivalentTo(2))
}
