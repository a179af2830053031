package connpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wisteriafield/internal/backend/resetconn"
	"wisteriafield/internal/base/validanswer"
)

const (
	// maxHeadBytes bounds the heads of one answer, informational ones included.
	maxHeadBytes = 16 << 10
	bufferBytes  = 2 << 10
	// maxDirectBytes bounds the bodies that are written before the answer is read. The socket's
	// buffer takes them even if the server reads nothing.
	maxDirectBytes = 4 << 10
	// writeReportTimeout is enough for another goroutine to be scheduled.
	writeReportTimeout = 2 * time.Millisecond
)

var (
	// errEnded means that a connection ended before the first byte of the answer.
	errEnded = errors.New("connection ended before the answer")
	// errHeadTooLong means that the heads of an answer exceed maxHeadBytes.
	errHeadTooLong = errors.New("head of the answer is too long")
)

// conn is a connection that carries one request at a time.
type conn struct {
	*resetconn.Conn
	member Member
	// carried lists the IDs of the requests so far. A late second answer to one of them would be
	// taken for that to another attempt of the same ID.
	carried []string
	reader  *bufio.Reader
	limit   int64 // bytes that may still be read from the connection
}

func newConn(c net.Conn, m Member) *conn {
	k := &conn{Conn: &resetconn.Conn{Conn: c}, member: m}
	k.reader = bufio.NewReaderSize(limitedReader{k}, bufferBytes)
	return k
}

// limitedReader reads at most limit bytes from the connection.
type limitedReader struct{ c *conn }

func (r limitedReader) Read(p []byte) (int, error) {
	if r.c.limit <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.c.Conn.Read(p[:min(int64(len(p)), r.c.limit)])
	r.c.limit -= int64(n)
	return n, err
}

// quiet reports whether an idle connection is open and nothing has arrived on it. It does
// not block.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = control.Read(func(fd uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

// roundTrip writes a request and reads the head of its answer. The end of ctx closes the
// connection. release is called once, when the connection is not used any more: reusable if
// it may carry another request.
func (c *conn) roundTrip(ctx context.Context, req *http.Request, release func(res *http.Response, reusable bool)) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := make(chan error, 1)
	write := func() {
		err := req.Write(c.Conn)
		if err != nil {
			_ = c.Close() // ends the wait for the answer
		}
		written <- err
	}
	if req.Body == nil || req.ContentLength > 0 && req.ContentLength <= maxDirectBytes {
		write()
	} else {
		go write()
	}
	res, err := c.readHead(req)
	if err != nil {
		_ = c.Close()
		if writeErr := <-written; writeErr != nil && !errors.Is(writeErr, net.ErrClosed) {
			err = fmt.Errorf("write request: %v: %w", writeErr, err)
		}
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		stop()
		release(nil, false)
		return nil, err
	}
	b := &answerBody{ReadCloser: res.Body, ctx: ctx}
	b.finish = sync.OnceFunc(func() {
		running := stop()
		release(res, running && b.complete.Load() && framed(res) && isWritten(written))
	})
	res.Body = b
	return res, nil
}

// isWritten reports whether a request has been written completely. The report of a write may
// come shortly after the answer.
func isWritten(written <-chan error) bool {
	timer := time.NewTimer(writeReportTimeout)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// readHead reads the final head of an answer; informational ones are skipped.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.limit = maxHeadBytes
	if _, err := c.reader.Peek(1); err != nil {
		return nil, fmt.Errorf("%w: %w", errEnded, err)
	}
	for {
		res, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if res.StatusCode < 100 || res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			c.limit = math.MaxInt64
			if err := validanswer.Check(res, http.StatusOK); err != nil {
				return nil, fmt.Errorf("read answer: %w", err)
			}
			return res, nil
		}
	}
}

// framed reports whether the end of the answer was stated by the answer itself, and the server
// keeps the connection open after it.
func framed(res *http.Response) bool {
	chunked := len(res.TransferEncoding) == 1 && res.TransferEncoding[0] == "chunked"
	return res.Proto == "HTTP/1.1" && res.StatusCode >= 200 && !res.Close && (chunked || res.ContentLength >= 0)
}

// answerBody is the body of an answer, which releases its connection at its end. Close does not
// read the rest.
type answerBody struct {
	io.ReadCloser
	ctx      context.Context
	complete atomic.Bool // it was read to its end
	finish   func()
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.complete.Store(true)
		b.finish()
	case err != nil:
		if b.ctx.Err() != nil {
			err = context.Cause(b.ctx)
		}
		b.finish()
	}
	return n, err
}

func (b *answerBody) Close() error {
	b.finish()
	return nil
}
