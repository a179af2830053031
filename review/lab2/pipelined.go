package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipelined"] = playPipelined }

const (
	lossSlack = 200 * time.Millisecond
	stopGap   = 2 * time.Second
)

// playPipelined lets clients send two requests at a time on their kept connections, in one write,
// and stops the routers in turn with SIGTERM. A request that was sent before the signal has to be
// answered, be it with a refusal.
func playPipelined(f *fleet) (held bool, err error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	if err := f.writeConfig(config(1, []map[string]any{route("submit", "/submit/", "non_idempotent", "ledger", 3000, 1)}, []map[string]any{service("ledger")})); err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := f.startServer(fmt.Sprintf("i-ledger-%d", i+1), freeAddress(), "ledger", "--gap", "40ms"); err != nil {
			return false, err
		}
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	signalled := make(map[string]time.Time) // when a router got SIGTERM
	answered, lost := 0, 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 12 {
		wg.Go(func() {
			r := f.routers[c%3]
			address, name := r.front(), r.name
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(100 * time.Millisecond) // stopped, and not back yet
					continue
				}
				got, sentAt := exchangePairs(conn, fmt.Sprintf("c%d-%d", c, n), stop)
				endedAt := time.Now()
				_ = conn.Close()
				mu.Lock()
				answered += got.answers
				if at := signalled[name]; got.missing != "" && sentAt.Before(at) && endedAt.Sub(sentAt) > lossSlack {
					lost++
					f.logf("LOST: %s was sent to %s %s before SIGTERM; its connection ended %s later without an answer to it, after the answer to %s, which says Connection: close: %t",
						got.missing, name, at.Sub(sentAt).Round(time.Millisecond), endedAt.Sub(sentAt).Round(time.Millisecond), got.last, got.closes)
				}
				mu.Unlock()
				if got.missing != "" {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	for i := range f.routers {
		time.Sleep(stopGap)
		if !f.trial {
			continue
		}
		r := f.routers[i]
		mu.Lock()
		signalled[r.name] = time.Now()
		mu.Unlock()
		f.logf("SIGTERM to %s", r.name)
		r.signal(syscall.SIGTERM)
		<-r.done
		f.logf("%s has ended", r.name)
		if _, err := f.launchRouter(r.name, r.address); err != nil {
			return false, err
		}
	}
	time.Sleep(stopGap)
	close(stop)
	wg.Wait()
	f.logf("%d requests were answered, %d that were sent before a SIGTERM were not", answered, lost)
	if answered < 100 {
		return false, fmt.Errorf("only %d requests were answered", answered)
	}
	return lost == 0, nil
}

// pairs is what became of the requests on a connection.
type pairs struct {
	answers int
	missing string // the request that got no answer
	last    string // the one that got the last answer
	closes  bool   // that answer says that the connection closes
}

// exchangePairs sends pairs of requests on a connection until it ends or stop is closed. It returns
// when the last pair was sent.
func exchangePairs(conn net.Conn, id string, stop <-chan struct{}) (got pairs, sentAt time.Time) {
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return got, sentAt
		default:
		}
		ids := []string{fmt.Sprintf("%s-%da", id, n), fmt.Sprintf("%s-%db", id, n)}
		text := ""
		for _, id := range ids {
			text += fmt.Sprintf("POST /submit/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n{}", host, id)
		}
		_ = conn.SetDeadline(time.Now().Add(7 * time.Second))
		if _, err := io.WriteString(conn, text); err != nil {
			return got, sentAt
		}
		sentAt = time.Now()
		for _, id := range ids {
			res, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
			}
			if err != nil {
				got.missing = id
				return got, sentAt
			}
			got.answers++
			got.last, got.closes = id, res.Close
			if res.Close && id == ids[1] {
				return got, sentAt
			}
		}
	}
}
