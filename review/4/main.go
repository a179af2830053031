// Command 4 shows that routers go on using a server that has left for seconds after the two
// routers that read the store for all were cut off from it.
package main

import (
	"context"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wisteriafield/review/lab"
)

const (
	routerCount = 6
	cutCount    = 2 // a share of 0.35
	releases    = 1 // a share of 0.45 of four servers, rounded down
	cutTime     = 5500 * time.Millisecond
	// cutDelay is how long after the start of a new server the cut begins, and leaveDelay how
	// long after the cut the old server leaves.
	cutDelay   = 500 * time.Millisecond
	leaveDelay = 300 * time.Millisecond
	// calmTime is above the contact time.
	calmTime  = 4 * time.Second
	drainTime = 2 * time.Second // drainMs
	think     = 20 * time.Millisecond
	deadline  = time.Second
)

func main() { lab.Main(run) }

// attempt is a request as its client sent it, with the status that came back or 0.
type attempt struct {
	sentAt  time.Time
	router  string
	booking bool
	status  int
}

func run(l *lab.Lab) error {
	if err := l.WriteConfig(lab.Config(7,
		lab.Route("/pule252/", "non_idempotent", "banco", 1500, 300, 1),
		lab.Route("/puxa403/", "idempotent", "banco", 1500, 300, 2))); err != nil {
		return err
	}
	var servers []*lab.Backend
	for i, zone := range lab.Zones {
		b, err := l.StartBackend(fmt.Sprintf("banco-%d", i), "banco", zone, "-work", "60ms", "-linger", "3s")
		if err != nil {
			return err
		}
		servers = append(servers, b)
	}
	var links []*lab.Link
	for range routerCount {
		link, err := lab.NewLink(l.StoreAddress())
		if err != nil {
			return err
		}
		links = append(links, link)
	}
	routers, err := l.StartRouters(routerCount, func(i int) string { return links[i].Address })
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	// Which routers read the store for all shows on their links.
	cut := busiest(links, 3*time.Second)
	var calm []*lab.Router
	for i, r := range routers {
		if !slices.Contains(cut, i) {
			calm = append(calm, r)
		}
	}

	var mu sync.Mutex
	sent := make(map[string]attempt)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range 2 * len(calm) {
		running.Go(func() {
			for ctx.Err() == nil {
				router := calm[i%len(calm)]
				id := lab.NewID()
				a := attempt{sentAt: time.Now(), router: router.Name, booking: i < len(calm)}
				a.status = call(l, id, router, a.booking)
				mu.Lock()
				sent[id] = a
				mu.Unlock()
				time.Sleep(think)
			}
		})
	}
	time.Sleep(time.Second)
	// A release: the new server starts first, then the old one leaves.
	for i, old := range servers[:releases] {
		if _, err := l.StartBackend(fmt.Sprintf("banco-new-%d", i), "banco", lab.Zones[i], "-work", "60ms"); err != nil {
			stop()
			return err
		}
		time.Sleep(cutDelay)
		if l.Trouble {
			for _, i := range cut {
				l.Log("%s is cut off from the store", routers[i].Name)
				links[i].SetCut(true)
			}
		}
		time.Sleep(leaveDelay)
		l.Log("server %s is told to leave", old.Name)
		old.Signal(syscall.SIGTERM)
		time.Sleep(cutTime - leaveDelay)
		for _, i := range cut {
			links[i].SetCut(false)
		}
		l.Log("the cut has ended")
		time.Sleep(calmTime)
	}
	stop()
	running.Wait()
	return check(l, sent)
}

// busiest returns the links over which routers sent the most to the store in a time.
func busiest(links []*lab.Link, d time.Duration) []int {
	before := make([]int, len(links))
	order := make([]int, len(links))
	for i, link := range links {
		before[i], order[i] = link.Bytes(), i
	}
	time.Sleep(d)
	for i, link := range links {
		before[i] = link.Bytes() - before[i]
	}
	slices.SortFunc(order, func(a, b int) int { return before[b] - before[a] })
	return order[:cutCount]
}

// call sends a request and returns the status of a complete answer, or 0.
func call(l *lab.Lab, id string, router *lab.Router, booking bool) int {
	q := lab.Request{ID: id, Method: "GET", Target: "/puxa403/2f", Deadline: time.Now().Add(deadline)}
	if booking {
		q.Method, q.Target, q.Body = "POST", "/pule252/2f", "booking of "+id
	}
	ctx, cancel := context.WithDeadline(context.Background(), q.Deadline)
	defer cancel()
	res, err := q.Send(ctx, router.Front())
	if err != nil {
		l.Log("%s %s %s: no answer: %v", id, q.Method, router.Name, err)
		return 0
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	l.Log("%s %s %s: %d, error %v", id, q.Method, router.Name, res.StatusCode, err)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

var (
	ran  = regexp.MustCompile(`^(\d+) (\S+) run id=(\w+)`)
	left = regexp.MustCompile(`^(\d+) (\S+) leaves:`)
)

// check looks for runs at a server that left, of requests that were sent later than drainTime
// after that.
func check(l *lab.Lab, sent map[string]attempt) error {
	lines, err := l.RunLines()
	if err != nil {
		return err
	}
	leftAt := make(map[string]time.Time)
	for _, line := range lines {
		if m := left.FindStringSubmatch(line); m != nil {
			leftAt[m[2]] = parseTime(m[1])
		}
	}
	if len(leftAt) == 0 {
		return fmt.Errorf("no server has left: %s", strings.Join(lines[max(0, len(lines)-3):], "; "))
	}
	for _, line := range lines {
		m := ran.FindStringSubmatch(line)
		if m == nil || leftAt[m[2]].IsZero() {
			continue
		}
		if a := sent[m[3]]; a.sentAt.Sub(leftAt[m[2]]) > drainTime {
			l.Broken("DRAIN: %s was sent to %s %v after server %s had left, and reached that server %v after", m[3], a.router,
				a.sentAt.Sub(leftAt[m[2]]).Round(time.Millisecond), m[2], parseTime(m[1]).Sub(leftAt[m[2]]))
			if a.booking && a.status != 200 {
				l.Log("booking %s was run there and its client got %d", m[3], a.status)
			}
		}
	}
	return nil
}

func parseTime(ms string) time.Time {
	n, _ := strconv.ParseInt(ms, 10, 64)
	return time.UnixMilli(n)
}
