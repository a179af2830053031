// Command 1 shows that a stream may go on from the memory of another request of its session
// after the router that served it was killed.
package main

import (
	"context"
	"fmt"
	"io"
	"regexp"
	"strings"
	"sync"
	"time"

	"wisteriafield/review/lab"
)

const (
	sessions = 4
	events   = 130
	path     = "/lohu930/2f"
	// secondDelay is how long after the first request of a session its second one is sent.
	secondDelay = 500 * time.Millisecond
	killDelay   = 1500 * time.Millisecond
	downTime    = 3500 * time.Millisecond
)

func main() { lab.Main(run) }

func run(l *lab.Lab) error {
	if err := l.WriteConfig(lab.Config(7, lab.Route("/lohu930/", "streaming", "redattore", 25000, 4500, 5))); err != nil {
		return err
	}
	for i, zone := range lab.Zones {
		if _, err := l.StartBackend(fmt.Sprintf("redattore-%d", i), "redattore", zone, "-engine", "-work", "300ms"); err != nil {
			return err
		}
	}
	routers, err := l.StartRouters(6, nil)
	if err != nil {
		return err
	}
	kept, killed := routers[0], routers[1]
	var clients sync.WaitGroup
	for i := range sessions {
		prefix := fmt.Sprintf("5c1e07a2:200,e4402b%02x:5000", i)
		clients.Go(func() {
			stream(l, fmt.Sprintf("session %d, request a", i), prefix, `{"variant":"a"}`, killed, routers[2+i])
		})
		clients.Go(func() {
			time.Sleep(secondDelay)
			stream(l, fmt.Sprintf("session %d, request b", i), prefix, `{"variant":"b"}`, kept, kept)
		})
	}
	if l.Trouble {
		time.Sleep(killDelay)
		l.Log("%s is killed", killed.Name)
		killed.Kill()
		time.Sleep(downTime)
		if err := killed.Start(); err != nil {
			return err
		}
	}
	clients.Wait()
	lines, err := l.RunLines()
	if err != nil {
		return err
	}
	for _, line := range lines {
		if m := continued.FindStringSubmatch(line); m != nil && m[1] != m[2] {
			l.Broken("MIXED: a request goes on from the memory of another request: %s", line)
		}
	}
	return nil
}

// continued is a line of a server about a run that goes on from the memory of another one. The
// digests are those of the two requests.
var continued = regexp.MustCompile(`digest=(\w+) goes on .* digest=(\w+)`)

// stream sends a request to a router, and once more to another one if its stream breaks off. It
// checks that all events are of one generation.
func stream(l *lab.Lab, name, prefix, body string, first, second *lab.Router) {
	deadline := time.Now().Add(25 * time.Second)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	last, generation := 0, ""
	for try, router := range []*lab.Router{first, second} {
		q := lab.Request{ID: lab.NewID(), Method: "POST", Target: path, Body: body, Deadline: deadline, Prefix: prefix, Usage: fmt.Sprintf("5200,%d", 6*events), LastEventID: last}
		l.Log("%s: %s sent to %s with body %s after event %d", name, q.ID, router.Name, body, last)
		res, err := q.Send(ctx, router.Front())
		if err != nil {
			l.Log("%s: %s no answer: %v", name, q.ID, err)
			continue
		}
		if res.StatusCode != 200 {
			l.Log("%s: %s answered with %d", name, q.ID, res.StatusCode)
			_ = res.Body.Close()
			continue
		}
		err = lab.ReadEvents(res.Body, func(e lab.Event) {
			of, _, _ := strings.Cut(e.Data, "/")
			if generation == "" {
				generation = of
			}
			if e.ID != last+1 {
				l.Broken("ORDER: %s: event %d after event %d", name, e.ID, last)
			}
			if of != generation {
				l.Broken("ORDER: %s: pieces of two runs are joined: event %d is %s after those of %s", name, e.ID, e.Data, generation)
				generation = of
			}
			last = e.ID
		})
		_ = res.Body.Close()
		l.Log("%s: %s try %d ended after event %d: %v", name, q.ID, try+1, last, err)
		if err == io.EOF {
			return
		}
	}
}
