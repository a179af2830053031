package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"wisteriafield/platform/kv"
)

const (
	heartbeat  = 1200 * time.Millisecond
	bodyPieces = 8 // in which the stand-in writes an answer's body
	pieceBytes = 100
)

// backend is a stand-in for a server of a service. It speaks plain HTTP/1.1 on its own, so that
// its record shows the bytes of a request as they arrived.
type backend struct {
	id, address, service, zone, store string
	pieceGap                          time.Duration // between two pieces of a body
	loseFrom                          int64         // Unix milliseconds
	loseFor, losePause                time.Duration // answers are lost, and then not
	loseTimes                         int
	loseShare                         float64
	deadly                            string        // a request with this text in its path crashes the server
	crashAfter                        time.Duration // from the start of its run to the crash
	born                              int64
	mu                                sync.Mutex // held while a line is written
}

// runServer runs a stand-in until it is killed.
func runServer(args []string) int {
	b := &backend{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	flags.StringVar(&b.id, "id", "", "ID of the incarnation")
	flags.StringVar(&b.address, "listen", "", "IP:PORT")
	flags.StringVar(&b.service, "service", "", "service")
	flags.StringVar(&b.zone, "zone", "gulberg", "zone")
	flags.StringVar(&b.store, "store", "", "IP:PORT of the store")
	flags.DurationVar(&b.pieceGap, "gap", 0, "time between two pieces of a body")
	flags.Int64Var(&b.loseFrom, "lose-from", 0, "Unix milliseconds from which answers are lost")
	flags.DurationVar(&b.loseFor, "lose-for", 0, "how long answers are lost")
	flags.DurationVar(&b.losePause, "lose-pause", 0, "how long they are not lost afterwards")
	flags.IntVar(&b.loseTimes, "lose-times", 0, "how often answers are lost so")
	flags.StringVar(&b.deadly, "deadly", "", "a request with this text in its path crashes the server")
	flags.DurationVar(&b.crashAfter, "crash-after", 0, "time from the start of its run to the crash")
	flags.Float64Var(&b.loseShare, "lose", 0, "share of the answers that are lost")
	_ = flags.Parse(args)
	ln, err := net.Listen("tcp", b.address)
	if err != nil {
		fmt.Println(err)
		return exitCannot
	}
	go b.keepListed()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return exitCannot
		}
		go b.serve(conn)
	}
}

// keepListed keeps the server's entry in the store, under a lease of three heartbeats.
func (b *backend) keepListed() {
	store := kv.New(kv.Config{Address: b.store, Timeout: time.Second})
	value, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": 64, "phase": "ready",
		"coldLeftMs": 0, "callSeq": 0, "born": b.born,
	})
	for {
		lease, err := store.Grant(context.Background(), 3*heartbeat)
		if err == nil {
			err = store.SetWithLease(context.Background(), "servers/"+b.id, value, lease)
		}
		for err == nil {
			time.Sleep(heartbeat)
			err = store.KeepAlive(context.Background(), lease)
		}
		time.Sleep(heartbeat / 4)
	}
}

// body is the whole body of the answer to a request: each piece names the request.
func body(id string) string {
	var s strings.Builder
	for n := range bodyPieces {
		piece := fmt.Sprintf("%s piece %d of %d ", id, n+1, bodyPieces)
		s.WriteString(piece + strings.Repeat(".", pieceBytes-1-len(piece)) + "\n")
	}
	return s.String()
}

// serve answers the requests of one connection.
func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	line, err := r.Peek(1)
	if err != nil || len(line) == 0 {
		return
	}
	first, _ := r.ReadString('\n')
	req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(first), r)))
	if err != nil {
		b.logf("unreadable %q", strings.TrimSpace(first))
		return
	}
	id := req.Header.Get("X-Attempt-Id")
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id, b.id)
		return
	}
	sent, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	b.logf("run %s line %q tenant %q body %q", id, strings.TrimSpace(first), req.Header.Get("X-Tenant"), sent[:min(len(sent), 40)])
	if b.deadly != "" && strings.Contains(first, b.deadly) {
		time.Sleep(b.crashAfter)
		b.logf("crash by %s", id)
		os.Exit(1)
	}
	if b.loses(time.Now()) && rand.Float64() < b.loseShare {
		b.logf("answer to %s is lost", id)
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0) // a reset
		}
		return
	}
	whole := body(id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", id, b.id, len(whole))
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for n := range bodyPieces {
		time.Sleep(b.pieceGap)
		if _, err := io.WriteString(conn, whole[n*pieceBytes:(n+1)*pieceBytes]); err != nil {
			return
		}
	}
	b.logf("end %s, %d bytes", id, len(whole))
}

// loses reports whether answers are lost at a time.
func (b *backend) loses(now time.Time) bool {
	passed := now.Sub(time.UnixMilli(b.loseFrom))
	period := b.loseFor + b.losePause
	return passed >= 0 && period > 0 && passed < time.Duration(b.loseTimes)*period && passed%period < b.loseFor
}

func (b *backend) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(os.Stdout, "%d %s %s\n", time.Now().UnixMilli(), b.id, fmt.Sprintf(format, args...))
}
