package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"wisteriafield/internal/backend/server"
	"wisteriafield/internal/caller/http1"
)

// idProtocol takes the request's ID from a header.
type idProtocol struct{}

func (idProtocol) APIKey(*http.Request) (string, bool) { return "", false }

func (idProtocol) DecodeRequest(r *http.Request, _ time.Time) *server.Request {
	return &server.Request{ID: r.Header.Get("Id")}
}

// newCallerSide returns the part of a router that faces callers, with a handler of the test.
func newCallerSide(handler http.HandlerFunc) (*Edge, *logtest.Hook) {
	log, hook := logtest.NewNullLogger()
	e := &Edge{cfg: Config{Protocol: idProtocol{}, Grace: 8 * time.Second}, log: log}
	e.callerConns = http1.New(headerTimeout, e.logger("front"))
	e.callerServer = e.newCallerServer(handler)
	return e, hook
}

// listen serves callers on a loopback address, which it returns.
func (e *Edge) listen(g *WithT, t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	e.serveOn(ln, t)
	return ln.Addr().String()
}

func (e *Edge) serveOn(ln net.Listener, t *testing.T) {
	go func() { _ = e.callerServer.Serve(e.callerConns.Listen(ln)) }()
	t.Cleanup(func() { _ = e.callerServer.Close() })
}

// logged returns the fields of the lines with a message.
func logged(hook *logtest.Hook, message string) []logrus.Fields {
	var lines []logrus.Fields
	for _, entry := range hook.AllEntries() {
		if entry.Message == message {
			lines = append(lines, entry.Data)
		}
	}
	return lines
}

func TestARequestWhoseHandlerPanicsIsAnsweredAndLogged(t *testing.T) {
	g := NewWithT(t)
	e, hook := newCallerSide(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seal", "s")
		if r.URL.Path == "/begun" {
			_, _ = io.WriteString(w, "part")
		}
		panic("broken invariant")
	})
	address := e.listen(g, t)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Id", "r-1")
	res, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	g.Expect(res.StatusCode).To(Equal(http.StatusBadGateway))
	g.Expect(res.Header).NotTo(HaveKey("Seal"))
	lines := logged(hook, "handler panicked")
	g.Expect(lines).To(HaveLen(1))
	g.Expect(lines[0]).To(And(HaveKeyWithValue("id", "r-1"), HaveKeyWithValue("panic", "broken invariant"), HaveKeyWithValue("begun", false)))

	oneRequest := &http.Transport{DisableKeepAlives: true} // does not send a request again
	req, err = http.NewRequest(http.MethodGet, "http://"+address+"/begun", nil)
	g.Expect(err).NotTo(HaveOccurred())
	res, err = oneRequest.RoundTrip(req)
	if err == nil {
		_, err = io.ReadAll(res.Body)
	}
	g.Expect(err).To(HaveOccurred(), "an incomplete answer must not look complete")
	g.Eventually(func() int { return len(logged(hook, "handler panicked")) }).Should(Equal(2))
}

func TestAnAnswerThatIsCutIsLogged(t *testing.T) {
	g := NewWithT(t)
	e, hook := newCallerSide(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := http.Get("http://" + e.listen(g, t))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(func() int { return len(logged(hook, "answer cut")) }).Should(Equal(1))
}

func TestACallerThatLeavesWhileItsRequestIsServedIsLogged(t *testing.T) {
	g := NewWithT(t)
	e, hook := newCallerSide(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	conn, err := net.Dial("tcp", e.listen(g, t))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\nId: r-2\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(e.callerConns.Count).Should(Equal(map[http1.Phase]int{http1.Serving: 1}))
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(func() []logrus.Fields { return logged(hook, "connection ended while its request was served") }).
		Should(ConsistOf(HaveKeyWithValue("id", "r-2")))
}

func TestACutAnswerWithoutChunksDoesNotLookComplete(t *testing.T) {
	g := NewWithT(t)
	e, _ := newCallerSide(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	conn, err := net.Dial("tcp", e.listen(g, t))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(conn)
	g.Expect(err).To(HaveOccurred())
}
