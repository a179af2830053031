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
	last := len(b.stops) - 1
	stop, stopped := b.stops[last], make(chan bool)
	b.stops = b.stops[:last]
	go func() {
		defer close(stopped)
		stop()
	}()
	time.Sleep(100 * time.Millisecond)
	_, _ = fmt.Fprint(conn, "st: h\r\n\r\n")
	_, err = http.ReadResponse(answers, nil)
	<-stopped
	b.g.Expect(err).NotTo(HaveOccurred(), "the request has no answer")
}
