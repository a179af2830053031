package edgesoak

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/platform"
)

// newTestSoak returns a soak whose router got SIGTERM at a moment.
func newTestSoak(stop time.Time) (*soak, *router) {
	r := &router{name: "edge-0"}
	return &soak{harness: &harness{}, stops: map[string][]time.Time{r.name: {stop}}}, r
}

// sentOn returns an exchange whose connection ended without an answer.
func sentOn(r *router, kind string, sentAt time.Time, duration time.Duration) *exchange {
	x := &exchange{kind: kind, router: r, sentAt: sentAt, endedAt: sentAt.Add(duration), err: io.EOF}
	x.conn.Store(true)
	x.wroteAt.Store(sentAt.UnixNano())
	return x
}

func TestCallWithoutAnswerIsAProblemOnceItWasPassedOnOrHeld(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s, r := newTestSoak(now.Add(-time.Minute))
	server := []*backend{{name: "banco-0"}}
	for _, tc := range []struct {
		duration time.Duration
		servers  []*backend
		excused  bool
	}{
		{10 * time.Millisecond, nil, true},
		{10 * time.Millisecond, server, false},
		{300 * time.Millisecond, nil, false},
	} {
		_, excused := s.causeOf(sentOn(r, "call", now, tc.duration), tc.servers)
		g.Expect(excused).To(Equal(tc.excused), "%+v", tc)
	}
	refused := &exchange{kind: "call", router: r, sentAt: now, endedAt: now, err: syscall.ECONNREFUSED}
	_, excused := s.causeOf(refused, nil)
	g.Expect(excused).To(BeTrue())
}

func TestCutBesideAStopIsExcusedOnlyByTheRule(t *testing.T) {
	g := NewWithT(t)
	stop := time.Now()
	s, r := newTestSoak(stop)
	server := []*backend{{name: "redattore-0"}}
	for _, tc := range []struct {
		sentAfter, duration time.Duration
		excused             bool
	}{
		{-time.Second, 8700 * time.Millisecond, true},
		{-time.Second, 7 * time.Second, false},
		{2900 * time.Millisecond, 4800 * time.Millisecond, true},
		{3100 * time.Millisecond, 4600 * time.Millisecond, false},
	} {
		x := sentOn(r, "stream", stop.Add(tc.sentAfter), tc.duration)
		x.answered.Store(true)
		_, excused := s.causeOf(x, server)
		g.Expect(excused).To(Equal(tc.excused), "%+v", tc)
	}
}

func TestCutIsExcusedByTheEndOfItsServer(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s, r := newTestSoak(now.Add(-time.Minute))
	ended, other := &backend{name: "redattore-0"}, &backend{name: "redattore-1"}
	ended.exits.begin()()
	x := sentOn(r, "stream", now.Add(-time.Second), time.Second)
	_, excused := s.causeOf(x, []*backend{ended})
	g.Expect(excused).To(BeTrue())
	_, excused = s.causeOf(x, []*backend{other})
	g.Expect(excused).To(BeFalse())
}

func TestChangesOfTheConfigurationComeInAllWays(t *testing.T) {
	g := NewWithT(t)
	opts := Options{Seed: 1, Others: 2}
	seen := make(map[configChange]int)
	for version := int64(2); version <= 200; version++ {
		before, after := changesUpTo(opts, version-1), changesUpTo(opts, version)
		for _, change := range append(moves, otherChanges...) {
			if before[change] != after[change] {
				seen[change]++
			}
		}
		value, err := json.Marshal(configValue(opts, version))
		g.Expect(err).NotTo(HaveOccurred())
		cfg, err := platform.DecodeConfig(value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(cfg.Version).To(Equal(version))
		g.Expect(cfg.Routes).To(HaveLen(int(version) + 2))
	}
	for _, change := range append(moves, otherChanges...) {
		g.Expect(seen[change]).To(BeNumerically(">", 1), string(change))
	}
}

func TestAFailureWithTimeLeftIsAProblemUnlessItsServerEnded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s, r := newTestSoak(now.Add(-time.Minute))
	s.Planned = true
	ended, other := &backend{name: "redattore-0"}, &backend{name: "redattore-1"}
	ended.exits.begin()()
	s.backends = []*backend{ended, other}
	for _, tc := range []struct {
		kind     string
		status   int
		left     time.Duration // to the caller's deadline
		server   *backend
		problems int
	}{
		{"stream", http.StatusBadGateway, 3 * time.Second, other, 1},
		{"stream", http.StatusGatewayTimeout, 3 * time.Second, other, 1},
		{"stream", http.StatusBadGateway, 3 * time.Second, ended, 0},
		{"stream", http.StatusBadGateway, time.Second, other, 0},
		{"stream", http.StatusServiceUnavailable, 3 * time.Second, other, 0},
		{"stream", http.StatusBadGateway, 3 * time.Second, nil, 1},
		{"call", http.StatusBadGateway, time.Second, other, 1},
		{"call", http.StatusBadGateway, time.Second, ended, 0},
		{"call", http.StatusBadGateway, time.Second, nil, 0},
		{"call", http.StatusBadGateway, 100 * time.Millisecond, other, 0},
	} {
		s.counts, s.incomplete, s.problems = make(map[string]int), nil, nil
		ctx, cancel := context.WithTimeout(context.Background(), tc.left)
		x := sentOn(r, tc.kind, now.Add(-time.Second), 0)
		x.answered.Store(true)
		s.recordFailure(ctx, x, tc.status)
		runs := map[string][]*backend{}
		if tc.server != nil {
			runs[x.id] = []*backend{tc.server}
		}
		s.checkIncomplete(runs)
		cancel()
		g.Expect(s.problems).To(HaveLen(tc.problems), "%+v", tc)
	}
}

