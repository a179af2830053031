// Package clientflood sends requests as clients of all kinds do: whole or piece by piece, with a
// length or in chunks, stopped short of their end, or far over the limit.
package clientflood

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Kind is a way to send a request, mostly its body.
type Kind struct {
	Name      string
	Header    string // lines that are added to the header
	Part      Part   // of the request that is sent
	Repeat    int    // how often the request is sent at once, if above 1
	Announced int64  // Content-Length; 0 for chunks
	Chunk     int    // bytes of a chunk
	Bytes     int    // that are sent; 0 for no end
	Piece     int    // bytes of a piece; 0 for pieceBytes
	Slow      bool   // pauses between pieces
	Whole     bool   // otherwise the last byte is missing and the connection stays open
}

// Part is the part of a request that a client sends.
type Part string

const (
	All        Part = ""           // the header and what the kind says of the body
	Nothing    Part = "Nothing"    // the connection is open and silent
	OpenHeader Part = "OpenHeader" // all header lines, but not the empty line
)

const (
	pieceBytes = 64 << 10
	slowPause  = 50 * time.Millisecond
	largeChunk = 256 << 10
	smallChunk = 3
	smallBody  = 4 << 10
	// hugeBytes is far over any limit.
	hugeBytes = 1 << 40
)

// Kinds returns all kinds of bodies, of which those of legal size have so many bytes.
func Kinds(legal int) []Kind {
	var all []Kind
	for name, chunk := range map[string]int{"length": 0, "large chunks": largeChunk, "small chunks": smallChunk} {
		k := Kind{Chunk: chunk, Bytes: legal}
		if chunk == 0 {
			k.Announced = int64(legal)
		}
		for _, whole := range []bool{true, false} {
			for _, slow := range []bool{false, true} {
				k.Name, k.Whole, k.Slow = name, whole, slow
				if slow {
					k.Name += ", piece by piece"
				}
				if !whole {
					k.Name += ", stopped short"
				}
				all = append(all, k)
			}
		}
	}
	return append(all,
		Kind{Name: "over the limit, announced", Announced: hugeBytes},
		Kind{Name: "over the limit, announced, stopped short", Announced: hugeBytes, Bytes: 1},
		Kind{Name: "over the limit, large chunks", Chunk: largeChunk},
		Kind{Name: "over the limit, small chunks", Chunk: smallChunk},
	)
}

// HeaderKinds returns kinds with headers of at most so many bytes beside their usual lines, and one
// with many requests.
func HeaderKinds(headerBytes int) []Kind {
	var short strings.Builder
	for i := 0; short.Len() < headerBytes; i++ {
		fmt.Fprintf(&short, "x%s: \r\n", strconv.FormatInt(int64(i), 36))
	}
	long := "x-long: " + strings.Repeat("x", headerBytes) + "\r\n"
	return []Kind{
		{Name: "header of short lines, body stopped short", Header: short.String(), Chunk: smallChunk, Bytes: 2},
		{Name: "header of short lines, stopped short", Header: short.String(), Part: OpenHeader},
		{Name: "header of one long line, body stopped short", Header: long, Chunk: smallChunk, Bytes: 2},
		{Name: "many requests at once", Announced: smallBody, Bytes: smallBody, Whole: true, Repeat: 1000},
	}
}

// ManyKinds returns kinds that take a connection and little else.
func ManyKinds() []Kind {
	return []Kind{
		{Name: "small body, stopped short", Announced: smallBody, Bytes: smallBody},
		{Name: "small body, piece by piece", Chunk: smallBody / 64, Bytes: smallBody, Slow: true, Piece: smallBody / 64},
		{Name: "open and silent", Part: Nothing},
		{Name: "header, stopped short", Part: OpenHeader},
	}
}

// Send sends a request with this kind of body, and returns the status of its answer; 0 for none.
// The head ends with CRLF, without the empty line.
func (k Kind) Send(ctx context.Context, address, head string) int {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	go k.write(ctx, conn, head)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

func (k Kind) write(ctx context.Context, w io.Writer, head string) {
	switch k.Part {
	case Nothing:
		return
	case OpenHeader:
		_, _ = io.WriteString(w, head+k.Header)
		return
	}
	if k.Repeat > 1 {
		var one strings.Builder
		once := k
		once.Repeat = 0
		once.write(ctx, &one, head)
		_, _ = io.WriteString(w, strings.Repeat(one.String(), k.Repeat))
		return
	}
	framing := "Transfer-Encoding: chunked\r\n\r\n"
	if k.Chunk == 0 {
		framing = fmt.Sprintf("Content-Length: %d\r\n\r\n", k.Announced)
	}
	if _, err := io.WriteString(w, head+k.Header+framing); err != nil {
		return
	}
	piece, data := k.piece()
	left := k.Bytes
	if !k.Whole && left > 0 {
		left--
	}
	for k.Bytes == 0 || left >= data {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
		left -= data
		if k.Slow {
			select {
			case <-time.After(slowPause):
			case <-ctx.Done():
				return
			}
		}
	}
	rest := strings.Repeat("x", left)
	switch {
	case k.Chunk == 0:
	case k.Whole:
		rest = chunk(left) + "0\r\n\r\n"
	default:
		rest = fmt.Sprintf("%x\r\n%s", left+1, rest)
	}
	_, _ = io.WriteString(w, rest)
}

// piece returns what is written at once, and how many bytes of the body it has.
func (k Kind) piece() (text string, data int) {
	size := k.Piece
	if size == 0 {
		size = pieceBytes
	}
	if k.Chunk == 0 {
		return strings.Repeat("x", size), size
	}
	n := max(1, size/k.Chunk)
	return strings.Repeat(chunk(k.Chunk), n), n * k.Chunk
}

func chunk(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n))
}
