package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/decision/quarantine"
)

// deadly is a request that comes again, at any router.
type deadly struct {
	quarantine.Suspects
	perSecond float64
	prefill   time.Duration // from the dispatch to the crash

	crashes int
	thirdAt time.Time
	late    int // attempts by routers in touch, later than contact after the third crash
	killed  int // crashes after the kill of the routers
}

// outage is a time without servers.
type outage struct{ from, until time.Duration }

// arrivals returns the number of requests in one step.
func (f *fleet) arrivals(perSecond float64) int {
	mean := perSecond * step.Seconds()
	n := int(mean)
	if f.rand.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// repeatedRequest sends a deadly request, twice if its first server crashes.
func (f *fleet) repeatedRequest(now time.Time, router int, d *deadly, attempt int) {
	if _, blocked := f.tables[router].Blocked(d.Suspects, now); blocked || attempt > 2 || now.Before(f.startedAt[router]) {
		return
	}
	if d.crashes >= 3 && now.Sub(d.thirdAt) > f.contact && now.Sub(f.startedAt[router]) > f.contact {
		d.late++
	}
	f.after(now, d.prefill, router, func(now time.Time) {
		d.crashes++
		if d.crashes == 3 {
			d.thirdAt = now
		}
		if f.killAt > 0 && now.Sub(start) > f.killAt+2*time.Second {
			d.killed++
		}
		f.crash(now, router, d.Suspects)
		f.repeatedRequest(now, router, d, attempt+1)
	})
}

// crash ends a server, which takes a sound stream with it as well.
func (f *fleet) crash(now time.Time, router int, s quarantine.Suspects) {
	f.servers++
	name := fmt.Sprintf("e%d", f.servers)
	f.tables[router].RecordCrash(quarantine.Crash{Suspects: s, Server: name, At: now}, now)
	f.due[router] = now
	other := f.rand.IntN(f.routers)
	bystander := prompt(fmt.Sprintf("first-%d", f.rand.IntN(50)), fmt.Sprintf("bystander-%d", f.servers))
	f.tables[other].RecordCrash(quarantine.Crash{Suspects: bystander, Server: name, At: now}, now)
	f.after(now, prefillTime, other, func(now time.Time) { f.tables[other].RecordSurvival(bystander, now) })
}

// call sends a sound request without a prompt.
func (f *fleet) call(now time.Time, router int, digest string) {
	s := quarantine.Suspects{Request: digest}
	f.out.sound++
	if _, blocked := f.tables[router].Blocked(s, now); blocked {
		f.out.refused++
		return
	}
	for i, o := range f.outages {
		if at := now.Sub(start); at >= o.from && at < o.until {
			if at < o.from+2*step { // it runs when its server crashes
				f.tables[router].RecordCrash(quarantine.Crash{Suspects: s, Server: fmt.Sprintf("out-%d-%d", i, f.rand.IntN(3)), At: start.Add(o.from)}, now)
				f.due[router] = now
			}
			return
		}
	}
	f.after(now, step, router, func(now time.Time) { f.tables[router].RecordSurvival(s, now) })
}

// kill restarts 60 % of the routers. Each hears from a peer before it serves.
func (f *fleet) kill(now time.Time) {
	for i := range f.routers * 6 / 10 {
		back := now.Add(2 * time.Second)
		f.tables[i], f.startedAt[i] = quarantine.New(back, f.contact), back
		f.after(back, step, i, func(now time.Time) {
			peer := f.routers - 1 - f.rand.IntN(f.routers-f.routers*6/10)
			f.merge(i, f.tables[peer].Report(48, true, now), now)
		})
	}
}

// Evidence of one deadly thing crowded out that of another, and routers that started waited.
func TestFleetStopsSendingEachOfSeveralDeadlyRequests(t *testing.T) {
	for _, size := range sizes {
		s := size
		s.earlyLoss, s.seeds, s.killAt, s.length = 0.03, min(s.seeds, 4), 14*time.Second, 30*time.Second
		if s.routers == 1000 {
			s.killAt, s.length = 6*time.Second, 14*time.Second // a long play
		}
		rate := min(0.02*float64(s.routers), 2)
		s.repeated = []deadly{
			{Suspects: prompt("first", "session"), perSecond: rate, prefill: prefillTime},
			{Suspects: quarantine.Suspects{Request: "sha256:call"}, perSecond: rate, prefill: step},
			{Suspects: quarantine.Suspects{Request: "sha256:draft", Parts: []string{"first", "doc"}, Session: "other"}, perSecond: rate, prefill: prefillTime},
			{Suspects: quarantine.Suspects{Request: "sha256:booking"}, perSecond: 0.5, prefill: step},
		}
		t.Run(fmt.Sprintf("%d routers", s.routers), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for seed := range s.seeds {
				out := s.play(seed)
				t.Logf("seed %d: refused %d of %d, %d changes of blocks", seed, out.refused, out.sound, out.changes)
				for _, d := range out.deadly {
					t.Logf("%v: %d crashes, %d late, %d after the kill", d.Suspects, d.crashes, d.late, d.killed)
					g.Expect(d.late).To(BeNumerically("<=", 3), "seed %d, %v", seed, d.Suspects)
					g.Expect(d.killed).To(BeNumerically("<=", 3), "seed %d, %v after the kill", seed, d.Suspects)
				}
				g.Expect(out.refused).To(BeNumerically("<=", out.sound/500), "seed %d: of %d sound requests", seed, out.sound)
				g.Expect(out.changes).To(BeNumerically("<=", 4*len(out.deadly)*s.routers), "seed %d: blocks flap", seed)
			}
		})
	}
}

// A request that half of the callers send is in progress at each server that is lost.
func TestPopularCallsAreNotBlockedByOutagesOfAllServers(t *testing.T) {
	for _, size := range sizes {
		s := size
		s.seeds, s.calls, s.popular, s.sound = min(s.seeds, 4), 0.5*float64(s.routers), 0.5, 0
		for _, from := range []time.Duration{4, 7, 20, 21, 30} {
			s.outages = append(s.outages, outage{from * time.Second, from*time.Second + 900*time.Millisecond})
		}
		s.outages[2].until = 28 * time.Second // longer than the contact time
		t.Run(fmt.Sprintf("%d routers", s.routers), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for seed := range s.seeds {
				out := s.play(seed)
				g.Expect(out.refused).To(BeNumerically("<=", out.sound/500), "seed %d: of %d sound requests", seed, out.sound)
			}
		})
	}
}
