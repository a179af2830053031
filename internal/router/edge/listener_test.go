package edge

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// failingListener fails to accept the first connections.
type failingListener struct {
	net.Listener
	failures atomic.Int32 // that are left
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

func TestAFailureToAcceptAConnectionDoesNotEndTheRouter(t *testing.T) {
	g := NewWithT(t)
	e, _ := newCallerSide(func(http.ResponseWriter, *http.Request) {})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	failing := &failingListener{Listener: ln}
	failing.failures.Store(3)
	ended := make(chan error, 1)
	go func() { ended <- serve(e.callerServer, e.callerConns.listen(failing)) }()
	res, err := http.Post("http://"+ln.Addr().String(), "text/plain", nil)
	g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	e.callerConns.stopAccepting()
	g.Eventually(ended).Should(Receive(BeNil()))
}
