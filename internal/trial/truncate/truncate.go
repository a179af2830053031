// Package truncate serves answers that end early, for tests of the programs that read them.
package truncate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// End is how a connection ends after the last byte that is sent.
type End string

const (
	// Close ends it as the end of a file.
	Close End = "Close"
	// Reset ends it with a reset, which may overtake bytes that were sent.
	Reset End = "Reset"
	// LateReset answers before the body of the request is read, and resets the connection after
	// a pause, in which the answer arrives.
	LateReset End = "LateReset"
	// HalfClose ends only the sending, and nothing more is read.
	HalfClose End = "HalfClose"
)

// Server answers every request with the first bytes of an answer and ends the connection.
// Requests for a path of Whole are answered with the whole answer there.
type Server struct {
	Address string
	Whole   map[string]string // must not be changed after the first request

	mu       sync.Mutex
	answer   string
	end      End
	requests int
}

// Requests returns the number of requests for other paths that it read.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// NewServer starts a server that runs until the test ends.
func NewServer(t testing.TB) *Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &Server{Address: ln.Addr().String(), end: Close}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s
}

// Set sets the bytes that requests are answered with from now on.
func (s *Server) Set(answer string, end End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.end = answer, end
}

func (s *Server) serve(conn *net.TCPConn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.mu.Lock()
	answer, end := s.answer, s.end
	s.mu.Unlock()
	if end != LateReset {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
	if whole, ok := s.Whole[req.URL.Path]; ok {
		_, _ = io.WriteString(conn, whole)
		return
	}
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	_, _ = io.WriteString(conn, answer)
	if end == LateReset {
		time.Sleep(fillTime)
	}
	if end == Reset || end == LateReset {
		_ = conn.SetLinger(0)
	}
}

// EachPrefix calls f for every proper prefix of an answer and each way to end the connection,
// after it has set the server to them.
func (s *Server) EachPrefix(answer string, f func(prefix string, end End)) {
	for _, end := range []End{Close, Reset} {
		for n := range len(answer) {
			s.Set(answer[:n], end)
			f(answer[:n], end)
		}
	}
}

// Framings returns a whole answer with the body once for each way in which HTTP/1 marks the
// end of a body. The header lines end with CRLF.
func Framings(status, header, body string) map[string]string {
	half, length := len(body)/2, strconv.Itoa(len(body))
	chunk := func(s string) string { return strconv.FormatInt(int64(len(s)), 16) + "\r\n" + s + "\r\n" }
	head := "HTTP/1.1 " + status + "\r\n" + header
	chunks := chunk(body[:half]) + chunk(body[half:])
	return map[string]string{
		"length":           head + "Content-Length: " + length + "\r\n\r\n" + body,
		"length first":     "HTTP/1.1 " + status + "\r\nContent-Length: " + length + "\r\n" + header + "\r\n" + body,
		"length, HTTP/1.0": "HTTP/1.0 " + status + "\r\n" + header + "Content-Length: " + length + "\r\n\r\n" + body,
		"length after 103": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: " + length + "\r\n\r\n" + body,
		"chunks":           head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n",
		"chunks, trailer":  head + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0;last=1\r\nSum: 1\r\n\r\n",
	}
}

// Unframed returns a whole answer with the body that ends with the connection.
func Unframed(status, header, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + header + "\r\n" + body
}
