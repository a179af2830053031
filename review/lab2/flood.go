package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["flood"] = playFlood }

const (
	memoryMB     = 284 // of a router's machine, limits.memoryMb
	crowd        = 900
	headerBytes  = 16384 // limits.maxHeaderBytes of the configuration
	memoryCheck  = 20 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	floodTime    = 40 * time.Second
)

// resident returns the resident memory of a process in MB, 0 if it has ended.
func (p *process) resident() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// guard does to a router what the platform does: a process that exceeds its machine's memory is
// killed and started again. It counts the ends of the router until stop is closed.
type guard struct {
	f       *fleet
	r       *process
	ends    int
	peak    int
	stopped chan struct{}
}

func (g *guard) run(stop <-chan struct{}) {
	defer close(g.stopped)
	for {
		select {
		case <-stop:
			return
		case <-g.r.done:
			g.ends++
			g.f.logf("%s ended by itself", g.r.name)
		case <-time.After(memoryCheck):
			used := g.r.resident()
			g.peak = max(g.peak, used)
			if used <= memoryMB {
				continue
			}
			g.ends++
			g.f.logf("%s has %d MB of %d MB: killed", g.r.name, used, memoryMB)
			g.r.kill()
		}
		time.Sleep(restartDelay)
		next, err := g.f.launchRouter(g.r.name, g.r.address)
		if err != nil {
			g.f.logf("%s does not start: %v", g.r.name, err)
			return
		}
		g.r = next
	}
}

// stall sends a chunked request whose header is within the limit, stops short of the end of its
// body and stays until the router ends the connection, again and again.
func stall(address, id string, lines string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_, _ = fmt.Fprintf(conn, "POST /draft/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s-%d\r\nX-Deadline-Ms: 25000\r\nTransfer-Encoding: chunked\r\n%s\r\n1\r\nx\r\n", host, id, n, lines)
		closed := make(chan struct{})
		go func() {
			_, _ = conn.Read(make([]byte, 512))
			close(closed)
		}()
		select {
		case <-closed:
		case <-stop:
		}
		_ = conn.Close()
	}
}

// playFlood lets clients that send small chunked bodies, and stop short of their end, press two of
// three routers. Each stays within the limits of the configuration. No router may exceed its
// machine's memory, and an ordinary request has to be answered afterwards.
func playFlood(f *fleet) (held bool, err error) {
	if err := f.startStore(); err != nil {
		return false, err
	}
	routes := []map[string]any{route("draft", "/draft/", "streaming", "ledger", 25000, 5), route("submit", "/submit/", "non_idempotent", "ledger", 1500, 1)}
	if err := f.writeConfig(config(1, routes, []map[string]any{service("ledger")})); err != nil {
		return false, err
	}
	if _, err := f.startServer("i-ledger-1", freeAddress(), "ledger"); err != nil {
		return false, err
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var lines strings.Builder
	for i := 0; lines.Len() < headerBytes-500; i++ {
		fmt.Fprintf(&lines, "x%s: \r\n", strconv.FormatInt(int64(i), 36))
	}
	stop := make(chan struct{})
	guards := make([]*guard, len(f.routers))
	for i, r := range f.routers {
		guards[i] = &guard{f: f, r: r, stopped: make(chan struct{})}
		go guards[i].run(stop)
	}
	var wg sync.WaitGroup
	if f.trial {
		f.logf("%d clients press each of edge-1 and edge-2, with headers of %d bytes of at most %d", crowd, lines.Len()+200, headerBytes)
		for i := range 2 {
			for c := range crowd {
				wg.Go(func() {
					stall(guards[i].r.address+fmt.Sprintf(":%d", frontPort), fmt.Sprintf("s%d-%d", i, c), lines.String(), stop)
				})
			}
		}
	}
	for n := range int(floodTime / (2 * time.Second)) {
		time.Sleep(2 * time.Second)
		for _, g := range guards {
			a := send(fmt.Sprintf("%s:%d", g.r.address, frontPort), "POST", "/submit/x", fmt.Sprintf("%s-%d", g.r.name, n), "", "{}", 1500*time.Millisecond)
			f.logf("ordinary request to %s: status %d, error %v", g.r.name, a.status, a.err)
		}
	}
	close(stop)
	wg.Wait()
	often := 0
	for _, g := range guards {
		<-g.stopped
		f.logf("%s: ended %d times, %d MB at the peak", g.r.name, g.ends, g.peak)
		if g.ends >= 3 {
			often++
		}
	}
	return often < 2, nil
}
