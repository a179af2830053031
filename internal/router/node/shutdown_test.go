package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stopLast begins to stop the router that was started last, and returns a channel that is
// closed when it has stopped.
func (b *builder) stopLast() <-chan bool {
	last := len(b.stops) - 1
	stop, stopped := b.stops[last], make(chan bool)
	b.stops = b.stops[:last]
	go func() {
		defer close(stopped)
		stop()
	}()
	return stopped
}

func TestARequestThatIsReadWhileARouterStopsIsAnswered(t *testing.T) {
	b := newBuilder(t).engine("redattore-1")
	n, address := b.router("catania-1", 32110)
	b.publishConfiguration()
	b.g.Eventually(n.View, 10*time.Second).ShouldNot(BeNil())
	conn, err := net.Dial("tcp", address)
	b.g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	answers := bufio.NewReader(conn)
	_, _ = fmt.Fprint(conn, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
	res, err := http.ReadResponse(answers, nil)
	b.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, res.Body)
	b.g.Expect(err).NotTo(HaveOccurred())
	_, _ = fmt.Fprint(conn, "GET /none HTTP/1.1\r\nHo")
	stopped := b.stopLast()
	time.Sleep(100 * time.Millisecond)
	_, _ = fmt.Fprint(conn, "st: h\r\n\r\n")
	_, err = http.ReadResponse(answers, nil)
	<-stopped
	b.g.Expect(err).NotTo(HaveOccurred(), "the request has no answer")
}

func TestARequestThatCrossesTheStopOfARouterIsRefused(t *testing.T) {
	b := newBuilder(t)
	_, address := b.router("catania-1", 32120)
	var conn net.Conn
	b.g.Eventually(func() (err error) {
		conn, err = net.Dial("tcp", address)
		return err
	}).Should(Succeed())
	defer conn.Close()
	answers := bufio.NewReader(conn)
	const request = "POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	_, _ = fmt.Fprint(conn, request)
	res, err := http.ReadResponse(answers, nil)
	b.g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, res.Body)
	b.g.Expect(err).NotTo(HaveOccurred())
	stopped := b.stopLast()
	_, _ = answers.Peek(1) // the router has closed the connection
	_, _ = fmt.Fprint(conn, request)
	res, err = http.ReadResponse(answers, nil)
	b.g.Expect(err).NotTo(HaveOccurred(), "the request has no answer")
	b.g.Expect(res.StatusCode).To(Equal(http.StatusRequestTimeout))
	_, err = answers.ReadByte()
	b.g.Expect(err).To(Equal(io.EOF))
	<-stopped
}

func TestACallerWhoConnectsAgainWhileARouterStopsIsAnswered(t *testing.T) {
	b := newBuilder(t)
	n, address := b.router("catania-1", 32130)
	var inUse net.Conn
	b.g.Eventually(func() (err error) {
		inUse, err = net.Dial("tcp", address)
		return err
	}).Should(Succeed())
	defer inUse.Close()
	_, _ = fmt.Fprint(inUse, "GET /none HTTP/1.1\r\nHo")
	time.Sleep(100 * time.Millisecond)
	stopped := b.stopLast()
	b.g.Eventually(func() bool { return n.Status().Stopping }).Should(BeTrue())
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		res, err := http.Get("http://" + address + "/none")
		b.g.Expect(err).NotTo(HaveOccurred())
		_ = res.Body.Close()
		b.g.Expect(res.StatusCode).To(Equal(http.StatusNotFound))
		b.g.Expect(res.Close).To(BeTrue())
	}
	_, _ = fmt.Fprint(inUse, "st: h\r\n\r\n")
	_, err := http.ReadResponse(bufio.NewReader(inUse), nil)
	b.g.Expect(err).NotTo(HaveOccurred())
	<-stopped
}

func TestARouterStopsWhileCallersKeepConnecting(t *testing.T) {
	b := newBuilder(t)
	_, address := b.router("catania-1", 32140)
	b.g.Eventually(func() error {
		res, err := http.Get("http://" + address + "/healthz")
		if err == nil {
			_ = res.Body.Close()
		}
		return err
	}).Should(Succeed())
	stopped := b.stopLast()
	for i := 0; ; i++ {
		select {
		case <-stopped:
			return
		case <-time.After(20 * time.Millisecond):
			b.g.Expect(i).To(BeNumerically("<", 500), "the router has not stopped")
			if res, err := http.Get("http://" + address + "/healthz"); err == nil {
				_ = res.Body.Close()
			}
		}
	}
}