func TestAStreamThatWasGivenUpWithTimeLeftIsAProblem(t *testing.T) {
	g := NewWithT(t)
	s, r := newTestSoak(time.Now())
	s.Planned, s.routers = true, []*router{r}
	r.logPath = filepath.Join(t.TempDir(), "edge-0.log")
	for line, problem := range map[string]bool{
		`{"msg":"stream abandoned","reason":"RetryBudgetExhausted","begun":true,"ran":1,"callerLeft":false,"leftMs":2001}`:  true,
		`{"msg":"stream abandoned","reason":"AttemptsUsed","begun":false,"ran":5,"callerLeft":false,"leftMs":3700}`:         true,
		`{"msg":"stream abandoned","reason":"RequestQuarantined","begun":true,"ran":2,"callerLeft":false,"leftMs":3700}`:    true,
		`{"msg":"stream abandoned","reason":"RetryBudgetExhausted","begun":true,"ran":1,"callerLeft":false,"leftMs":1999}`:  false,
		`{"msg":"stream abandoned","reason":"RetryBudgetExhausted","begun":true,"ran":1,"callerLeft":true,"leftMs":3700}`:   false,
		`{"msg":"stream abandoned","reason":"RetryBudgetExhausted","begun":false,"ran":0,"callerLeft":false,"leftMs":3700}`: false,
		`{"msg":"stream abandoned","reason":"RouterStopped","begun":true,"ran":1,"callerLeft":false,"leftMs":3700}`:         false,
		`{"msg":"stream served","leftMs":3700}`: false,
	} {
		g.Expect(os.WriteFile(r.logPath, []byte(line+"\n"), 0o600)).To(Succeed())
		s.counts, s.problems = make(map[string]int), nil
		s.checkLogs()
		g.Expect(len(s.problems) > 0).To(Equal(problem), line)
	}
}

func TestACutAtTheTimeoutOfItsRouteIsExcused(t *testing.T) {
	g := NewWithT(t)
	for lasted, problems := range map[time.Duration]int{excusedDraft: 0, excusedDraft - time.Second: 1} {
		s, r := newTestSoak(time.Now().Add(-time.Minute))
		s.Planned, s.counts = true, make(map[string]int)
		s.recordCut(context.Background(), r, time.Now().Add(-lasted), "session")
		g.Expect(s.problems).To(HaveLen(problems), "after %s", lasted)
	}
}

func TestACutAtTheDeadlineIsExcused(t *testing.T) {
	g := NewWithT(t)
	for left, problems := range map[time.Duration]int{5 * time.Millisecond: 0, 500 * time.Millisecond: 2} {
		s, r := newTestSoak(time.Now().Add(-time.Minute))
		s.Planned, s.counts = true, make(map[string]int)
		ctx, cancel := context.WithTimeout(context.Background(), left)
		x := sentOn(r, "stream", time.Now().Add(-time.Second), 0)
		x.answered.Store(true)
		s.recordIncomplete(ctx, x, io.ErrUnexpectedEOF)
		s.recordCut(ctx, r, x.sentAt, "session")
		cancel()
		s.checkIncomplete(nil)
		g.Expect(s.problems).To(HaveLen(problems), "%s left", left)
	}
}
