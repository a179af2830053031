package http1

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// smallBody is the largest body, in bytes, that net/http may read after the answer to keep
	// the connection.
	smallBody = 64 << 10
	// maxRefusal bounds the answer to a request that was not read, in bytes.
	maxRefusal = 64 << 10
)

// trackedBody records that the body of a request was read completely.
type trackedBody struct {
	io.ReadCloser
	c *callerConn
}

func (b trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.c.setRead()
	}
	return n, err
}

// setRead records that the request was read completely.
func (c *callerConn) setRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = false
	if c.forOthers {
		c.forOthers = false
		_ = c.setReadDeadline(time.Time{})
	}
}

// DiscardsUnread reports whether the connection of a request discards by itself what its caller
// sends of a body that is not read.
func DiscardsUnread(r *http.Request) bool {
	_, ok := r.Context().Value(connKey{}).(*callerConn)
	return ok
}

// refusal is an answer to a request that was not read completely. net/http would read on, by
// chunks, and then wait before it closes the connection.
type refusal struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// refuses reports whether the answer that begins now is one to a request that is not read, and
// ends the connection.
func (w *closingWriter) refuses() bool {
	if w.c == nil || !w.c.isUnread() {
		return false
	}
	n := w.r.ContentLength
	return n < 0 || n > smallBody || w.Header().Get("Connection") == "close"
}

func (c *callerConn) isUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unread
}

// beginRefusal keeps the answer until finish.
func (w *closingWriter) beginRefusal(status int) {
	w.refusal = &refusal{status: status, header: w.Header().Clone()}
}

// finish ends an answer. That to a request that was not read is written by itself.
func (w *closingWriter) finish() {
	w.begin(http.StatusOK)
	switch {
	case w.c == nil:
	case w.refusal == nil:
		w.c.setAnswered()
	default:
		w.c.beginRefusing()
		if _, _, err := http.NewResponseController(w.ResponseWriter).Hijack(); err != nil {
			w.c.log.WithError(err).Warn("connection could not be taken over")
			return
		}
		text := w.refusal.encode(w.r.Method)
		go w.c.refuse(text)
	}
}

// encode returns the answer as it is sent.
func (f *refusal) encode(method string) []byte {
	body := f.body.Bytes()
	f.header.Del("Transfer-Encoding")
	f.header.Set("Content-Length", strconv.Itoa(len(body)))
	f.header.Set("Connection", "close")
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 " + strconv.Itoa(f.status) + " " + http.StatusText(f.status) + "\r\n")
	_ = f.header.Write(&text)
	text.WriteString("\r\n")
	if method != http.MethodHead {
		text.Write(body)
	}
	return text.Bytes()
}

func (c *callerConn) beginRefusing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = Closing, time.Now()
}

// refuse writes an answer and ends the connection.
func (c *callerConn) refuse(text []byte) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = c.Write(text)
	leave := c.refusals.enter(c.Conn)
	c.discard()
	leave()
	_ = c.Conn.Close()
	c.onClosed(c)
}
